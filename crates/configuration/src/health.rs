//! Status information for operators.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mangofront_settings::ids::Revision;
use serde::Serialize;

use crate::document::Version;

/// Status of the configuration and its calls to the service, for status pages.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct PlatformHealth {
    /// Address of the service.
    pub address: SocketAddr,
    /// Whether this process watches the service; otherwise changes arrive from peers.
    pub watching: bool,
    /// Time since the service last answered, in milliseconds.
    pub last_contact_ms: Option<u64>,
    /// Number of failed calls since then.
    pub consecutive_failures: u64,
    /// Number of failed calls since the start.
    pub failures: u64,
    /// The last failure, with the call and the service's address.
    pub last_failure: Option<String>,
    /// Number of plain reads since the start.
    pub reads: u64,
    /// Number of watches since the start.
    pub watches: u64,
    /// Number of watches that timed out without an answer.
    pub hung_watches: u64,
    /// Status of the configuration.
    pub configuration: DocumentHealth,
    /// Status of the instance list.
    pub instances: DocumentHealth,
}

/// Status of one published value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DocumentHealth {
    /// Version in force.
    pub accepted: Option<Version>,
    /// Time since it came into force, in milliseconds.
    pub accepted_for_ms: Option<u64>,
    /// Revision that the service reported last.
    #[serde(rename = "told")]
    pub reported_revision: Option<Revision>,
    /// Whether the service serves values below the revision in force; reset after a
    /// few current answers in a row.
    pub service_is_behind: bool,
    /// Number of the service's answers refused as stale.
    pub stale_refused: u64,
    /// Number of values refused for other reasons.
    pub refused: u64,
    /// Number of values from peers that came into force.
    pub from_peers: u64,
}

/// Counters and results of calls to the service.
#[derive(Debug, Default)]
pub(crate) struct CallStats {
    pub(crate) last: Option<Instant>,
    pub(crate) consecutive_failures: u64,
    pub(crate) failures: u64,
    pub(crate) last_failure: Option<String>,
    pub(crate) reads: u64,
    pub(crate) watches: u64,
    pub(crate) hung_watches: u64,
    /// Whether the loss of the service was reported.
    pub(crate) is_lost: bool,
}

pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
