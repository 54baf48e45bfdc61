//! How much work may be outstanding, found from what the engines do.
//!
//! The limit doubles while nothing is late, as a TCP window does at its start,
//! then grows by about one for each of its lengths, and shrinks by a fixed
//! share when a first token was late. Late means two things at once: later than
//! the class's target, and well behind what the prompt would take on its own.
//! The first alone would blame the queue for prompts that are slow by
//! themselves; the second alone would keep engines idle that still meet every
//! target.

use std::time::{Duration, Instant};

/// Largest limit.
const MAX_LIMIT: f64 = 4_096.0;

/// Share that is left after a late first token.
const DECREASE: f64 = 0.85;

/// Part of the limit that must be in use for it to grow.
const IN_USE: f64 = 0.7;

/// Growth over one length of the limit, after the first late token.
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
    was_late: bool,
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
            was_late: false,
            decreased_at: None,
        }
    }

    /// Requests that may be outstanding at once.
    pub(crate) fn get(&self) -> usize {
        self.limit as usize
    }

    /// Takes in a request's time, with `outstanding` in flight.
    pub(crate) fn observe(&mut self, seen: Seen, outstanding: usize, now: Instant) {
        let outstanding = outstanding as f64;
        if seen.is_late() {
            self.decrease(seen, outstanding, now);
        } else if outstanding >= IN_USE * self.limit {
            let step = if self.was_late {
                INCREASE / self.limit
            } else {
                1.0
            };
            self.limit = (self.limit + step).min(MAX_LIMIT);
        }
    }

    fn decrease(&mut self, seen: Seen, outstanding: f64, now: Instant) {
        // Requests that were in flight together tell of one overload, not many.
        let pause = seen.measured.max(MIN_BETWEEN_DECREASES);
        if self.decreased_at.is_some_and(|at| now < at + pause) {
            return;
        }
        self.was_late = true;
        self.decreased_at = Some(now);
        self.limit = (self.limit.min(outstanding) * DECREASE).max(1.0);
    }
}
