//! Exponential backoff with jitter.

use std::time::Duration;

/// Maximum number of doublings; avoids an overflow before the cap is applied.
const MAX_DOUBLINGS: u32 = 16;

/// Pauses that double up to a cap. Each is drawn from the upper half of its step, so
/// that processes that failed at the same time don't retry at the same time.
#[derive(Debug)]
pub(crate) struct Backoff {
    base: Duration,
    cap: Duration,
    pauses: u32,
}

impl Backoff {
    pub(crate) fn new(base: Duration, cap: Duration) -> Self {
        Self {
            base,
            cap,
            pauses: 0,
        }
    }

    /// Returns the next pause.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let doublings = self.pauses.min(MAX_DOUBLINGS);
        self.pauses = self.pauses.saturating_add(1);
        let step = self.base.saturating_mul(1 << doublings).min(self.cap);
        step.mul_f64(rand::random_range(0.5..1.0))
    }

    /// Restarts from the base.
    pub(crate) fn reset(&mut self) {
        self.pauses = 0;
    }
}

/// `interval` lengthened or shortened at random by up to half of it.
pub(crate) fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.5..1.5))
}
