//! HTTP towards engines and services.
//!
//! Owns the connections to upstreams and the engine's dialect ([`engine`]),
//! and knows of each call whether any byte of it may have reached its
//! upstream: [`SendError::outcome`]. It decides nothing: `placement` says
//! where a call goes, `entry` says whether a failed one is tried again. Nothing
//! here retries by itself.

mod connection;
pub mod engine;
mod error;
pub mod reservation;
pub mod service;
mod traffic;

pub use connection::{Connections, ConnectionsOptions, FreshConnection, UpstreamResponse};
pub use error::{SendError, Step};
pub use traffic::ControlTraffic;

use std::net::SocketAddr;

use mangofront_settings::ids::InstanceId;

/// An upstream instance and where it listens.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the instance.
    pub instance: InstanceId,
    /// HTTP address.
    pub address: SocketAddr,
}
