//! Load and cache view, length-aware routing, engine groups.
//!
//! Owns the choice of an engine for each request, made by each daemon alone
//! from its own view: what engines report ([`LoadReport`], [`CacheEvents`]),
//! what this daemon has placed since, and what other daemons say they have
//! placed. `platform` hands in the list of engines, `upstream` the reports,
//! cache events and outcomes, `peers` the views of other daemons; `admission`
//! asks for estimates and `entry` for places. Nothing in here does any input or
//! output, and every decision asks one [`Clock`] for the time.
//!
//! `docs/design/placement.md` tells the ways that were weighed.

mod backlog;
mod bars;
mod border;
mod cache;
mod choose;
mod clock;
mod decayed;
mod demand;
mod engine;
mod estimate;
mod explain;
mod gossip;
mod group;
mod health;
mod model;
mod options;
mod peer_work;
mod placed;
mod placement;
mod priority;
mod rates;
mod report;
mod view;
mod work;

pub use crate::clock::Clock;
pub use crate::decayed::{DecayedSum, SmoothedMean};
pub use crate::demand::{
    EngineInfo, EngineOutcome, Estimate, GroupMember, NoEngine, PlacementRequest,
};
pub use crate::explain::{
    CandidateEngine, EngineStatus, Explanation, PlacementStatus, SelectionReason,
};
pub use crate::options::{DEFAULT_ZONE_PENALTY, PlacementOptions, Policy};
pub use crate::placed::PlacedRequest;
pub use crate::placement::Placement;
pub use crate::report::{
    CacheEvent, CacheEventKind, CacheEvents, CacheSnapshot, CacheSync, EngineRole, EngineState,
    LoadReport,
};
