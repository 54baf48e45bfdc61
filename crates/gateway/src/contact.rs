//! Whether the source of what is published was there all the while.
//!
//! While a source is out of reach, registrations may lapse of upstreams that live. Once it
//! is back these return within a moment, which is counted from its return: what is missing
//! after that has left, whenever it is noticed.
//!

use std::time::{Duration, Instant};

/// Longest time between two answers to calls of this daemon that makes no break, as no
/// registration lapses in it.
const CALLS_TOLERANCE: Duration = Duration::from_secs(1);

/// Contact with the source, as far as this daemon and those that it hears know.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Contact {
    answered: Option<Answered>,
    /// The last call failed, and nobody has told of a later answer.
    is_failing: bool,
    outage: Option<Outage>,
}

/// A time in which the source answered without a break.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Answered {
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
}

impl Contact {
    /// Notes that a call failed.
    ///
    /// Before the first answer nothing is known that could lapse.
    pub fn failed(&mut self) {
        self.is_failing = self.answered.is_some();
    }

    /// Notes that the source answered at `now` a call of `asked`.
    pub fn answered(&mut self, asked: Instant, now: Instant) {
        let since = match self.answered {
            Some(before) if self.is_broken(before, asked) => {
                self.outage = Some(Outage {
                    from: before.until,
                    until: asked.max(before.until),
                });
                asked
            }
            Some(before) => before.since,
            None => asked,
        };
        self.answered = Some(Answered { since, until: now });
        self.is_failing = false;
    }

    /// Whether the source may have been away between the answers before and a call of `asked`.
    fn is_broken(&self, before: Answered, asked: Instant) -> bool {
        self.is_failing || asked > before.until + CALLS_TOLERANCE
    }

    /// Takes in at `now` what another daemon knows of the source's answers.
    pub fn heard(&mut self, other: Answered, _now: Instant) {
        self.answered.get_or_insert(other);
    }

    /// Whether the last call failed, and nobody has told of a later answer.
    #[must_use]
    pub fn is_failing(&self) -> bool {
        self.is_failing
    }

    /// The time in which the source last answered without a break.
    #[must_use]
    pub fn last_answered(&self) -> Option<Answered> {
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
