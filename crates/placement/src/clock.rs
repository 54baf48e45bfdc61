//! The time that decisions are made at.
//!
//! Every decision asks one [`Clock`], so that an embedding program or a test
//! can set the time by hand and see the same decisions again.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Source of the current time; clones share one time.
#[derive(Debug, Clone, Default)]
pub struct Clock {
    /// Time set by hand; the machine's own when `None`.
    set: Option<Rc<Cell<Instant>>>,
}

impl Clock {
    /// The machine's monotonic clock.
    #[must_use]
    pub fn monotonic() -> Self {
        Self::default()
    }

    /// A clock that stands still until it is advanced.
    #[must_use]
    pub fn manual(start: Instant) -> Self {
        Self {
            set: Some(Rc::new(Cell::new(start))),
        }
    }

    /// Current time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.set.as_ref().map_or_else(Instant::now, |set| set.get())
    }

    /// Moves a manual clock on; the machine's clock is left alone.
    pub fn advance(&self, by: Duration) {
        if let Some(set) = &self.set {
            set.set(set.get() + by);
        }
    }
}
