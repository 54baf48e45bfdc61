//! The guard of one placed request.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_prompt::BlockHash;
use mangofront_settings::ids::InstanceId;

use crate::clock::Clock;
use crate::demand::{Estimate, GroupMember, PlacementRequest};
use crate::estimate::{Terms, seconds};
use crate::model::{Learned, SharedEngine};
use crate::work::WorkId;

/// Shortest answer from which a decoding step is learned, in tokens.
const MIN_STEP_TOKENS: u32 = 8;

/// Longest work from which interference is learned, in tokens.
const MAX_DISTURBED_TOKENS: u64 = 8_192;

/// Interference beyond this many times the undisturbed time counts as that.
const MAX_INTERFERENCE: f64 = 8.0;

/// Measured over predicted times to first token of groups are held to this.
const GROUP_STRETCH: std::ops::RangeInclusive<f64> = 0.25..=8.0;

/// A request's place on an engine; dropping it takes it out of the view.
#[derive(Debug)]
pub struct PlacedRequest {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Engine's HTTP address.
    pub address: SocketAddr,
    /// Priority to send, 0 most urgent.
    pub priority: u8,
    /// Prediction at the time of the choice.
    pub estimate: Estimate,
    /// Members that share the prompt when one engine's memory is too small,
    /// the answering engine first; their tokens sum to the prompt and the
    /// longest answer.
    pub group: Option<Vec<GroupMember>>,
    pub(crate) guard: Guard,
}

/// The part of [`PlacedRequest`] that the view is kept by.
#[derive(Debug)]
pub(crate) struct Guard {
    pub(crate) clock: Clock,
    pub(crate) terms: Terms,
    pub(crate) learned: Rc<RefCell<Learned>>,
    /// Engine and work on it, the answering engine first.
    pub(crate) works: Vec<(SharedEngine, WorkId)>,
    pub(crate) blocks: Vec<BlockHash>,
    pub(crate) max_tokens: u32,
    pub(crate) placed_at: Instant,
    pub(crate) first_token_at: Option<Instant>,
    pub(crate) generated_tokens: u32,
}

impl Guard {
    pub(crate) fn new(
        clock: Clock,
        terms: Terms,
        learned: Rc<RefCell<Learned>>,
        demand: &PlacementRequest,
    ) -> Self {
        Self {
            placed_at: clock.now(),
            clock,
            terms,
            learned,
            works: Vec::with_capacity(1),
            blocks: demand.blocks.clone(),
            max_tokens: demand.max_tokens,
            first_token_at: None,
            generated_tokens: 0,
        }
    }

    fn learn_first_token(&mut self, now: Instant) {
        let measured = now - self.placed_at;
        if self.works.len() > 1 {
            let predicted = self.terms.estimate.time_to_first_token;
            let stretch = measured.as_secs_f64() / predicted.as_secs_f64().max(1e-3);
            let stretch = stretch.clamp(*GROUP_STRETCH.start(), *GROUP_STRETCH.end());
            self.learned.borrow_mut().group_stretch.observe(stretch);
            return;
        }
        self.learn_interference(measured);
        let Some((engine, _)) = self.works.first() else {
            return;
        };
        let terms = &self.terms;
        let tokens = terms.queue_tokens + terms.uncached_tokens as f64;
        let undisturbed = measured.saturating_sub(seconds(terms.interference_s));
        let engine = &mut *engine.borrow_mut();
        engine.fit.observe(tokens, undisturbed, terms.line, now);
        engine.cache.presume(&self.blocks);
    }

    /// Learns from short work with little before it, where the delay shows.
    fn learn_interference(&self, measured: Duration) {
        let terms = &self.terms;
        let work_tokens = terms.uncached_tokens as f64;
        let is_clear = terms.interference_s > 0.0
            && terms.uncached_tokens <= MAX_DISTURBED_TOKENS
            && terms.queue_tokens < work_tokens;
        if !is_clear {
            return;
        }
        let undisturbed_s = terms.line.time_s(work_tokens + terms.queue_tokens);
        let delay_s = measured.as_secs_f64() - undisturbed_s;
        let most_s = MAX_INTERFERENCE * undisturbed_s;
        let mut learned = self.learned.borrow_mut();
        learned.interference_s.observe(delay_s.clamp(0.0, most_s));
    }

    fn learn_answer(&self, first_token_at: Instant, now: Instant) {
        let share = f64::from(self.generated_tokens) / f64::from(self.max_tokens.max(1));
        self.learned
            .borrow_mut()
            .answer_share
            .observe(share.min(1.0));
        let Some((engine, _)) = self.works.first() else {
            return;
        };
        let mut engine = engine.borrow_mut();
        engine.hold_s.observe((now - self.placed_at).as_secs_f64());
        if self.generated_tokens >= MIN_STEP_TOKENS {
            let steps = f64::from(self.generated_tokens - 1);
            let decode_s = (now - first_token_at).as_secs_f64();
            engine.step_s.observe(decode_s / steps);
        }
    }
}

impl PlacedRequest {
    /// Notes that the first token has come; only the first call counts.
    pub fn record_first_token(&mut self) {
        if self.guard.first_token_at.is_some() {
            return;
        }
        let now = self.guard.clock.now();
        self.guard.first_token_at = Some(now);
        self.guard.generated_tokens = self.guard.generated_tokens.max(1);
        for (engine, work) in &self.guard.works {
            engine.borrow_mut().own.started(*work);
        }
        self.guard.learn_first_token(now);
    }

    /// Notes how many tokens of the answer have come so far, all told.
    pub fn record_generated_tokens(&mut self, generated_tokens: u32) {
        self.guard.generated_tokens = self.guard.generated_tokens.max(generated_tokens);
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        for (engine, work) in &self.works {
            engine.borrow_mut().own.remove(*work);
        }
        if let Some(first_token_at) = self.first_token_at {
            self.learn_answer(first_token_at, self.clock.now());
        }
    }
}
