//! How late the event loop of this process is.
//!
//! All work of a daemon runs on one thread. What happens on a socket, such as a caller
//! that leaves, is noticed only once the work before it is done. A timer that is due
//! waits in the same line, so its lateness tells how long that takes.

use std::time::{Duration, Instant};

use mangofront_telemetry::metrics::Metrics;

/// Time between two looks; each costs one wake-up.
const LOOK_PERIOD: Duration = Duration::from_millis(100);

/// Lateness from which on a line is written: callers notice a pause of this length.
const TELL_FROM: Duration = Duration::from_millis(200);

/// Least time between two lines, so that a daemon that is late all the time does not
/// add to its work by telling so.
const TELL_PERIOD: Duration = Duration::from_secs(1);

/// Measures the lateness of the event loop, for ever.
pub(crate) async fn watch(metrics: Metrics) {
    let mut last_told: Option<Instant> = None;
    loop {
        let due = Instant::now() + LOOK_PERIOD;
        compio::time::sleep_until(due).await;
        let late = due.elapsed();
        metrics.event_loop_lateness(late);
        let may_tell = last_told.is_none_or(|at| at.elapsed() >= TELL_PERIOD);
        if late >= TELL_FROM && may_tell {
            last_told = Some(Instant::now());
            let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            log::warn!(late_ms = late_ms; "daemon: event loop is late");
        }
    }
}
