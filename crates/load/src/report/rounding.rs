//! Numbers as reports show them.

use std::time::Duration;

/// `part` of `whole`, 0 of nothing.
pub(super) fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    rounded(part as f64 / whole as f64)
}

/// To four decimals: more would only be noise in a report.
pub(super) fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// Milliseconds of `time`.
pub(super) fn millis(time: Duration) -> f64 {
    rounded(time.as_secs_f64() * 1000.0)
}
