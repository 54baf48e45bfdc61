//! Timestamps whose age includes the time for which the machine was suspended.

use std::time::{Duration, Instant, SystemTime};

/// A point in time on the monotonic and on the wall clock.
///
/// The monotonic clock stops while the whole machine is suspended, and the wall
/// clock may be set, so the greater age of the two counts.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Timestamp {
    monotonic: Instant,
    wall: SystemTime,
}

impl Timestamp {
    pub(crate) fn now() -> Self {
        Self {
            monotonic: Instant::now(),
            wall: SystemTime::now(),
        }
    }

    /// The greater of both ages; a wall clock that was set back counts as age zero.
    pub(crate) fn age(&self) -> Duration {
        let wall = self.wall.elapsed().unwrap_or(Duration::ZERO);
        self.monotonic.elapsed().max(wall)
    }
}
