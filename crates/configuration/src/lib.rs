//! Reading, watching and relaying of the configuration and the instance list.
//!
//! This crate holds the two values that the platform publishes, as this process
//! accepted them, and decides whether a newly received value is accepted. Revisions in
//! force never decrease, whatever the source of a lower one: a service that serves stale
//! values can't revert a change, and a new process that read from such a service is
//! corrected by its peers.
//!
//! [`Platform`] reads and watches the service by itself. Connections between daemons
//! belong to the `peers` crate, which carries each daemon's [`Summary`] in its gossip;
//! the daemon calls [`Platform::wants`] to find out what to fetch, and daemons send each
//! other a [`Document`]. Every change is passed to the callback in the options as a
//! [`PlatformChange`]; the daemon records it in the audit trail. The checker of a
//! configuration is also given in the options, as a plain function.

mod accepted;
mod backoff;
mod change;
mod check;
mod decision;
mod digest;
mod document;
mod error;
mod health;
mod options;
mod pause;
mod platform;
mod published_value;
mod reader;
mod refusal_history;
mod service;
mod shared;
mod staleness;
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
