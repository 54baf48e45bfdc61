//! Records and states of members.
//!
//! Daemons exchange a [`Record`] for each instance. Two records of the same instance are
//! compared field by field, in the order of the fields, and the greater one wins, so
//! that merging gives the same result in any order and however often a record
//! arrives. Only the instance itself increments its `refutation`. That is how an instance
//! wrongly declared dead returns, and why a late record can't revive a dead one.

use std::net::SocketAddr;
use std::time::Instant;

use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId, Region};
use serde::{Deserialize, Serialize};

/// State of a member in this daemon's view; a later variant outranks an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Answers, and has announced a planned leave.
    Leaving,
    /// Hasn't answered for a while, or is listed and has never answered.
    Suspect,
    /// Failed or left; kept as a tombstone until it expires or a later incarnation appears.
    Dead,
}

impl MemberState {
    /// Whether the member answers, leaving or not.
    #[must_use]
    pub fn is_responsive(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }
}

/// What daemons send each other about one instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// Incarnation of the process.
    pub incarnation: Incarnation,
    /// Number that only the process itself increments, to refute older records of this
    /// incarnation.
    pub refutation: u32,
    /// State that the record claims.
    pub state: MemberState,
    /// Region it is in.
    pub region: Region,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Address it listens on.
    pub address: SocketAddr,
    /// Processor time that it may use, in percent of a core.
    pub capacity_percent: u32,
}

/// One daemon in the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedPeer {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region it is in.
    pub region: Region,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Address it listens on for other daemons.
    pub address: SocketAddr,
    /// Whether the platform says that it is leaving.
    pub leaving: bool,
}

/// One daemon in this daemon's view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// Name of the instance.
    pub instance: InstanceId,
    /// Region it is in.
    pub region: Region,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Address it listens on for other daemons.
    pub address: SocketAddr,
    /// Processor time that it may use, in percent of a core; 0 while no record of it is known.
    pub capacity_percent: u32,
    /// Incarnation of the process; 0 if it is listed and no record of it is known.
    pub incarnation: Incarnation,
    /// State in this view.
    pub state: MemberState,
    /// Last answer to this daemon or last newer record. For a member that is no neighbour
    /// this may be long ago, as its zone's heartbeat is used instead.
    pub last_received: Option<Instant>,
}

/// Change of a member's state or incarnation in this view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The member as it is now.
    pub member: Member,
    /// Incarnation and state reported before; `None` for a new member.
    pub previous: Option<(Incarnation, MemberState)>,
}
