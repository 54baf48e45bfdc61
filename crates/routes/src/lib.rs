//! Routes, services, organisations and upstreams that a gateway serves.
//!
//! Defines the gateway's model of what operators publish: a [`RouteTable`] is one version of the
//! configuration, indexed for lookup; an [`Upstream`] is one incarnation of an engine or service
//! process. Published documents are decoded into these types at the edge of the process. This crate
//! does no input or output, and decides nothing except which route a request matches.

mod place;
mod position;
mod route;
mod service;
mod table;
mod upstream;

pub use place::AllowedRegions;
pub use position::{Era, Position, Revision};
pub use route::{RetrySafety, Route, Split};
pub use service::{EngineProfile, Service, WarmUp};
pub use table::{CallerLimits, Organisation, RouteTable, RouteTableParts};
pub use upstream::{Upstream, UpstreamId};

/// Version of a configuration; later versions are higher.
pub type ConfigurationVersion = u64;

/// Secret that identifies a caller's organisation.
pub type ApiKey = String;
