//! Lease on the published values: how long they may be used without a confirmation.
//!
//! A revoked key must not be accepted beyond a bound, whether this process reaches the
//! platform or not. Each answer of the platform therefore confirms the values in force as
//! of the moment at which the call was made, and requests that depend on a key are served
//! only for a limited time after that.

use std::cell::Cell;
use std::time::Duration;

use crate::boot_clock::BootInstant;

/// Lease on the published values.
#[derive(Debug, Default)]
pub struct Lease {
    confirmed: Cell<Option<BootInstant>>,
}

impl Lease {
    /// Records that the values in force were current at `moment`.
    pub(crate) fn confirm(&self, moment: BootInstant) {
        self.confirmed.set(self.confirmed.get().max(Some(moment)));
    }

    /// Time since the values in force were known to be current; `None` if they never were.
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
