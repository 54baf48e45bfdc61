//! Numbered batches of updates and the daemons that they come from.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// Hash that identifies one incarnation of a daemon.
pub type IncarnationId = u64;

/// Identifier of one incarnation of a daemon; never 0.
#[must_use]
pub fn incarnation_id(daemon: u64, incarnation: u64) -> IncarnationId {
    (daemon ^ incarnation) | 1
}

/// Number of a batch, increasing within one incarnation of its origin.
pub type Sequence = u64;

/// The daemon that a batch comes from.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Hash that identifies the daemon.
    pub daemon: u64,
    /// Its incarnation; a later one is higher.
    pub incarnation: u64,
    /// Address that it listens on; all daemons use the same port.
    pub address: IpAddr,
    /// Its availability zone.
    pub zone: String,
}

impl Origin {
    /// Identifier of this incarnation.
    #[must_use]
    pub fn incarnation_id(&self) -> IncarnationId {
        incarnation_id(self.daemon, self.incarnation)
    }
}

/// Updates of one daemon with what relays need to forward them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<T> {
    /// The daemon that sent the updates first.
    #[serde(rename = "teller")]
    pub origin: Origin,
    /// Number of the batch among those of its origin.
    pub sequence: Sequence,
    /// The updates.
    #[serde(rename = "news")]
    pub updates: Vec<T>,
}
