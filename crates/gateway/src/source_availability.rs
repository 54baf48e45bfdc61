//! Availability of the source of the published values.
//!
//! While the source is unavailable, registrations of live upstreams may lapse. These
//! upstreams register again within a grace period, which counts from the source's recovery:
//! a registration that is missing after that belongs to an upstream that has left, whenever
//! its absence is noticed.
//!
//! A source that was restored from an earlier state lacks registrations in the same way, whether or
//! not any call failed.
//!
//! A failed call of one daemon does not prove an outage: the source may reject this daemon
//! only, or the call itself was late. Daemons therefore tell each other the period in which
//! the source has answered without interruption, and a period in which another daemon got
//! answers is no outage.

use std::time::{Duration, Instant};

/// Difference between two daemons' reports of the same moment: the transit time of a
/// datagram, a busy CPU, and the pause between two calls.
const REPORT_TOLERANCE: Duration = Duration::from_millis(300);

/// Longest time between two answers to this daemon that is no interruption, since no
/// registration lapses within it.
const MAX_CALL_GAP: Duration = Duration::from_secs(1);

/// Time without any report on the source after which this daemon counts as cut off.
///
/// Upstreams that were cut off with it may have lapsed, whatever the other daemons saw.
const CUT_OFF_AFTER: Duration = Duration::from_secs(3);

/// The source's availability, as far as this daemon and those that report to it know.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SourceAvailability {
    answered: Option<AnsweredPeriod>,
    /// The last call failed, and no daemon has reported a later answer.
    is_failing: bool,
    outage: Option<Outage>,
    /// When the source came back from an earlier state.
    restored_at: Option<Instant>,
}

/// A period in which the source answered without interruption.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredPeriod {
    /// When the call of the first answer was made.
    pub since: Instant,
    /// When the last answer arrived.
    pub until: Instant,
}

/// A period in which no daemon is known to have got an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outage {
    from: Instant,
    until: Instant,
    /// Whether it may be an outage of the source itself, which other daemons saw too.
    is_shared: bool,
}

impl AnsweredPeriod {
    fn began_by(&self, moment: Instant) -> bool {
        self.since <= moment + REPORT_TOLERANCE
    }
}

impl SourceAvailability {
    /// Records a failed call.
    ///
    /// Before the first answer no registration is known that could lapse.
    pub fn record_failure(&mut self) {
        self.is_failing = self.answered.is_some();
    }

    /// Records an answer, received at `now`, to a call made at `called_at`.
    pub fn record_answer(&mut self, called_at: Instant, now: Instant) {
        let since = match self.answered {
            Some(before) if self.is_interrupted(before, called_at) => {
                let cut_off = called_at.saturating_duration_since(before.until);
                self.outage = Some(Outage {
                    from: before.until,
                    until: called_at.max(before.until),
                    is_shared: cut_off <= CUT_OFF_AFTER,
                });
                called_at
            }
            Some(before) => before.since,
            None => called_at,
        };
        self.answered = Some(AnsweredPeriod { since, until: now });
        self.is_failing = false;
    }

    /// Whether the source may have been unavailable between the answers before and a call
    /// made at `called_at`.
    fn is_interrupted(&self, before: AnsweredPeriod, called_at: Instant) -> bool {
        self.is_failing || called_at > before.until + MAX_CALL_GAP
    }

    /// Merges the period that another daemon reported, received at `now`.
    pub fn merge(&mut self, other: AnsweredPeriod, now: Instant) {
        let Some(own) = self.answered else {
            self.answered = Some(other);
            return;
        };
        self.correct_outage(other);
        if other.until <= own.until {
            return;
        }
        let was_cut_off = now.saturating_duration_since(own.until) > CUT_OFF_AFTER;
        let is_continuous = other.began_by(own.until);
        let since = match is_continuous {
            true => own.since.min(other.since),
            false => other.since,
        };
        if was_cut_off || !is_continuous {
            self.outage = Some(Outage {
                from: own.until,
                until: if was_cut_off { now } else { other.since },
                is_shared: !was_cut_off,
            });
        }
        let until = other.until;
        self.answered = Some(AnsweredPeriod { since, until });
        self.is_failing = false;
    }

    /// Shortens an outage, or drops it, if another daemon got answers in the meantime.
    fn correct_outage(&mut self, other: AnsweredPeriod) {
        let Some(mut outage) = self.outage.filter(|outage| outage.is_shared) else {
            return;
        };
        if other.until < outage.until {
            return;
        }
        outage.until = outage.until.min(other.since);
        self.outage = match other.began_by(outage.from) {
            true => None,
            false => Some(outage),
        };
    }

    /// Records that the source came back from an earlier state, as its answers showed first at
    /// `restored_at`: what is missing since may be written again.
    pub fn record_restore(&mut self, restored_at: Instant) {
        self.restored_at = Some(restored_at);
    }

    /// Whether the last call failed and no daemon has reported a later answer.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// The last period in which the source answered without interruption.
    #[must_use]
    pub fn last_answered(&self) -> Option<AnsweredPeriod> {
        self.answered
    }

    /// End of the grace period of an upstream whose registration is found missing at `now`;
    /// `None` if it can't have lapsed.
    #[must_use]
    pub fn grace_until(&self, now: Instant, grace: Duration) -> Option<Instant> {
        if self.is_failing {
            return Some(now + grace);
        }
        let recoveries = self.outage.map(|outage| outage.until);
        let recovery = recoveries.into_iter().chain(self.restored_at).max()?;
        Some(recovery + grace).filter(|until| *until > now)
    }
}
