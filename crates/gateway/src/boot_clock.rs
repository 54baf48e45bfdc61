//! A clock that goes on while the machine is suspended.
//!
//! `Instant` stands still during a suspension, so what ages by it would look
//! fresh to a process that wakes up hours later.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A moment since the machine's start, suspensions included.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BootInstant(Duration);

impl BootInstant {
    /// The present moment.
    pub(crate) fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self(Duration::new(seconds, nanoseconds))
    }

    /// The moment `time` later.
    pub(crate) fn after(self, time: Duration) -> Self {
        Self(self.0 + time)
    }

    /// The moment `time` earlier.
    pub(crate) fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// Time since then; zero for a moment to come.
    pub(crate) fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}
