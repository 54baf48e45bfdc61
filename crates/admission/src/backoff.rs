//! Waits between retries, spread so that callers do not return together.

use std::time::Duration;

/// Even draws from 0 to 1, by xorshift.
///
/// Invariant: the state is never zero, which the generator would not leave.
#[derive(Debug, Clone)]
pub(crate) struct Jitter(u64);

impl Default for Jitter {
    fn default() -> Self {
        Self::seeded(0x9E37_79B9_7F4A_7C15)
    }
}

impl Jitter {
    pub(crate) fn seeded(seed: u64) -> Self {
        Self(seed | 1)
    }

    pub(crate) fn draw(&mut self) -> f64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 11) as f64 / (1_u64 << 53) as f64
    }
}

/// Waits that grow twofold up to a limit, each drawn evenly from zero to its
/// bound.
#[derive(Debug, Clone)]
pub struct Backoff {
    next_bound: Duration,
    limit: Duration,
    jitter: Jitter,
}

impl Backoff {
    /// Waits from `first` up to `limit`; `seed` decides the draws.
    #[must_use]
    pub fn new(first: Duration, limit: Duration, seed: u64) -> Self {
        Self {
            next_bound: first.min(limit),
            limit,
            jitter: Jitter::seeded(seed),
        }
    }

    /// Next wait.
    pub fn next_wait(&mut self) -> Duration {
        let bound = self.next_bound;
        self.next_bound = (bound * 2).min(self.limit);
        bound.mul_f64(self.jitter.draw())
    }
}
