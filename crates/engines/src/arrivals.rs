//! How many requests other daemons place.

use std::time::{Duration, Instant};

/// Time over which arrivals are averaged: long against the news' delay, short against
/// the seconds of a peak.
const AVERAGED_OVER: Duration = Duration::from_secs(1);

/// Rate of arrivals, averaged with weights that fall off exponentially.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    per_s: f64,
    last: Option<Instant>,
}

impl Arrivals {
    /// Notes one arrival.
    pub(crate) fn note(&mut self, now: Instant) {
        self.per_s = self.per_s(now) + 1.0 / AVERAGED_OVER.as_secs_f64();
        self.last = Some(now);
    }

    /// Arrivals a second.
    pub(crate) fn per_s(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let passed = now.saturating_duration_since(last);
        self.per_s * (-passed.as_secs_f64() / AVERAGED_OVER.as_secs_f64()).exp()
    }
}
