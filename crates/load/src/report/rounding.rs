//! Rounding of the numbers in reports.

use std::time::Duration;

/// Returns `part` divided by `whole`, or 0 when `whole` is 0.
pub(super) fn share(part: u64, whole: u64) -> f64 {
    if whole == 0 {
        return 0.0;
    }
    rounded(part as f64 / whole as f64)
}

/// Rounds to four decimal places; further digits are noise.
pub(super) fn rounded(value: f64) -> f64 {
    (value * 10_000.0).round() / 10_000.0
}

/// Returns `time` in milliseconds.
pub(super) fn millis(time: Duration) -> f64 {
    rounded(time.as_secs_f64() * 1000.0)
}
