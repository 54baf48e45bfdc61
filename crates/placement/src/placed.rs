//! Guard that tracks one placed request until it ends.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_prompt::BlockHash;
use mangofront_settings::ids::InstanceId;

use crate::clock::Clock;
use crate::estimate::{Evaluation, seconds};
use crate::model::{LearnedStats, SharedEngine};
use crate::own_work::WorkId;
use crate::request::{Estimate, GroupMember, PlacementRequest};

/// Shortest answer from which the decoding step is learned, in tokens.
const MIN_DECODE_SAMPLE_TOKENS: u32 = 8;

/// Longest prefill from which interference is learned, in tokens.
const MAX_INTERFERENCE_SAMPLE_TOKENS: u64 = 8_192;

/// Limit on learned interference, as a multiple of the time without
/// interference.
const MAX_INTERFERENCE_FACTOR: f64 = 8.0;

/// Range to which the ratio of a group's measured to predicted time to first
/// token is clamped.
const GROUP_TIME_RATIO: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// A request placed on an engine; dropping it ends the request's accounting.
#[derive(Debug)]
pub struct PlacedRequest {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Engine's HTTP address.
    pub address: SocketAddr,
    /// Priority to send, 0 most urgent.
    pub priority: u8,
    /// Prediction at the time of the placement.
    pub estimate: Estimate,
    /// Group members that share a prompt too large for one engine's memory, the
    /// answering engine first. Their tokens sum to the length of the prompt and
    /// of the longest allowed answer.
    pub group: Option<Vec<GroupMember>>,
    pub(crate) guard: RequestGuard,
}

/// Removes a request from the state when dropped and learns from its times.
#[derive(Debug)]
pub(crate) struct RequestGuard {
    pub(crate) clock: Clock,
    pub(crate) evaluation: Evaluation,
    pub(crate) learned: Rc<RefCell<LearnedStats>>,
    /// Engines with the request's work on each, the answering engine first.
    pub(crate) work_entries: Vec<(SharedEngine, WorkId)>,
    pub(crate) blocks: Vec<BlockHash>,
    pub(crate) max_tokens: u32,
    pub(crate) placed_at: Instant,
    pub(crate) first_token_at: Option<Instant>,
    pub(crate) generated_tokens: u32,
}

impl RequestGuard {
    pub(crate) fn new(
        clock: Clock,
        evaluation: Evaluation,
        learned: Rc<RefCell<LearnedStats>>,
        request: &PlacementRequest,
    ) -> Self {
        Self {
            placed_at: clock.now(),
            clock,
            evaluation,
            learned,
            work_entries: Vec::with_capacity(1),
            blocks: request.blocks.clone(),
            max_tokens: request.max_tokens,
            first_token_at: None,
            generated_tokens: 0,
        }
    }

    fn learn_first_token(&mut self, now: Instant) {
        let measured = now - self.placed_at;
        if self.work_entries.len() > 1 {
            let predicted = self.evaluation.estimate.time_to_first_token;
            let time_ratio = measured.as_secs_f64() / predicted.as_secs_f64().max(1e-3);
            let time_ratio = time_ratio.clamp(*GROUP_TIME_RATIO.start(), *GROUP_TIME_RATIO.end());
            self.learned
                .borrow_mut()
                .group_time_ratio
                .observe(time_ratio);
            return;
        }
        self.learn_interference(measured);
        let Some((engine, _)) = self.work_entries.first() else {
            return;
        };
        let evaluation = &self.evaluation;
        let tokens = evaluation.queue_tokens + evaluation.uncached_tokens as f64;
        let without_interference = measured.saturating_sub(seconds(evaluation.interference_s));
        let engine = &mut *engine.borrow_mut();
        engine
            .fit
            .observe(tokens, without_interference, evaluation.line, now);
        engine.cache.insert_prefilled(&self.blocks);
    }

    /// Learns only from short prefills with little work ahead, whose time shows
    /// the delay most clearly.
    fn learn_interference(&self, measured: Duration) {
        let evaluation = &self.evaluation;
        let work_tokens = evaluation.uncached_tokens as f64;
        let is_representative = evaluation.interference_s > 0.0
            && evaluation.uncached_tokens <= MAX_INTERFERENCE_SAMPLE_TOKENS
            && evaluation.queue_tokens < work_tokens;
        if !is_representative {
            return;
        }
        let without_interference_s = evaluation
            .line
            .time_s(work_tokens + evaluation.queue_tokens);
        let delay_s = measured.as_secs_f64() - without_interference_s;
        let max_delay_s = MAX_INTERFERENCE_FACTOR * without_interference_s;
        let mut learned = self.learned.borrow_mut();
        learned
            .interference_s
            .observe(delay_s.clamp(0.0, max_delay_s));
    }

    fn learn_answer(&self, first_token_at: Instant, now: Instant) {
        let share = f64::from(self.generated_tokens) / f64::from(self.max_tokens.max(1));
        self.learned
            .borrow_mut()
            .answer_share
            .observe(share.min(1.0));
        let Some((engine, _)) = self.work_entries.first() else {
            return;
        };
        let mut engine = engine.borrow_mut();
        engine
            .memory_hold_s
            .observe((now - self.placed_at).as_secs_f64());
        if self.generated_tokens >= MIN_DECODE_SAMPLE_TOKENS {
            let steps = f64::from(self.generated_tokens - 1);
            let decode_s = (now - first_token_at).as_secs_f64();
            engine.decode_step_s.observe(decode_s / steps);
        }
    }
}

impl PlacedRequest {
    /// Records the arrival of the first token; later calls have no effect.
    pub fn record_first_token(&mut self) {
        if self.guard.first_token_at.is_some() {
            return;
        }
        let now = self.guard.clock.now();
        self.guard.first_token_at = Some(now);
        self.guard.generated_tokens = self.guard.generated_tokens.max(1);
        for (engine, work) in &self.guard.work_entries {
            engine.borrow_mut().own.prefill_completed(*work);
        }
        self.guard.learn_first_token(now);
    }

    /// Records the total number of answer tokens received so far.
    pub fn record_generated_tokens(&mut self, generated_tokens: u32) {
        self.guard.generated_tokens = self.guard.generated_tokens.max(generated_tokens);
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        for (engine, work) in &self.work_entries {
            engine.borrow_mut().own.remove(*work);
        }
        if let Some(first_token_at) = self.first_token_at {
            self.learn_answer(first_token_at, self.clock.now());
        }
    }
}
