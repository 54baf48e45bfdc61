//! Measures the lag of this process's event loop.
//!
//! All work of a daemon runs on one thread. An event on a socket, such as a caller
//! that disconnects, is handled only after the work queued before it. A due timer
//! waits in the same queue, so its lateness measures that delay.

use std::time::{Duration, Instant};

use mangofront_http::{Acceptance, TICK_PERIOD};
use mangofront_telemetry::metrics::Metrics;

/// Lateness from which a warning is logged: callers notice a pause of this length.
const WARN_THRESHOLD: Duration = Duration::from_millis(200);

/// Shortest interval between two warnings, so that logging does not add load to a
/// daemon that is already overloaded.
const WARN_INTERVAL: Duration = Duration::from_secs(1);

/// Measures the lateness of the event loop, on which the acceptance of connections depends; never
/// returns.
pub(crate) async fn measure(metrics: Metrics, acceptance: Acceptance) {
    let mut last_warning: Option<Instant> = None;
    let mut closed_before = 0;
    loop {
        let due = Instant::now() + TICK_PERIOD;
        compio::time::sleep_until(due).await;
        let late = due.elapsed();
        metrics.event_loop_lateness(late);
        acceptance.record_tick(Instant::now());
        metrics.served_connections_share(acceptance.served_share());
        let closed = acceptance.closed();
        metrics.connections_closed_unread(closed - closed_before);
        let may_warn = last_warning.is_none_or(|at| at.elapsed() >= WARN_INTERVAL);
        if (late >= WARN_THRESHOLD || closed > closed_before) && may_warn {
            last_warning = Some(Instant::now());
            let late_ms = u64::try_from(late.as_millis()).unwrap_or(u64::MAX);
            log::warn!(
                late_ms = late_ms,
                served_share = acceptance.served_share(),
                closed_unread = closed;
                "daemon: event loop is late"
            );
        }
        closed_before = closed;
    }
}
