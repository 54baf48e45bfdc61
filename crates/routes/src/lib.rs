//! Routes, services, organisations and upstreams that a gateway serves.
//!
//! Owns the types in which the gateway thinks of what operators publish: a
//! [`RouteTable`] is one version of the configuration, indexed for look-ups; an
//! [`Upstream`] is one life of one engine or service process. Whatever
//! publishes them is decoded into these types at the edge of the process.
//! Nothing in here does input or output, or decides anything but which route a
//! request is on.

mod route;
mod service;
mod table;
mod upstream;

pub use route::{RetrySafety, Route, Split};
pub use service::{EngineProfile, Service};
pub use table::{CallerLimits, Organisation, RouteTable, RouteTableParts};
pub use upstream::{Upstream, UpstreamId};

/// Version of a configuration; a later one is higher.
pub type ConfigurationVersion = u64;

/// Secret by which a caller shows which organisation it belongs to.
pub type ApiKey = String;
