//! One request at the upstreams that work on it.

use std::time::Instant;

use mangofront_routes::Upstream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Short name of an upstream's life, the same at all daemons.
pub type UpstreamKey = u64;

/// Number of a request, unique within the daemon that placed it.
pub type WorkId = u64;

/// Short name of this life of an upstream.
///
/// Another life under the same id has another name, so whatever was believed of
/// the one before, and whatever peers still tell of it, does not touch it.
#[must_use]
pub fn key_of(upstream: &Upstream) -> UpstreamKey {
    xxh3_64_with_seed(upstream.id.as_bytes(), upstream.started_at_ms)
}

/// A part of a prompt that an upstream reads, and the memory it sets aside.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Part {
    pub(crate) upstream: UpstreamKey,
    /// Time to read it, in milliseconds.
    pub(crate) read_ms: f64,
    /// Memory set aside, in tokens.
    pub(crate) memory_tokens: u64,
    /// Context that each step costs here while the answer is written, in tokens.
    pub(crate) context_tokens: u64,
}

/// One request that was placed and has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    /// Parts; the first one's upstream answers.
    pub(crate) parts: Vec<Part>,
    /// Whether the first event is still awaited.
    pub(crate) is_reading: bool,
    /// When the first event was expected.
    pub(crate) expected_at: Instant,
    /// Longest pause between events of an answer in time, in milliseconds.
    pub(crate) gap_ms: f64,
    /// When it was placed, or heard of.
    pub(crate) known_since: Instant,
    /// When it is forgotten, should its end never be heard of.
    pub(crate) expires_at: Instant,
}
