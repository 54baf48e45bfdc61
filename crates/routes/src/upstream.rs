//! Registration of an upstream: one incarnation of an engine or service process.

use std::net::SocketAddr;
use std::time::Duration;

use mangofront_settings::ids::{AvailabilityZone, ServiceName};
use serde::{Deserialize, Serialize};

use crate::position::Position;

/// Id of an upstream; it may or may not change on a restart.
pub type UpstreamId = String;

/// One upstream as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// Start of this incarnation, in Unix milliseconds of the upstream's own clock; the same id
    /// with another start time is another incarnation, which has lost the earlier state.
    pub started_at_ms: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address; a later upstream, even of another service, may reuse it.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Requests that run concurrently.
    pub slots: u32,
    /// Position of its last change; of two upstreams with the same address, the earlier one is gone.
    pub registered_at: Position,
    /// Whether it has announced its shutdown.
    pub leaving: bool,
    /// How much longer it is cold, as of its last change; `None` if it doesn't say.
    pub cold_left: Option<Duration>,
}

impl Upstream {
    /// Whether `other` differs at most in `registered_at`.
    #[must_use]
    pub fn eq_except_registered_at(&self, other: &Self) -> bool {
        let normalized = Self {
            registered_at: self.registered_at,
            ..other.clone()
        };
        *self == normalized
    }
}
