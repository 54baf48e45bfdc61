//! The times at which one upstream may be sent requests.
//!
//! A generic cell rate algorithm whose rate changes with the limit and with the shares that
//! are held, and which grants times in the future.

use std::time::Duration;

use crate::Moment;

/// Times granted for one upstream.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Schedule {
    /// The theoretical time of the next request.
    next: Moment,
    /// Time between two requests when `next` was computed.
    interval: Duration,
    /// When the next caller that is refused now should return.
    next_return: Moment,
}

impl Schedule {
    /// Starts as if a request had just been sent: what was granted by others may still be on its
    /// way.
    pub(crate) fn new(interval: Duration, now: Moment) -> Self {
        Self {
            next: now.saturating_add(interval),
            interval,
            next_return: now,
        }
    }

    /// Sets the time between two requests; what was granted ahead keeps its number of requests.
    pub(crate) fn set_interval(&mut self, interval: Duration, now: Moment) {
        if interval == self.interval {
            return;
        }
        let ahead = self.next.saturating_sub(now);
        if !ahead.is_zero() && !self.interval.is_zero() {
            let requests = ahead.as_secs_f64() / self.interval.as_secs_f64();
            let ahead = Duration::try_from_secs_f64(requests * interval.as_secs_f64());
            self.next = now.saturating_add(ahead.unwrap_or(Duration::MAX));
        }
        self.interval = interval;
    }

    /// Earliest time of a request; `tolerance` is the time by which it may be early.
    pub(crate) fn earliest(&self, tolerance: Duration, now: Moment) -> Moment {
        self.next.saturating_sub(tolerance).max(now)
    }

    /// Counts a request at `at`, which may be one that was sent without a grant.
    pub(crate) fn count(&mut self, at: Moment) {
        self.next = self.next.max(at).saturating_add(self.interval);
    }

    /// When a caller that is refused now may return: each an interval after the one before.
    pub(crate) fn refuse(&mut self, tolerance: Duration, now: Moment) -> Moment {
        let earliest = self.earliest(tolerance, now);
        self.next_return = self.next_return.max(earliest);
        let returns = self.next_return;
        self.next_return = returns.saturating_add(self.interval);
        returns
    }
}
