//! Work of one request on its upstreams.

use std::time::Instant;

use mangofront_routes::Upstream;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::precedence::Caller;

/// Hash that identifies an incarnation of an upstream, the same at all daemons.
pub type UpstreamKey = u64;

/// Id of a request, unique within the daemon that placed it.
pub type WorkId = u64;

/// Hash that identifies this incarnation of an upstream.
///
/// Another incarnation under the same id has another key, so the state of the earlier one, and
/// updates that still arrive about it, don't affect it.
#[must_use]
pub fn key_of(upstream: &Upstream) -> UpstreamKey {
    xxh3_64_with_seed(upstream.id.as_bytes(), upstream.started_at_ms)
}

/// The load that a request's share puts on an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct ShareLoad {
    pub(crate) upstream: UpstreamKey,
    /// Prefill time, in milliseconds.
    pub(crate) prefill_ms: f64,
    /// Memory allocated, in tokens.
    pub(crate) memory_tokens: u64,
    /// Context added to each decode step here, in tokens.
    pub(crate) context_tokens: u64,
}

/// A placed request that has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Work {
    /// Shares of the request; the upstream of the first one answers.
    pub(crate) shares: Vec<ShareLoad>,
    /// On whose behalf it is done.
    pub(crate) caller: Caller,
    /// Whether the first event is still pending.
    pub(crate) is_prefilling: bool,
    /// When the first event was expected.
    pub(crate) expected_at: Instant,
    /// Longest gap between events for the answer to count as on time, in milliseconds.
    pub(crate) gap_ms: f64,
    /// When it was placed, or reported by another daemon.
    pub(crate) known_since: Instant,
    /// When it is dropped if its end is never reported.
    pub(crate) expires_at: Instant,
}
