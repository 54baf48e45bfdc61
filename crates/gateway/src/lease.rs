//! How long published values may be relied upon without being confirmed.
//!
//! A key that operators took back must not be served past a bound, whether this
//! process is in touch with the platform or not. So each answer of the platform
//! confirms what is in force as of the moment at which it was asked for, and
//! requests that depend on a key are served only while that moment is near.

use std::cell::Cell;
use std::time::Duration;

use crate::boot_clock::BootInstant;

/// Lease on the published values; clones do not share it.
#[derive(Debug, Default)]
pub struct Lease {
    confirmed: Cell<Option<BootInstant>>,
}

impl Lease {
    /// Notes that the values in force were current at `moment`.
    pub(crate) fn confirm(&self, moment: BootInstant) {
        self.confirmed.set(self.confirmed.get().max(Some(moment)));
    }

    /// Time since the values in force were known to be current; none if never.
    #[must_use]
    pub fn age(&self) -> Option<Duration> {
        self.confirmed.get().map(BootInstant::elapsed)
    }

    /// Whether the values in force were current within the last `time`.
    #[must_use]
    pub fn is_younger_than(&self, time: Duration) -> bool {
        self.age().is_some_and(|age| age < time)
    }
}
