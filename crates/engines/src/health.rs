//! Recent failures of upstreams, and their ejection.
//!
//! Silence is no failure: an upstream that sends nothing may go on in a moment. New work prefers
//! others for a while, or until a silent request goes on. Only one that others overtake repeatedly
//! is ejected.

use std::time::{Duration, Instant};

use mangofront_settings::process::ChoiceOptions;

/// Consecutive failures after which the ejection time no longer doubles.
const MAX_DOUBLINGS: u32 = 5;

/// Times in a row that another upstream goes on first after which a silent one is ejected.
const EJECTING_OVERTAKES: u32 = 2;

/// How an upstream failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection, or a broken one: probably dead or partitioned.
    Unreachable,
    /// Another upstream went on with its requests first, repeatedly.
    Overtaken,
    /// It refused the request although it should have had a free slot.
    Full,
}

impl Failure {
    /// Name in logs.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Overtaken => "overtaken",
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
    /// Silences since it was last heard to go on.
    consecutive_silences: u32,
    /// Replacements that went on first since its last answer.
    consecutive_overtakes: u32,
    last_overtaken_at: Option<Instant>,
    /// When others are no longer preferred for its silence.
    silent_until: Option<Instant>,
}

impl Health {
    /// Whether the upstream is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether other upstreams are preferred at `now`, as this one is silent.
    pub(crate) fn is_silent(&self, now: Instant) -> bool {
        self.silent_until.is_some_and(|until| now < until)
    }

    /// Records that the upstream is silent and returns the time for which others are preferred.
    pub(crate) fn record_silence(&mut self, now: Instant, options: &ChoiceOptions) -> Duration {
        let time = ejection_time(self.consecutive_silences, options);
        self.consecutive_silences += 1;
        self.silent_until = self.silent_until.max(Some(now + time));
        time
    }

    /// Records that another upstream went on first with a request that was sent here `sent_at`,
    /// while this one was silent.
    ///
    /// Requests that were sent before the last one so recorded met the same silence, and count
    /// once. Returns the ejection time, if that happens repeatedly.
    pub(crate) fn record_overtaken(
        &mut self,
        sent_at: Instant,
        now: Instant,
        options: &ChoiceOptions,
    ) -> Option<Duration> {
        if self.last_overtaken_at.is_some_and(|last| sent_at <= last) {
            return None;
        }
        self.last_overtaken_at = Some(now);
        self.consecutive_overtakes += 1;
        let repeated = self.consecutive_overtakes.checked_sub(EJECTING_OVERTAKES)?;
        let time = ejection_time(repeated, options);
        self.eject_for(time, now);
        Some(time)
    }

    /// Records that the upstream went on after it was silent.
    pub(crate) fn record_sign_of_life(&mut self) {
        self.consecutive_silences = 0;
        self.consecutive_overtakes = 0;
        self.silent_until = None;
    }

    /// Records an answer, which ends the ejection. Other requests may be silent there all the
    /// same.
    pub(crate) fn record_answer(&mut self) {
        self.consecutive_failures = 0;
        self.consecutive_overtakes = 0;
        self.ejected_until = None;
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
            Failure::Unreachable | Failure::Overtaken => {
                let time = ejection_time(self.consecutive_failures, options);
                self.consecutive_failures += 1;
                time
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

/// Time for which an upstream is avoided after so many earlier failures in a row.
fn ejection_time(earlier_failures: u32, options: &ChoiceOptions) -> Duration {
    let doublings = earlier_failures.min(MAX_DOUBLINGS);
    (options.first_ejection() * 2_u32.pow(doublings)).min(options.longest_ejection())
}
