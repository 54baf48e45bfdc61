//! Time scaling of the emulators.

use std::time::Duration;

/// Returns `duration_ms` multiplied by `factor`.
///
/// Zero if the product is negative or not a valid duration.
pub(crate) fn scale(duration_ms: u64, factor: f64) -> Duration {
    let seconds = duration_ms as f64 / 1e3 * factor;
    Duration::try_from_secs_f64(seconds).unwrap_or_default()
}
