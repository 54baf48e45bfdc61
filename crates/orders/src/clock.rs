//! Ages that also count the time for which a machine was suspended.

use std::time::{Duration, Instant, SystemTime};

/// A moment on both clocks.
///
/// The monotonic clock stands still while a whole machine is suspended, the
/// wall clock may be set. What ages by either is old.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Moment {
    monotonic: Instant,
    wall: SystemTime,
}

impl Moment {
    pub(crate) fn now() -> Self {
        Self {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    /// The greater of both ages; a wall clock that was set back counts for none.
    pub(crate) fn age(&self) -> Duration {
        let wall = self.wall.elapsed().unwrap_or(Duration::ZERO);
        self.monotonic.elapsed().max(wall)
    }
}
