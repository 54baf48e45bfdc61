//! Requests of one model and of like lengths, which wait and count together.
//!
//! Each lane has its own limit and queue. With one for all lengths, a prompt of
//! a million tokens at the queue's head would hold up every short one behind
//! it, and its slow first token would shrink the limit of all.

use std::time::{Duration, Instant};

use mangofront_placement::{DecayedSum, Estimate, SmoothedMean};
use mangofront_settings::ids::ModelName;
use serde::Serialize;

use crate::limit::AdaptiveLimit;
use crate::queue::{Queue, Verdict};
use crate::request::{Refusal, RefusalReason};

/// Time in which a finished request loses half its weight in the drain rate.
const DRAIN_HALF_LIFE: Duration = Duration::from_secs(5);

/// Age from which the last prediction error says nothing any more.
const ERROR_LIFETIME: Duration = Duration::from_secs(10);

/// Deviations that are added to the mean prediction error.
const ERROR_DEVIATIONS: f64 = 2.0;

/// Bounds of the factor by which predictions are stretched.
const STRETCH: std::ops::RangeInclusive<f64> = 0.5..=4.0;

/// Shortest and longest time to come back.
const RETRY_AFTER_S: std::ops::RangeInclusive<f64> = 0.1..=60.0;

/// Drain rate below which there is none to speak of, in requests a second.
const MIN_DRAIN_PER_S: f64 = 0.001;

/// Which lengths a lane is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LengthLane {
    /// Up to 8,192 tokens.
    Short,
    /// Up to 65,536 tokens.
    Medium,
    /// Longer.
    Long,
}

impl LengthLane {
    /// Lane of a prompt.
    #[must_use]
    pub fn of(length_tokens: u64) -> Self {
        match length_tokens {
            0..=8_192 => Self::Short,
            8_193..=65_536 => Self::Medium,
            _ => Self::Long,
        }
    }

    /// Tokens of one turn of an organisation: about one of the lane's prompts.
    fn quantum_tokens(self) -> u64 {
        match self {
            Self::Short => 4_096,
            Self::Medium => 32_768,
            Self::Long => 262_144,
        }
    }

    /// Limit before anything was seen.
    fn initial_limit(self) -> f64 {
        match self {
            Self::Short => 32.0,
            Self::Medium => 16.0,
            Self::Long => 4.0,
        }
    }
}

/// Name of a lane.
pub(crate) type LaneKey = (ModelName, LengthLane);

/// State of one lane.
///
/// Invariant: `outstanding` counts the permits held and the places granted to
/// waiters that have not woken yet.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) limit: AdaptiveLimit,
    pub(crate) outstanding: usize,
    pub(crate) queue: Queue,
    drained: DecayedSum,
    error: SmoothedMean,
    error_at: Option<Instant>,
}

/// Whether a request can be served within its class.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Forecast {
    /// Time from now to its end, in seconds.
    pub(crate) needed_s: f64,
    /// Part of it that no shorter queue would save, in seconds.
    pub(crate) unqueued_s: f64,
}

impl Lane {
    pub(crate) fn new(length: LengthLane) -> Self {
        Self {
            limit: AdaptiveLimit::new(length.initial_limit()),
            outstanding: 0,
            queue: Queue::new(length.quantum_tokens()),
            drained: DecayedSum::new(DRAIN_HALF_LIFE),
            error: SmoothedMean::default(),
            error_at: None,
        }
    }

    /// Whether a new request may go at once.
    pub(crate) fn is_free(&self) -> bool {
        self.queue.is_empty() && self.outstanding < self.limit.get()
    }

    /// Requests that end, per second, as seen of late.
    pub(crate) fn drain_per_s(&self, now: Instant) -> Option<f64> {
        let rate = self.drained.per_second(now);
        (rate >= MIN_DRAIN_PER_S).then_some(rate)
    }

    /// Factor that covers what predictions were wrong by of late.
    pub(crate) fn stretch(&self, now: Instant) -> f64 {
        // With nothing outstanding no error can be seen, so the plain
        // prediction decides; else one bad phase would shut the lane for good.
        let is_old = self.error_at.is_none_or(|at| now - at > ERROR_LIFETIME);
        if is_old || self.outstanding == 0 {
            return 1.0;
        }
        let stretch = self.error.upper(ERROR_DEVIATIONS).unwrap_or(1.0);
        stretch.clamp(*STRETCH.start(), *STRETCH.end())
    }

    /// Predicts the end of a request behind `ahead` others of the lane.
    pub(crate) fn forecast(&self, estimate: &Estimate, ahead: usize, now: Instant) -> Forecast {
        let wait_s = self.wait_s(ahead, now);
        let queue_s = estimate.queue.as_secs_f64();
        let first_token_s = estimate.time_to_first_token.as_secs_f64();
        let decode_s = (estimate.completion.as_secs_f64() - first_token_s).max(0.0);
        let prefill_s = (first_token_s - queue_s).max(0.0);
        // The engines' queues shrink while the request waits here.
        let queued_s = wait_s.max(queue_s);
        let start_s = (queued_s + prefill_s) * self.stretch(now);
        Forecast {
            needed_s: start_s + decode_s,
            unqueued_s: prefill_s + decode_s,
        }
    }

    /// Refusal with the time after which as much will have drained.
    pub(crate) fn refusal(
        &self,
        reason: RefusalReason,
        excess_s: f64,
        jitter: f64,
        now: Instant,
    ) -> Refusal {
        let taken = self.outstanding + self.queue.len() + 1;
        let backlog = taken.saturating_sub(self.limit.get());
        let drain_s = self.wait_s(backlog, now);
        let retry_s = excess_s.max(drain_s) * (1.0 + jitter / 4.0);
        let retry_s = retry_s.clamp(*RETRY_AFTER_S.start(), *RETRY_AFTER_S.end());
        Refusal {
            reason,
            retry_after: Duration::from_secs_f64(retry_s),
        }
    }

    /// Gives free places to those that wait.
    pub(crate) fn dispatch(&mut self) {
        while self.outstanding < self.limit.get() {
            let Some(waiter) = self.queue.pop() else {
                return;
            };
            // A waiter that is gone has left the queue, so someone listens.
            if waiter.reply.send(Verdict::Granted).is_ok() {
                self.outstanding += 1;
            }
        }
    }

    /// Gives back a place; `has_run` when a request ended on it.
    pub(crate) fn release(&mut self, has_run: bool, now: Instant) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if has_run {
            self.drained.add(1.0, now);
        }
    }

    /// Takes in by how much a prediction was wrong.
    pub(crate) fn observe_error(&mut self, measured: Duration, predicted: Duration, now: Instant) {
        let predicted_s = predicted.as_secs_f64().max(0.001);
        self.error.observe(measured.as_secs_f64() / predicted_s);
        self.error_at = Some(now);
    }

    fn wait_s(&self, ahead: usize, now: Instant) -> f64 {
        self.drain_per_s(now)
            .map_or(0.0, |drain_per_s| ahead as f64 / drain_per_s)
    }
}
