//! A clock that keeps running while the machine is suspended.
//!
//! `Instant` stops during a suspension, so a value whose age it measures would look fresh
//! to a process that wakes up hours later.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// A moment, measured from the boot of the machine and including suspensions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct BootInstant(Duration);

impl BootInstant {
    /// The current moment.
    pub(crate) fn now() -> Self {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
        let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
        Self(Duration::new(seconds, nanoseconds))
    }

    /// Time since the boot.
    pub(crate) fn since_boot(self) -> Duration {
        self.0
    }

    /// The moment `time` later.
    pub(crate) fn after(self, time: Duration) -> Self {
        Self(self.0 + time)
    }

    /// The moment `time` earlier.
    pub(crate) fn before(self, time: Duration) -> Self {
        Self(self.0.saturating_sub(time))
    }

    /// Time elapsed since this moment; zero if it is in the future.
    pub(crate) fn elapsed(self) -> Duration {
        Self::now().0.saturating_sub(self.0)
    }
}
