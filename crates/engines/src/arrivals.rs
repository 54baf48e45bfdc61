//! Rate at which other daemons place requests.

use std::time::{Duration, Instant};

/// Averaging time of the rate: long compared to the delay of updates, short compared to the seconds
/// of a load peak.
const AVERAGING_TIME: Duration = Duration::from_secs(1);

/// Rate of arrivals as an exponentially weighted moving average.
#[derive(Debug, Default)]
pub(crate) struct Arrivals {
    per_s: f64,
    last: Option<Instant>,
}

impl Arrivals {
    /// Records one arrival.
    pub(crate) fn record(&mut self, now: Instant) {
        self.per_s = self.per_s(now) + 1.0 / AVERAGING_TIME.as_secs_f64();
        self.last = Some(now);
    }

    /// Arrivals per second.
    pub(crate) fn per_s(&self, now: Instant) -> f64 {
        let Some(last) = self.last else {
            return 0.0;
        };
        let elapsed = now.saturating_duration_since(last);
        self.per_s * (-elapsed.as_secs_f64() / AVERAGING_TIME.as_secs_f64()).exp()
    }
}
