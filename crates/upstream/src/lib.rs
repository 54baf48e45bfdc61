//! HTTP client for engines and services.
//!
//! Owns the connections to upstreams and implements the engines' protocol
//! ([`engine`]). For each failed call it reports whether any byte of it may have
//! reached the upstream: [`SendError::outcome`]. It contains no policy:
//! `placement` decides where a call goes, and `entry` whether a failed one is
//! retried. Only the idempotent cancellations and releases are retried here.

mod connection;
pub mod engine;
mod error;
pub mod reservation;
pub mod service;
mod traffic;

pub use connection::{Connections, ConnectionsOptions, FreshConnection, UpstreamResponse};
pub use error::{ConnectionFault, SendError, Step};
pub use traffic::ControlTraffic;

use std::net::SocketAddr;

use mangofront_settings::ids::InstanceId;

/// An upstream instance and its address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Target {
    /// Name of the instance.
    pub instance: InstanceId,
    /// HTTP address.
    pub address: SocketAddr,
}
