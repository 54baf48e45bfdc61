//! What one daemon tells at one moment.

use std::net::IpAddr;

use serde::{Deserialize, Serialize};

/// Short name of one life of a daemon.
pub type IncarnationId = u64;

/// Short name of the life of a daemon; never 0.
#[must_use]
pub fn incarnation_id(daemon: u64, incarnation: u64) -> IncarnationId {
    (daemon ^ incarnation) | 1
}

/// Number of a telling within its teller's life; it grows.
pub type Sequence = u64;

/// Who tells.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// Short name of the daemon.
    pub daemon: u64,
    /// Its life; a later one is higher.
    pub incarnation: u64,
    /// Where it listens; the port is the same for all.
    pub address: IpAddr,
    /// Its availability zone.
    pub zone: String,
}

impl Origin {
    /// Short name of this life.
    #[must_use]
    pub fn incarnation_id(&self) -> IncarnationId {
        incarnation_id(self.daemon, self.incarnation)
    }
}

/// News of one daemon with what is needed to relay them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<T> {
    /// Who tells.
    #[serde(rename = "teller")]
    pub origin: Origin,
    /// Its place among the teller's.
    pub sequence: Sequence,
    /// What is told.
    #[serde(rename = "news")]
    pub updates: Vec<T>,
}
