//! Recent failures of upstreams, and their ejection.

use std::time::{Duration, Instant};

use mangofront_settings::process::ChoiceOptions;

/// Consecutive failures after which the ejection time no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

/// How an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, or a broken one: probably dead or partitioned.
    Unreachable,
    /// No answer within the expected time.
    Silent,
    /// It refused the request although it should have had a free slot.
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

/// Ejection time of a full upstream: one or two forward passes of a short answer.
const FULL_EJECTION: Duration = Duration::from_millis(150);

/// Failures of one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Health {
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
}

impl Health {
    /// Whether the upstream is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records an answer, which ends the ejection.
    pub(crate) fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Records a failure and returns the ejection time.
    pub(crate) fn record_failure(
        &mut self,
        failure: Failure,
        now: Instant,
        options: &ChoiceOptions,
    ) -> Duration {
        let time = match failure {
            Failure::Full => FULL_EJECTION,
            Failure::Unreachable | Failure::Silent => {
                let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
                self.consecutive_failures += 1;
                (options.first_ejection() * 2_u32.pow(doublings)).min(options.longest_ejection())
            }
        };
        self.eject_for(time, now);
        time
    }

    /// Ejects the upstream for at least `time`.
    pub(crate) fn eject_for(&mut self, time: Duration, now: Instant) {
        let until = now + time;
        self.ejected_until = self.ejected_until.max(Some(until));
    }
}
