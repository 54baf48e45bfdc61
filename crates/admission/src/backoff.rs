//! Exponential backoff with jitter, so that retries of many callers don't
//! coincide.

use std::time::Duration;

/// Xorshift generator of uniformly distributed numbers from 0 to 1.
///
/// Invariant: the state is not zero, as xorshift would then yield only zeros.
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

/// Waits drawn uniformly between zero and a bound that doubles up to a limit.
#[derive(Debug, Clone)]
pub struct Backoff {
    next_bound: Duration,
    limit: Duration,
    jitter: Jitter,
}

impl Backoff {
    /// Creates a backoff whose bound starts at `first` and grows up to `limit`;
    /// `seed` determines the jitter.
    #[must_use]
    pub fn new(first: Duration, limit: Duration, seed: u64) -> Self {
        Self {
            next_bound: first.min(limit),
            limit,
            jitter: Jitter::seeded(seed),
        }
    }

    /// Draws the next wait and doubles the bound.
    pub fn next_wait(&mut self) -> Duration {
        let bound = self.next_bound;
        self.next_bound = (bound * 2).min(self.limit);
        bound.mul_f64(self.jitter.draw())
    }
}
