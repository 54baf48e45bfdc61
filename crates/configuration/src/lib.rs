//! Configuration and instance list: read, watch, relay, revision floor.
//!
//! Owns the two values that the platform publishes, as this process accepted
//! them, and the decision whether a value that arrives is taken. A revision
//! once accepted is a floor that is never lowered, whoever offers less: a
//! service that serves stale values can't undo a change, and a fresh process
//! that met such a service is corrected by its peers.
//!
//! [`Platform`] reads and watches the service by itself. The links between
//! daemons belong to the `peers` crate: it carries [`Summary`] in its gossip,
//! asks [`Platform::wants`] what to fetch, and hands over each other's
//! [`Document`]. Every change goes to the callback of the options as a
//! [`PlatformChange`]; the daemon connects it to the audit trail. The checks of
//! a configuration come from the options too, as a plain function.

mod accepted;
mod backoff;
mod change;
mod check;
mod digest;
mod document;
mod error;
mod floor;
mod health;
mod options;
mod pause;
mod platform;
mod reader;
mod refusals;
mod service;
mod shared;
mod staleness;
mod verdict;
mod waiters;

pub use accepted::{AcceptedConfiguration, AcceptedInstances};
pub use change::{OfferOutcome, PlatformChange, Refusal};
pub use check::{Checker, check_configuration};
pub use document::{Digest, Document, Kind, Source, Summary, Version, Wanted};
pub use error::{ReadError, ReadStep};
pub use health::{DocumentHealth, PlatformHealth};
pub use options::{
    CALLS_PER_MINUTE_RELAYED, CALLS_PER_MINUTE_WATCHING, DEFAULT_PLAIN_INTERVAL, DEFAULT_WAIT,
    OnChange, PlatformOptions, PlatformOptionsBuilder, VALUE_LIMIT_BYTES,
};
pub use platform::{Platform, Revisions};
