//! Waits between retries, spread so that callers do not return together.

use std::time::Duration;

/// Waits that grow twofold up to a limit, each drawn evenly from zero to its
/// bound.
#[derive(Debug, Clone)]
pub struct Backoff {
    next_bound: Duration,
    limit: Duration,
    random: u64,
}

impl Backoff {
    /// Waits from `first` up to `limit`; `seed` decides the draws.
    #[must_use]
    pub fn new(first: Duration, limit: Duration, seed: u64) -> Self {
        Self {
            next_bound: first.min(limit),
            limit,
            // The generator never leaves zero.
            random: seed | 1,
        }
    }

    /// Next wait.
    pub fn next_wait(&mut self) -> Duration {
        let bound = self.next_bound;
        self.next_bound = (bound * 2).min(self.limit);
        bound.mul_f64(self.draw())
    }

    /// An even draw from 0 to 1, by xorshift.
    fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1_u64 << 53) as f64
    }
}
