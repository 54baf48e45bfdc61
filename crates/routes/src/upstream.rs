//! One life of one engine or service process.

use std::net::SocketAddr;

use mangofront_settings::ids::{AvailabilityZone, ServiceName};
use serde::{Deserialize, Serialize};

/// Id of an upstream; after a restart it may have the same one or another.
pub type UpstreamId = String;

/// One upstream as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its id.
    pub id: UpstreamId,
    /// When this life started, in Unix milliseconds of the upstream's own clock; the
    /// same id with another start is another life, which knows nothing of before.
    pub started_at_ms: u64,
    /// Service that it runs.
    pub service: ServiceName,
    /// Address; a later upstream, also of another service, may get the same.
    pub address: SocketAddr,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Requests that run at once.
    pub slots: u32,
    /// When it was registered, as a number that grows; of two at one address the
    /// earlier one is gone.
    pub registered_at: u64,
    /// Whether it has announced that it is going.
    pub leaving: bool,
}

impl Upstream {
    /// Whether `other` differs in nothing but when it was registered.
    #[must_use]
    pub fn eq_except_registered_at(&self, other: &Self) -> bool {
        let other = Self {
            registered_at: self.registered_at,
            ..other.clone()
        };
        *self == other
    }
}
