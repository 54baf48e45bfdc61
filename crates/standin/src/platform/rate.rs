//! Limit on the calls per second.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Window over which calls are counted.
pub(super) const WINDOW: Duration = Duration::from_secs(1);

/// Counts the calls of the current window.
#[derive(Debug)]
pub(super) struct RateLimit {
    calls_per_window: u32,
    window_start: Cell<Option<Instant>>,
    calls: Cell<u32>,
}

impl RateLimit {
    pub(super) fn new(calls_per_window: u32) -> Self {
        Self {
            calls_per_window,
            window_start: Cell::new(None),
            calls: Cell::new(0),
        }
    }

    /// Counts one call at `now`. Returns false if it exceeds the limit.
    pub(super) fn try_take(&self, now: Instant) -> bool {
        let start = self.window_start.get();
        if start.is_none_or(|start| now.duration_since(start) >= WINDOW) {
            self.window_start.set(Some(now));
            self.calls.set(0);
        }
        let calls = self.calls.get();
        self.calls.set(calls.saturating_add(1));
        calls < self.calls_per_window
    }
}
