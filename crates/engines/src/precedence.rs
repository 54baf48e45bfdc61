//! Order among requests that contend for the engines of a service.
//!
//! While the engines can take what arrives, everybody is admitted and the order does not matter.
//! While they can't, an organisation above its fair share is refused at once, and a request that is
//! less urgent than open work leaves the last free slots to that for as long as it can be on time
//! all the same. Nobody is refused for being less urgent alone.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use crate::organisation_shares::OverShare;

/// Hash of an organisation's id; 0 stands for requests without an organisation.
pub type OrganisationHash = u32;

/// On whose behalf a request contends for engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Caller {
    /// The organisation.
    pub organisation: OrganisationHash,
    /// The organisation's priority, or else the route's; 0 is the most urgent.
    pub priority: u8,
}

/// Place of a request among those that contend; the least one goes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Precedence {
    // The order of the fields is the order of precedence.
    /// Whether it can no longer be on time.
    pub is_late: bool,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Whether its organisation is above its fair share.
    pub is_above_share: bool,
    /// When it arrived.
    pub arrived: Instant,
}

/// What a request finds at a service.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Contention {
    /// Use of its organisation and its fair share, if it is above that.
    pub(crate) over_share: Option<OverShare>,
    /// Whether free slots are short while more urgent work is open.
    pub(crate) owes_slot: bool,
    /// Whether less urgent work is open, so that slots that end are owed to it.
    pub(crate) is_owed_slot: bool,
}

/// Whether there is room for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Room {
    /// It is placed like any other.
    Admitted,
    /// It leaves the place to others for now.
    Held,
    /// Its organisation has had its share.
    Refused(OverShare),
}

impl Contention {
    /// Whether there is room for a request.
    ///
    /// One that was sent before is not refused, as engines have spent work on it.
    pub(crate) fn room(&self, may_be_on_time: bool, is_refusable: bool) -> Room {
        match self.over_share {
            Some(over_share) if is_refusable => Room::Refused(over_share),
            _ if self.owes_slot && may_be_on_time => Room::Held,
            _ => Room::Admitted,
        }
    }
}
