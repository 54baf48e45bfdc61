//! What daemons tell each other of their placements.
//!
//! News may be lost, doubled or late: work that is heard of expires by itself,
//! and an end that comes before its beginning is harmless.

use serde::{Deserialize, Serialize};

use crate::work::{UpstreamKey, WorkId};

/// One life of a daemon that tells news.
pub type Origin = u64;

/// One piece of news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum News {
    /// A request was placed.
    Placed {
        /// Number of the request.
        work: WorkId,
        /// Parts; the first one's upstream answers.
        parts: Vec<PartNews>,
        /// Longest pause between events of an answer in time, in milliseconds.
        gap_ms: u32,
        /// Time until the first event is expected, in milliseconds.
        expected_in_ms: u32,
        /// Time after which the request has ended for certain, in milliseconds.
        expires_in_ms: u32,
    },
    /// A request's first event came.
    Read {
        /// Number of the request.
        work: WorkId,
    },
    /// A request ended.
    Ended {
        /// Number of the request.
        work: WorkId,
    },
    /// All requests of the teller that have not ended, told each second.
    ///
    /// Whoever missed an end, or a first event, is set right by it.
    Running {
        /// Requests whose first event is awaited.
        reading: Vec<WorkId>,
        /// Requests that write.
        writing: Vec<WorkId>,
    },
    /// An upstream failed.
    Failed {
        /// The upstream.
        upstream: UpstreamKey,
        /// How long the teller leaves it out, in milliseconds.
        ejected_ms: u32,
    },
}

/// One part of a request that was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartNews {
    /// The upstream that reads it.
    pub upstream: UpstreamKey,
    /// Time to read it, in microseconds.
    pub read_us: u32,
    /// Memory set aside, in tokens.
    pub memory_tokens: u32,
    /// Context that each step costs there, in tokens.
    pub context_tokens: u32,
}
