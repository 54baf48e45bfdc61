//! The scaled clock of the emulators.

use std::time::Duration;

/// Duration of `duration_ms` on a clock scaled by `factor`.
///
/// Zero when the factor is negative or the product is no duration.
pub(crate) fn scale(duration_ms: u64, factor: f64) -> Duration {
    let seconds = duration_ms as f64 / 1e3 * factor;
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
