//! What an operator sees of the reader.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mangofront_settings::ids::Revision;
use serde::Serialize;

use crate::document::Version;

/// State of the reader, for status pages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlatformHealth {
    /// Address of the service.
    pub address: SocketAddr,
    /// Whether this process holds watches, or learns by relay.
    pub watching: bool,
    /// Time since the service last answered, in milliseconds.
    pub last_contact_ms: Option<u64>,
    /// Failed calls since then.
    pub consecutive_failures: u64,
    /// Failed calls since the start.
    pub failures: u64,
    /// The last failure, with its step and peer.
    pub last_failure: Option<String>,
    /// Plain reads since the start.
    pub reads: u64,
    /// Watches since the start.
    pub watches: u64,
    /// Watches that hung past their wait.
    pub hung_watches: u64,
    /// State of the configuration.
    pub configuration: DocumentHealth,
    /// State of the instance list.
    pub instances: DocumentHealth,
}

/// State of one published value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DocumentHealth {
    /// Version in force.
    pub accepted: Option<Version>,
    /// Time since it came into force, in milliseconds.
    pub accepted_for_ms: Option<u64>,
    /// Revision that the service told last.
    pub told: Option<Revision>,
    /// Whether the service serves values below the revision in force; ends
    /// after a few current answers in a row.
    pub service_is_behind: bool,
    /// Answers of the service refused as stale.
    pub stale_refused: u64,
    /// Values refused for another reason.
    pub refused: u64,
    /// Values that came into force from a peer.
    pub from_peers: u64,
}

/// Calls to the service and how they went.
#[derive(Debug, Default)]
pub(crate) struct Contact {
    pub(crate) last: Option<Instant>,
    pub(crate) consecutive_failures: u64,
    pub(crate) failures: u64,
    pub(crate) last_failure: Option<String>,
    pub(crate) reads: u64,
    pub(crate) watches: u64,
    pub(crate) hung_watches: u64,
    /// Whether the audit trail was told that the service is lost.
    pub(crate) is_lost: bool,
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
