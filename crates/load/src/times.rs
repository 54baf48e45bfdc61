//! Distribution of measured times.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Longest time told apart, in microseconds: an hour.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Significant digits kept.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Longest time that [`LatencyHistogram::high_resolution`] tells apart, in microseconds: a minute.
const MAX_FINE_TIME_US: u64 = 60_000_000;

/// Significant digits that [`LatencyHistogram::high_resolution`] keeps.
const FINE_SIGNIFICANT_DIGITS: u8 = 4;

/// Longest duration that scaling gives: a day.
const MAX_SCALED: Duration = Duration::from_secs(24 * 60 * 60);

/// `time` by `factor`, at most a day.
#[must_use]
pub fn scaled(time: Duration, factor: f64) -> Duration {
    let scaled = Duration::try_from_secs_f64(time.as_secs_f64() * factor);
    scaled.map_or(MAX_SCALED, |scaled| scaled.min(MAX_SCALED))
}

/// Histogram of times.
///
/// Invariant: it is there. The library refuses bounds that contradict each
/// other; those above do not, and a test holds them to it. Were it not there,
/// no time would be counted, which the reports' counts show.
#[derive(Debug, Clone)]
pub struct LatencyHistogram(Option<Histogram<u64>>);

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self::new()
    }
}

impl FromIterator<Duration> for LatencyHistogram {
    fn from_iter<I: IntoIterator<Item = Duration>>(times: I) -> Self {
        let mut all = Self::new();
        for time in times {
            all.add(time);
        }
        all
    }
}

impl LatencyHistogram {
    /// Histogram without a time.
    #[must_use]
    pub fn new() -> Self {
        Self::bounded(MAX_TIME_US, SIGNIFICANT_DIGITS)
    }

    /// Histogram for small differences of times up to a minute.
    ///
    /// It takes more than a megabyte, so it is not the default.
    #[must_use]
    pub fn high_resolution() -> Self {
        Self::bounded(MAX_FINE_TIME_US, FINE_SIGNIFICANT_DIGITS)
    }

    fn bounded(longest_us: u64, digits: u8) -> Self {
        let histogram = Histogram::new_with_bounds(1, longest_us, digits);
        let histogram = histogram.inspect_err(|error| log::error!("load: no histogram: {error}"));
        Self(histogram.ok())
    }

    /// Adds one time; longer ones than the longest told apart count as
    /// that.
    pub fn add(&mut self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(time_us);
        }
    }

    /// Number of times.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// Time that a share of all do not exceed, in milliseconds; 0 when empty.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let time_us = self.0.as_ref().map(|times| times.value_at_quantile(share));
        time_us.unwrap_or_default() as f64 / 1000.0
    }

    /// The figures of a report.
    #[must_use]
    pub fn quantiles(&self) -> Quantiles {
        Quantiles {
            count: self.count(),
            p50_ms: self.quantile_ms(0.50),
            p95_ms: self.quantile_ms(0.95),
            p99_ms: self.quantile_ms(0.99),
            max_ms: self.0.as_ref().map_or(0, Histogram::max) as f64 / 1000.0,
        }
    }
}

/// Figures of a distribution of times.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of times.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Greatest, in milliseconds.
    pub max_ms: f64,
}
