//! Exponential backoff with jitter.

use std::time::Duration;

/// Largest power of two that a pause grows by before the cap is looked at.
const LARGEST_SHIFT: u32 = 16;

/// Pauses that double up to a cap; each is drawn from the upper half of its
/// step, so that processes that failed together don't come back together.
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

    /// The next pause.
    pub(crate) fn next_pause(&mut self) -> Duration {
        let shift = self.pauses.min(LARGEST_SHIFT);
        self.pauses = self.pauses.saturating_add(1);
        let step = self.base.saturating_mul(1 << shift).min(self.cap);
        step.mul_f64(rand::random_range(0.5..1.0))
    }

    /// Starts again from the base.
    pub(crate) fn reset(&mut self) {
        self.pauses = 0;
    }
}

/// `interval` moved by up to half of itself in either direction.
pub(crate) fn jittered(interval: Duration) -> Duration {
    interval.mul_f64(rand::random_range(0.5..1.5))
}
