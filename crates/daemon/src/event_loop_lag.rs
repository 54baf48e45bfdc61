//! Measures the lag of this process's event loop.
//!
//! All work of a daemon runs on one thread. An event on a socket, such as a caller
//! that disconnects, is handled only after the work queued before it. A due timer
//! waits in the same queue, so its lateness measures that delay.

use std::time::{Duration, Instant};

use mangofront_telemetry::metrics::Metrics;

/// Interval between two measurements; each costs one wake-up.
const MEASURE_INTERVAL: Duration = Duration::from_millis(100);

/// Lateness from which a warning is logged: callers notice a pause of this length.
const WARN_THRESHOLD: Duration = Duration::from_millis(200);

/// Shortest interval between two warnings, so that logging does not add load to a
/// daemon that is already overloaded.
const WARN_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the lateness of the event loop; never returns.
pub(crate) async fn measure(metrics: Metrics) {
    let mut last_warning: Option<Instant> = None;
    loop {
        let due = Instant::now() + MEASURE_INTERVAL;
        compio::time::sleep_until(due).await;
        let late = due.elapsed();
        metrics.event_loop_lateness(late);
        let may_warn = last_warning.is_none_or(|at| at.elapsed() >= WARN_INTERVAL);
        if late >= WARN_THRESHOLD && may_warn {
            last_warning = Some(Instant::now());
            let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            log::warn!(late_ms = late_ms; "daemon: event loop is late");
        }
    }
}
