//! Whether the source of what is published was there all the while.
//!
//! While a source is out of reach, registrations may lapse of upstreams that live. Once it
//! is back these return within a moment, which is counted from its return: what is missing
//! after that has left, whenever it is noticed.
//!
//! A failed call of one daemon says nothing of that: the source may turn away this daemon
//! only, or the call was late by itself. So daemons tell each other since when and until
//! when the source has answered without a break, and what another one saw answered was no
//! outage.

use std::time::{Duration, Instant};

/// Difference between two daemons' accounts of one moment: a datagram's way, a busy
/// processor, and the pause between two calls.
const ACCOUNT_TOLERANCE: Duration = Duration::from_millis(300);

/// Longest time between two answers to calls of this daemon that makes no break, as no
/// registration lapses in it.
const CALLS_TOLERANCE: Duration = Duration::from_secs(1);

/// Time without any account of the source after which this daemon was cut off.
///
/// Upstreams that were cut off with it may have lapsed, whatever the others saw.
const CUT_OFF_AFTER: Duration = Duration::from_secs(3);

/// Contact with the source, as far as this daemon and those that it hears know.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SourceAvailability {
    answered: Option<AnsweredPeriod>,
    /// The last call failed, and nobody has told of a later answer.
    is_failing: bool,
    outage: Option<Outage>,
}

/// A time in which the source answered without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnsweredPeriod {
    /// When the first of the answers was asked for.
    pub since: Instant,
    /// When the last one came.
    pub until: Instant,
}

/// A time of which nobody told that the source answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Outage {
    from: Instant,
    until: Instant,
    /// It may be one of the source, which other daemons saw too.
    is_shared: bool,
}

impl AnsweredPeriod {
    fn goes_back_to(&self, moment: Instant) -> bool {
        self.since <= moment + ACCOUNT_TOLERANCE
    }
}

impl SourceAvailability {
    /// Notes that a call failed.
    ///
    /// Before the first answer nothing is known that could lapse.
    pub fn record_failure(&mut self) {
        self.is_failing = self.answered.is_some();
    }

    /// Notes that the source answered at `now` a call of `asked`.
    pub fn record_answer(&mut self, asked: Instant, now: Instant) {
        let since = match self.answered {
            Some(before) if self.is_broken(before, asked) => {
                let cut_off = asked.saturating_duration_since(before.until);
                self.outage = Some(Outage {
                    from: before.until,
                    until: asked.max(before.until),
                    is_shared: cut_off <= CUT_OFF_AFTER,
                });
                asked
            }
            Some(before) => before.since,
            None => asked,
        };
        self.answered = Some(AnsweredPeriod { since, until: now });
        self.is_failing = false;
    }

    /// Whether the source may have been away between the answers before and a call of `asked`.
    fn is_broken(&self, before: AnsweredPeriod, asked: Instant) -> bool {
        self.is_failing || asked > before.until + CALLS_TOLERANCE
    }

    /// Takes in at `now` what another daemon knows of the source's answers.
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
        let is_unbroken = other.goes_back_to(own.until);
        let since = match is_unbroken {
            true => own.since.min(other.since),
            false => other.since,
        };
        if was_cut_off || !is_unbroken {
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

    /// Ends an outage sooner, or forgets it, where another daemon saw answers meanwhile.
    fn correct_outage(&mut self, other: AnsweredPeriod) {
        let Some(mut outage) = self.outage.filter(|outage| outage.is_shared) else {
            return;
        };
        if other.until < outage.until {
            return;
        }
        outage.until = outage.until.min(other.since);
        self.outage = match other.goes_back_to(outage.from) {
            true => None,
            false => Some(outage),
        };
    }

    /// Whether the last call failed, and nobody has told of a later answer.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// The time in which the source last answered without a break.
    #[must_use]
    pub fn last_answered(&self) -> Option<AnsweredPeriod> {
        self.answered
    }

    /// Until when an upstream is used on whose registration is found missing at `now`; not
    /// at all where it can't have lapsed.
    #[must_use]
    pub fn keep_until(&self, now: Instant, grace: Duration) -> Option<Instant> {
        if self.is_failing {
            return Some(now + grace);
        }
        let outage = self.outage?;
        Some(outage.until + grace).filter(|until| *until > now)
    }
}
