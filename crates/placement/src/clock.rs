//! Time source of all decisions.
//!
//! All times come from a [`Clock`], so that an embedding program or a test can
//! control the time and reproduce decisions.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Source of the current time; clones share one time.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    /// Current time of a manual clock; `None` for the system clock.
    manual_time: Option<Rc<Cell<Instant>>>,
}

impl Clock {
    /// The system's monotonic clock.
    #[must_use]
    pub fn monotonic() -> Self {
        Self::default()
    }

    /// A manual clock that only moves when advanced.
    #[must_use]
    pub fn manual(start: Instant) -> Self {
        Self {
            manual_time: Some(Rc::new(Cell::new(start))),
        }
    }

    /// Current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.manual_time
            .as_ref()
            .map_or_else(Instant::now, |time| time.get())
    }

    /// Advances a manual clock; does nothing on the system clock.
    pub fn advance(&self, by: Duration) {
        if let Some(time) = &self.manual_time {
            time.set(time.get() + by);
        }
    }
}
