//! Length-aware engine selection with load and prefix-cache tracking.
//!
//! Selects an engine, or a group of engines, for each request. Each daemon
//! decides on its own from three sources: what engines report
//! ([`LoadReport`], [`CacheEvents`]), what this daemon has placed since, and
//! the placements that other daemons publish. `platform` supplies the list of
//! engines, `upstream` the reports, cache events and outcomes, and `peers` the
//! views of other daemons. `admission` requests estimates and `entry` places
//! requests. The crate does no I/O and takes the time only from a [`Clock`].
//!
//! See `docs/design/placement.md` for the alternatives considered.

mod backlog;
mod cache;
mod choose;
mod clock;
mod decayed;
mod eligibility;
mod engine;
mod estimate;
mod explain;
mod group;
mod health;
mod length_class;
mod model;
mod options;
mod own_work;
mod peer_views;
mod peer_work;
mod placed;
mod placement;
mod prefill;
mod priority;
mod report;
mod request;
mod state;

pub use crate::clock::Clock;
pub use crate::decayed::{DecayedSum, SmoothedMean};
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
pub use crate::request::{
    EngineInfo, EngineOutcome, Estimate, GroupMember, NoEngine, PlacementRequest,
};
