//! Which upstreams failed lately.

use std::time::{Duration, Instant};

use mangofront_settings::process::ChoiceOptions;

/// Failures in a row after which the time left out grows no more.
const GROWTH_LIMIT: u32 = 5;

/// How an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, or one that broke: probably dead or cut off.
    Unreachable,
    /// No answer for longer than it should take.
    Silent,
    /// It refused although it should have had room.
    Full,
}

impl Failure {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Full => "full",
        }
    }
}

/// How long a full upstream is left out: a short answer's pass or two.
const FULL_EJECTION: Duration = Duration::from_millis(150);

/// Failures of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    in_a_row: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Whether the upstream is left out at `now`.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Notes an answer.
    pub(crate) fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure; returns how long the upstream is left out.
    pub(crate) fn record_failure(
        &mut self,
        failure: Failure,
        now: Instant,
        options: &ChoiceOptions,
    ) -> Duration {
        let time = match failure {
            Failure::Full => FULL_EJECTION,
            Failure::Unreachable | Failure::Silent => {
                let doublings = self.in_a_row.min(GROWTH_LIMIT);
                self.in_a_row += 1;
                (options.first_ejection() * 2_u32.pow(doublings)).min(options.longest_ejection())
            }
        };
        self.leave_out(time, now);
        time
    }

    /// Leaves the upstream out for at least `time`.
    pub(crate) fn leave_out(&mut self, time: Duration, now: Instant) {
        let until = now + time;
        self.ejected_until = self.ejected_until.max(Some(until));
    }
}
