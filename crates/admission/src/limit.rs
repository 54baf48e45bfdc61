//! Adaptive concurrency limit, derived from the latency of first tokens.
//!
//! While few first tokens are late, the limit grows: by one per timely first
//! token until the first decrease, as in TCP slow start, and by about two per
//! round of `limit` first tokens afterwards. While many are late, it shrinks by
//! a constant factor. A first token is late if it misses the class's target and
//! also takes much longer than the prompt would without a queue. The first
//! condition alone would attribute inherently slow prompts to queueing; the
//! second alone would leave engines idle that still meet every target.
//!
//! A single late token is weak evidence: some occur at any load, and requests of
//! other daemons cause as many as this daemon's own. The limit therefore shrinks
//! only when a share of first tokens is late and the limit is in use.

use std::time::{Duration, Instant};

use mangofront_placement::SmoothedMean;

/// Maximum limit, in requests.
const MAX_LIMIT: f64 = 4_096.0;

/// Factor by which a decrease multiplies the limit.
const DECREASE_FACTOR: f64 = 0.9;

/// Share of late first tokens above which the limit shrinks.
const MAX_LATE_SHARE: f64 = 0.3;

/// Share of the limit that must be in use for it to change.
const MIN_USED_SHARE: f64 = 0.7;

/// Growth per round of `limit` first tokens, after the first decrease.
const LINEAR_INCREASE: f64 = 2.0;

/// Ratio of measured to unqueued time above which a first token may be late.
const LATE_FACTOR: f64 = 1.5;

/// Minimum time between two decreases.
const MIN_DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Limit on concurrently outstanding requests.
///
/// Invariant: `1 <= limit <= MAX_LIMIT`.
#[derive(Debug, Clone)]
pub(crate) struct AdaptiveLimit {
    limit: f64,
    late_share: SmoothedMean,
    was_decreased: bool,
    decreased_at: Option<Instant>,
}

/// Latency observed for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LatencySample {
    /// Time from admission to the first token, or to the end of a request without
    /// one.
    pub(crate) measured: Duration,
    /// Predicted time to the first token without a queue.
    pub(crate) unqueued: Duration,
    /// Part of the class's target that remained at admission.
    pub(crate) target: Duration,
}

impl LatencySample {
    pub(crate) fn is_late(&self) -> bool {
        self.measured > self.target && self.measured > self.unqueued.mul_f64(LATE_FACTOR)
    }
}

impl AdaptiveLimit {
    pub(crate) fn new(initial: f64) -> Self {
        Self {
            limit: initial.clamp(1.0, MAX_LIMIT),
            late_share: SmoothedMean::default(),
            was_decreased: false,
            decreased_at: None,
        }
    }

    /// Requests that may be outstanding at once.
    pub(crate) fn get(&self) -> usize {
        self.limit as usize
    }

    /// Adjusts the limit to a sample taken with `outstanding` requests in flight.
    pub(crate) fn observe(&mut self, sample: LatencySample, outstanding: usize, now: Instant) {
        let is_late = sample.is_late();
        self.late_share.observe(f64::from(u8::from(is_late)));
        if (outstanding as f64) < MIN_USED_SHARE * self.limit {
            return;
        }
        let late_share = self.late_share.mean().unwrap_or(0.0);
        if late_share > MAX_LATE_SHARE {
            self.decrease(sample, now);
        } else if !is_late {
            self.increase();
        }
    }

    fn increase(&mut self) {
        let step = if self.was_decreased {
            LINEAR_INCREASE / self.limit
        } else {
            1.0
        };
        self.limit = (self.limit + step).min(MAX_LIMIT);
    }

    fn decrease(&mut self, sample: LatencySample, now: Instant) {
        // Requests that were in flight together indicate a single overload.
        let min_interval = sample.measured.max(MIN_DECREASE_INTERVAL);
        if self.decreased_at.is_some_and(|at| now < at + min_interval) {
            return;
        }
        self.was_decreased = true;
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE_FACTOR).max(1.0);
    }
}
