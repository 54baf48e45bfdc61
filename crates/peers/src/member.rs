//! What is known of one daemon.
//!
//! A [`Record`] is the part that travels. Two records of the same instance are
//! compared whole, in the order of their fields, and the greater one wins, so
//! that merging gives the same result in any order and however often a record
//! arrives. Only the instance itself raises its `refutation`, which is how one
//! that was wrongly called dead comes back, and why a late record cannot revive
//! one that is.

use std::net::SocketAddr;
use std::time::Instant;

use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId, Region};
use serde::{Deserialize, Serialize};

/// State of a member in this daemon's view; a later one outranks an earlier one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// Answers.
    Alive,
    /// Answers, and has announced a planned leave.
    Leaving,
    /// Has not answered for a while, or is listed and was never heard.
    Suspect,
    /// Given up; a tombstone until it expires or a later life appears.
    Dead,
}

impl MemberState {
    /// Whether the member answers, leaving or not.
    #[must_use]
    pub fn is_responsive(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }
}

/// What daemons tell each other of one instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Record {
    /// Life of the process.
    pub incarnation: Incarnation,
    /// Number that only the process itself raises, to refute older records of this life.
    pub refutation: u32,
    /// What is claimed of it.
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

/// One daemon as the platform lists it.
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
    /// Whether the platform says that it is going.
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
    /// Processor time that it may use, in percent of a core; 0 when it never said so.
    pub capacity_percent: u32,
    /// Life of the process; 0 when it is listed and was never heard.
    pub incarnation: Incarnation,
    /// State in this view.
    pub state: MemberState,
    /// Last answer to this daemon or last newer record; of a member that is no
    /// neighbour this can be long ago, as its zone's heartbeat stands for it.
    pub last_heard: Option<Instant>,
}

/// Change of a member's state or life in this view.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MemberChange {
    /// The member as it is now.
    pub member: Member,
    /// Life and state reported before; `None` for a new member.
    pub previous: Option<(Incarnation, MemberState)>,
}
