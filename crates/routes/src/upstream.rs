//! One life of one engine or service process.

use std::net::SocketAddr;

use mangofront_settings::ids::{AvailabilityZone, ServiceName};
use serde::{Deserialize, Serialize};

/// Id of one life of an upstream: a restart brings a new one.
pub type UpstreamId = String;

/// One upstream as it registered itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Id of this life.
    pub id: UpstreamId,
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
