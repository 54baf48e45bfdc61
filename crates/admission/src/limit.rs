//! How much work may be outstanding, found from what the engines do.
//!
//! The limit doubles while few first tokens are late, as a TCP window does at
//! its start, then grows by about two for each of its lengths, and shrinks by a
//! fixed share while many are. Late means two things at once: later than the
//! class's target, and well behind what the prompt would take on its own. The
//! first alone would blame the queue for prompts that are slow by themselves;
//! the second alone would keep engines idle that still meet every target.
//!
//! One late token says little: chance brings some at any load, and what other
//! daemons placed is to blame as often as this one. So it takes a share of late
//! ones, and a limit that is in use, to shrink it.

use std::time::{Duration, Instant};

use mangofront_placement::SmoothedMean;

/// Largest limit.
const MAX_LIMIT: f64 = 4_096.0;

/// Share that is left after a decrease.
const DECREASE: f64 = 0.9;

/// Share of late first tokens from which the limit shrinks.
const MAX_LATE_SHARE: f64 = 0.3;

/// Part of the limit that must be in use for it to change.
const IN_USE: f64 = 0.7;

/// Growth over one length of the limit, after the first decrease.
const INCREASE: f64 = 2.0;

/// Measured over unqueued time from which a first token may count as late.
const LATE_FACTOR: f64 = 1.5;

/// Shortest time between two decreases.
const MIN_BETWEEN_DECREASES: Duration = Duration::from_millis(100);

/// Limit of concurrently outstanding requests.
///
/// Invariant: `1 <= limit <= MAX_LIMIT`.
#[derive(Debug, Clone)]
pub(crate) struct AdaptiveLimit {
    limit: f64,
    late_share: SmoothedMean,
    was_decreased: bool,
    decreased_at: Option<Instant>,
}

/// What was seen of one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Seen {
    /// Time from its admission to its first token, or without one so far.
    pub(crate) measured: Duration,
    /// Time that it would have taken without a queue.
    pub(crate) unqueued: Duration,
    /// Part of its class's target that was left at its admission.
    pub(crate) target: Duration,
}

impl Seen {
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

    /// Takes in a request's time, with `outstanding` in flight.
    pub(crate) fn observe(&mut self, seen: Seen, outstanding: usize, now: Instant) {
        let is_late = seen.is_late();
        self.late_share.observe(f64::from(u8::from(is_late)));
        if (outstanding as f64) < IN_USE * self.limit {
            return;
        }
        let late_share = self.late_share.mean().unwrap_or(0.0);
        if late_share > MAX_LATE_SHARE {
            self.decrease(seen, now);
        } else if !is_late {
            self.increase();
        }
    }

    fn increase(&mut self) {
        let step = if self.was_decreased {
            INCREASE / self.limit
        } else {
            1.0
        };
        self.limit = (self.limit + step).min(MAX_LIMIT);
    }

    fn decrease(&mut self, seen: Seen, now: Instant) {
        // Requests that were in flight together tell of one overload, not many.
        let pause = seen.measured.max(MIN_BETWEEN_DECREASES);
        if self.decreased_at.is_some_and(|at| now < at + pause) {
            return;
        }
        self.was_decreased = true;
        self.decreased_at = Some(now);
        self.limit = (self.limit * DECREASE).max(1.0);
    }
}
