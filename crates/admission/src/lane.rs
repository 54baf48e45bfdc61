//! Lanes: the requests of one model in one range of prompt lengths.
//!
//! Each lane has its own concurrency limit and queue. If all lengths shared one,
//! a prompt of a million tokens at the head of the queue would block all short
//! prompts behind it, and its slow first token would lower the limit for all.

use std::time::{Duration, Instant};

use mangofront_placement::{DecayedSum, Estimate, SmoothedMean};
use mangofront_settings::ids::ModelName;
use serde::Serialize;

use crate::limit::AdaptiveLimit;
use crate::queue::{Queue, QueueOutcome};
use crate::request::{Refusal, RefusalReason};

/// Half-life of an ended request's weight in the drain rate.
const DRAIN_HALF_LIFE: Duration = Duration::from_secs(5);

/// Age of the last prediction error from which the errors are ignored.
const PREDICTION_ERROR_LIFETIME: Duration = Duration::from_secs(10);

/// Deviations added to the mean prediction error.
const PREDICTION_ERROR_DEVIATIONS: f64 = 2.0;

/// Range of the factor that corrects predictions.
const PREDICTION_FACTOR: std::ops::RangeInclusive<f64> = 0.5..=4.0;

/// Range of the time after which a refused request should be retried, in seconds.
const RETRY_AFTER_S: std::ops::RangeInclusive<f64> = 0.1..=60.0;

/// Drain rate below which it counts as unknown, in requests per second.
const MIN_DRAIN_PER_S: f64 = 0.001;

/// Range of prompt lengths that a lane serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LengthLane {
    /// Up to 8,192 tokens.
    Short,
    /// Up to 65,536 tokens.
    Medium,
    /// More than 65,536 tokens.
    Long,
}

impl LengthLane {
    /// Returns the range that contains `length_tokens`.
    #[must_use]
    pub fn of(length_tokens: u64) -> Self {
        match length_tokens {
            0..=8_192 => Self::Short,
            8_193..=65_536 => Self::Medium,
            _ => Self::Long,
        }
    }

    /// Tokens that an organisation may use per round of deficit round robin: about
    /// one typical prompt of the lane.
    fn quantum_tokens(self) -> u64 {
        match self {
            Self::Short => 4_096,
            Self::Medium => 32_768,
            Self::Long => 262_144,
        }
    }

    /// Initial concurrency limit.
    fn initial_limit(self) -> f64 {
        match self {
            Self::Short => 32.0,
            Self::Medium => 16.0,
            Self::Long => 4.0,
        }
    }
}

/// Identifies a lane.
pub(crate) type LaneKey = (ModelName, LengthLane);

/// State of one lane.
///
/// Invariant: `outstanding` counts the permits held and the slots granted to
/// waiters that have not woken up yet.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) limit: AdaptiveLimit,
    pub(crate) outstanding: usize,
    pub(crate) queue: Queue,
    drained: DecayedSum,
    prediction_error: SmoothedMean,
    prediction_error_at: Option<Instant>,
}

/// Predicted time until a request has completed.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Forecast {
    /// Time from now to the end of the request, in seconds.
    pub(crate) needed_s: f64,
    /// Part of it that the request would need without any queue, in seconds.
    pub(crate) unqueued_s: f64,
}

impl Lane {
    pub(crate) fn new(length: LengthLane) -> Self {
        Self {
            limit: AdaptiveLimit::new(length.initial_limit()),
            outstanding: 0,
            queue: Queue::new(length.quantum_tokens()),
            drained: DecayedSum::new(DRAIN_HALF_LIFE),
            prediction_error: SmoothedMean::default(),
            prediction_error_at: None,
        }
    }

    /// Whether a new request can be admitted at once.
    pub(crate) fn is_free(&self) -> bool {
        self.queue.is_empty() && self.outstanding < self.limit.get()
    }

    /// Recent rate of ended requests per second; `None` if unknown.
    pub(crate) fn drain_per_s(&self, now: Instant) -> Option<f64> {
        let rate = self.drained.per_second(now);
        (rate >= MIN_DRAIN_PER_S).then_some(rate)
    }

    /// Factor that corrects predictions for their recent errors.
    pub(crate) fn prediction_factor(&self, now: Instant) -> f64 {
        // Without outstanding requests no new error can be observed, so
        // predictions are used uncorrected. Otherwise a phase of large errors
        // would block the lane forever.
        let is_old = self
            .prediction_error_at
            .is_none_or(|at| now - at > PREDICTION_ERROR_LIFETIME);
        if is_old || self.outstanding == 0 {
            return 1.0;
        }
        let factor = self
            .prediction_error
            .upper(PREDICTION_ERROR_DEVIATIONS)
            .unwrap_or(1.0);
        factor.clamp(*PREDICTION_FACTOR.start(), *PREDICTION_FACTOR.end())
    }

    /// Predicts when a request with `ahead` others before it in the lane completes.
    pub(crate) fn forecast(&self, estimate: &Estimate, ahead: usize, now: Instant) -> Forecast {
        let wait_s = self.wait_s(ahead, now);
        let queue_s = estimate.queue.as_secs_f64();
        let first_token_s = estimate.time_to_first_token.as_secs_f64();
        let decode_s = (estimate.completion.as_secs_f64() - first_token_s).max(0.0);
        let prefill_s = (first_token_s - queue_s).max(0.0);
        // The engines' queues drain while the request waits in this one.
        let queued_s = wait_s.max(queue_s);
        let start_s = (queued_s + prefill_s) * self.prediction_factor(now);
        Forecast {
            needed_s: start_s + decode_s,
            unqueued_s: prefill_s + decode_s,
        }
    }

    /// Creates a refusal whose retry time covers `excess_s` and the time in which
    /// the requests beyond the limit drain, extended by up to a quarter as jitter.
    pub(crate) fn refusal(
        &self,
        reason: RefusalReason,
        excess_s: f64,
        jitter: f64,
        now: Instant,
    ) -> Refusal {
        let occupied = self.outstanding + self.queue.len() + 1;
        let backlog = occupied.saturating_sub(self.limit.get());
        let drain_s = self.wait_s(backlog, now);
        let retry_s = excess_s.max(drain_s) * (1.0 + jitter / 4.0);
        let retry_s = retry_s.clamp(*RETRY_AFTER_S.start(), *RETRY_AFTER_S.end());
        Refusal {
            reason,
            retry_after: Duration::from_secs_f64(retry_s),
        }
    }

    /// Grants free slots to waiting requests.
    pub(crate) fn dispatch(&mut self) {
        while self.outstanding < self.limit.get() {
            let Some(waiter) = self.queue.pop() else {
                return;
            };
            // A dropped waiter removes itself from the queue, so sending normally
            // succeeds.
            if waiter.reply.send(QueueOutcome::Granted).is_ok() {
                self.outstanding += 1;
            }
        }
    }

    /// Releases a slot; `has_run` if a request was admitted with it and ended.
    pub(crate) fn release(&mut self, has_run: bool, now: Instant) {
        self.outstanding = self.outstanding.saturating_sub(1);
        if has_run {
            self.drained.add(1.0, now);
        }
    }

    /// Records the ratio of measured to predicted time.
    pub(crate) fn observe_prediction_error(
        &mut self,
        measured: Duration,
        predicted: Duration,
        now: Instant,
    ) {
        let predicted_s = predicted.as_secs_f64().max(0.001);
        self.prediction_error
            .observe(measured.as_secs_f64() / predicted_s);
        self.prediction_error_at = Some(now);
    }

    fn wait_s(&self, ahead: usize, now: Instant) -> f64 {
        self.drain_per_s(now)
            .map_or(0.0, |drain_per_s| ahead as f64 / drain_per_s)
    }
}
