//! The platform's list of instances.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::ids::{AvailabilityZone, InstanceId, ModelName, Region, ServiceName};

/// The list as the platform serves it; it may lag behind the actual instances.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct InstanceList {
    /// Every instance that the platform lists.
    pub instances: Vec<Instance>,
}

/// One machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Instance {
    /// Name of the machine.
    pub instance: InstanceId,
    /// Region it is in.
    pub region: Region,
    /// Availability zone it is in.
    pub availability_zone: AvailabilityZone,
    /// Whether it takes new work.
    pub state: InstanceState,
    /// What runs on it.
    pub role: InstanceRole,
}

/// Whether an instance takes new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceState {
    /// Takes new work.
    Live,
    /// Takes no new work and is about to shut down.
    Leaving,
}

/// What runs on an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum InstanceRole {
    /// A daemon of this project.
    Entry {
        /// Address for connections between daemons.
        peer_address: SocketAddr,
        /// Address for callers.
        caller_address: SocketAddr,
    },
    /// An engine that serves a model.
    Engine {
        /// HTTP address of the engine.
        address: SocketAddr,
        /// Model it serves.
        model: ModelName,
    },
    /// An instance of a service.
    Service {
        /// HTTP address of the service.
        address: SocketAddr,
        /// Name of the service.
        service: ServiceName,
    },
}
