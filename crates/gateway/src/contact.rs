//! Whether the source of what is published can be reached.
//!
//! While a source is out of reach, registrations may lapse of upstreams that live. Once it
//! is back these return within a moment, which is counted from its return: what is missing
//! after that has left, whenever it is noticed.

use std::time::{Duration, Instant};

/// Contact with the source.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Contact {
    /// It was never lost.
    #[default]
    Sound,
    /// The source can't be reached.
    Lost,
    /// It was lost until then.
    Regained(Instant),
}

impl Contact {
    /// Notes at `now` whether the source, or a neighbour in touch with it, answered.
    pub fn note(&mut self, has_answered: bool, now: Instant) {
        *self = match (*self, has_answered) {
            (_, false) => Self::Lost,
            (Self::Lost, true) => Self::Regained(now),
            (unchanged, true) => unchanged,
        };
    }

    /// Until when an upstream is used on whose registration is found missing at `now`; not
    /// at all where it can't have lapsed.
    #[must_use]
    pub fn keep_until(&self, now: Instant, grace: Duration) -> Option<Instant> {
        match self {
            Self::Sound => None,
            Self::Lost => Some(now + grace),
            Self::Regained(at) => Some(*at + grace).filter(|until| *until > now),
        }
    }
}
