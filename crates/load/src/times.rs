//! Histograms of measured times.

use std::time::Duration;

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Maximum recorded time, in microseconds: one hour.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Significant decimal digits of a recorded time.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Maximum time that [`LatencyHistogram::high_resolution`] records, in
/// microseconds: one minute.
const MAX_FINE_TIME_US: u64 = 60_000_000;

/// Significant decimal digits of [`LatencyHistogram::high_resolution`].
const FINE_SIGNIFICANT_DIGITS: u8 = 4;

/// Upper bound of scaled durations: one day.
const MAX_SCALED: Duration = Duration::from_secs(24 * 60 * 60);

/// Multiplies `time` by `factor`, up to one day.
#[must_use]
pub fn scaled(time: Duration, factor: f64) -> Duration {
    let scaled = Duration::try_from_secs_f64(time.as_secs_f64() * factor);
    scaled.map_or(MAX_SCALED, |scaled| scaled.min(MAX_SCALED))
}

/// Histogram of times.
///
/// Invariant: the inner histogram exists. The library rejects inconsistent
/// bounds; those above are consistent, which a test checks. Without the
/// histogram no time would be counted, and the counts in the reports would
/// show it.
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
    /// Creates an empty histogram.
    #[must_use]
    pub fn new() -> Self {
        Self::bounded(MAX_TIME_US, SIGNIFICANT_DIGITS)
    }

    /// Creates an empty histogram of times up to one minute, precise enough for
    /// small differences.
    ///
    /// It uses more than a megabyte, so it is not the default.
    #[must_use]
    pub fn high_resolution() -> Self {
        Self::bounded(MAX_FINE_TIME_US, FINE_SIGNIFICANT_DIGITS)
    }

    fn bounded(longest_us: u64, digits: u8) -> Self {
        let histogram = Histogram::new_with_bounds(1, longest_us, digits);
        let histogram =
            histogram.inspect_err(|error| log::error!("load: cannot create histogram: {error}"));
        Self(histogram.ok())
    }

    /// Records one time; longer times count as the maximum.
    pub fn add(&mut self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(time_us);
        }
    }

    /// Returns the number of recorded times.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.as_ref().map_or(0, Histogram::len)
    }

    /// Returns the quantile `share` (0 to 1) in milliseconds; 0 when empty.
    #[must_use]
    pub fn quantile_ms(&self, share: f64) -> f64 {
        let time_us = self.0.as_ref().map(|times| times.value_at_quantile(share));
        time_us.unwrap_or_default() as f64 / 1000.0
    }

    /// Returns the summary for a report.
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

/// Summary of a distribution of times.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Quantiles {
    /// Number of recorded times.
    pub count: u64,
    /// Median, in milliseconds.
    pub p50_ms: f64,
    /// 95th percentile, in milliseconds.
    pub p95_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Maximum, in milliseconds.
    pub max_ms: f64,
}
