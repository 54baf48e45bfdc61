//! Cap on the calls of a second.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Time over which calls are counted.
pub(super) const WINDOW: Duration = Duration::from_secs(1);

/// Counts the calls of the current window.
#[derive(Debug)]
pub(super) struct RateCap {
    calls_per_window: u32,
    window_start: Cell<Option<Instant>>,
    taken: Cell<u32>,
}

impl RateCap {
    pub(super) fn new(calls_per_window: u32) -> Self {
        Self {
            calls_per_window,
            window_start: Cell::new(None),
            taken: Cell::new(0),
        }
    }

    /// Takes one call of the window at `now`; false when it has none left.
    pub(super) fn take(&self, now: Instant) -> bool {
        let start = self.window_start.get();
        if start.is_none_or(|start| now.duration_since(start) >= WINDOW) {
            self.window_start.set(Some(now));
            self.taken.set(0);
        }
        let taken = self.taken.get();
        self.taken.set(taken.saturating_add(1));
        taken < self.calls_per_window
    }
}
