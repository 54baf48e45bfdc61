//! Prediction of one request's latency and cost on one engine.

use std::time::{Duration, Instant};

use crate::backlog::{Backlog, backlog, queue_s};
use crate::engine::Engine;
use crate::length_class::{Interval, LENGTH_CLASSES, length_class};
use crate::model::ModelMedians;
use crate::own_work::{BANDS, Work};
use crate::prefill::PrefillLine;
use crate::priority::priority;
use crate::request::{Estimate, PlacementRequest};

/// Range to which a reported decoding step is clamped, in seconds.
const REPORTED_DECODE_STEP_S: std::ops::RangeInclusive<f64> = 0.000_1..=1.0;

/// Decoding step assumed until one is observed or reported, in seconds.
const INITIAL_DECODE_STEP_S: f64 = 0.03;

/// Cost of selecting an engine outside the prompt's interval, as a fraction of
/// the prompt's prefill time at the greatest possible distance.
const INTERVAL_DISTANCE_WEIGHT: f64 = 0.03;

/// Delay by less urgent work in progress assumed until one is observed, in
/// tokens: half of a usual prefill chunk.
const INITIAL_INTERFERENCE_TOKENS: f64 = 512.0;

/// Shortest prefill for which overtaking is limited, in tokens.
const MIN_OVERTAKABLE_TOKENS: u64 = 8_192;

/// Upper bound of every estimate, in seconds.
const MAX_ESTIMATE_S: f64 = 86_400.0;

/// A request and the inputs that are the same for all candidate engines.
#[derive(Debug)]
pub(crate) struct DecisionContext<'a> {
    pub(crate) request: &'a PlacementRequest,
    pub(crate) now: Instant,
    /// Availability zone of this daemon.
    pub(crate) availability_zone: &'a str,
    /// One-way latency between availability zones.
    pub(crate) zone_penalty: Duration,
    /// Intervals of the length classes.
    pub(crate) intervals: [Interval; LENGTH_CLASSES],
    /// Share of recent work in each priority band and all more urgent ones.
    pub(crate) ahead_share: [f64; BANDS],
    /// Medians over the model's engines.
    pub(crate) medians: ModelMedians,
    /// Expected length of the answer, in tokens.
    pub(crate) expected_answer_tokens: f64,
    /// Observed delay by less urgent work in progress, in seconds.
    pub(crate) interference_s: Option<f64>,
}

/// Predicted latency and cost of a request on an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Evaluation {
    pub(crate) cached_tokens: u64,
    pub(crate) uncached_tokens: u64,
    /// Queueing time, expressed as prefill work in tokens.
    pub(crate) queue_tokens: f64,
    pub(crate) priority: u8,
    pub(crate) line: PrefillLine,
    pub(crate) estimate: Estimate,
    /// Delay by less urgent work in progress, in seconds.
    pub(crate) interference_s: f64,
    /// Gap between the engine and the prompt's interval, as a fraction of the
    /// order.
    pub(crate) interval_distance: f64,
    pub(crate) cost_s: f64,
    pub(crate) misses_target: bool,
    pub(crate) delays_others: bool,
    overtaking_budget_tokens: Option<i64>,
}

impl Evaluation {
    /// Work to account for on an engine that computes `share_tokens` of the
    /// prompt.
    pub(crate) fn work(&self, share_tokens: u64, kv_tokens: u64, now: Instant) -> Work {
        Work {
            placed_at: now,
            priority: self.priority,
            prefill_tokens: share_tokens,
            kv_tokens,
            overtaking_budget_tokens: self.overtaking_budget_tokens,
        }
    }
}

/// Evaluates a request on an engine.
pub(crate) fn evaluate(engine: &Engine, context: &DecisionContext<'_>) -> Evaluation {
    let request = context.request;
    let cached_tokens = engine.cache.cached_tokens(&request.blocks);
    // The last prompt token is always computed: its output is the first token.
    let uncached_tokens = request.length_tokens.saturating_sub(cached_tokens).max(1);
    evaluate_share(engine, context, cached_tokens, uncached_tokens)
}

/// Evaluates a request of which the engine computes `uncached_tokens`.
pub(crate) fn evaluate_share(
    engine: &Engine,
    context: &DecisionContext<'_>,
    cached_tokens: u64,
    uncached_tokens: u64,
) -> Evaluation {
    let request = context.request;
    let line = prefill_line(engine, context);
    let prefill_s = line.time_s(uncached_tokens as f64);
    let decode_s =
        (context.expected_answer_tokens - 1.0).max(0.0) * decode_step_s(engine, &context.medians);
    let remaining_s = (request.deadline.saturating_duration_since(context.now)).as_secs_f64();
    let target_s = request.time_to_first_token.as_secs_f64();

    let slack_s = (target_s - prefill_s).min(remaining_s - decode_s - prefill_s);
    let priority = priority(uncached_tokens, seconds(slack_s));
    let backlog = backlog(engine, priority, &line, &context.ahead_share, context.now);
    let queue_s = queue_s(engine, &backlog, &line, request);
    let zone_s = zone_s(engine, context);
    let interference_s = interference_s(&backlog, &line, context);
    let first_token_s = prefill_s + queue_s + zone_s + interference_s;

    let interval = context.intervals[length_class(uncached_tokens)];
    let interval_distance = engine.order_interval.distance(&interval);
    let distance_cost_s = INTERVAL_DISTANCE_WEIGHT * interval_distance * prefill_s;
    let smallest_budget = engine.smallest_overtaking_budget(priority);
    let spare_tokens = (remaining_s - decode_s - first_token_s).max(0.0) / line.token_s;
    Evaluation {
        cached_tokens,
        uncached_tokens,
        queue_tokens: queue_s / line.token_s,
        priority,
        line,
        estimate: Estimate {
            time_to_first_token: seconds(first_token_s),
            completion: seconds(first_token_s + decode_s),
            queue: seconds(queue_s),
            is_assumed: is_assumed(engine, &context.medians),
        },
        interval_distance,
        cost_s: first_token_s + distance_cost_s,
        interference_s,
        misses_target: first_token_s > target_s.min(remaining_s),
        delays_others: smallest_budget.is_some_and(|budget| budget < uncached_tokens as i64),
        overtaking_budget_tokens: (uncached_tokens >= MIN_OVERTAKABLE_TOKENS)
            .then_some(spare_tokens as i64),
    }
}

/// Converts to a duration, clamped to `MAX_ESTIMATE_S`.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_ESTIMATE_S))
}

fn prefill_line(engine: &Engine, context: &DecisionContext<'_>) -> PrefillLine {
    let prior = context.medians.line;
    let prior = prior.unwrap_or_else(|| engine.reported_line());
    engine.fit.line(prior, context.now)
}

/// Whether the engine's speed was neither reported nor observed.
fn is_assumed(engine: &Engine, medians: &ModelMedians) -> bool {
    let is_observed = medians.line.is_some() || medians.decode_step_s.is_some();
    engine.report.is_none() && engine.fit.samples() == 0 && !is_observed
}

/// Expected time of a decoding step, in seconds.
fn decode_step_s(engine: &Engine, medians: &ModelMedians) -> f64 {
    if let Some(observed_s) = engine.decode_step_s.mean().or(medians.decode_step_s) {
        return observed_s;
    }
    let reported = engine.report.as_ref();
    reported
        .map(|reported| reported.load.decode_step_ms / 1e3)
        .filter(|decode_step_s| decode_step_s.is_finite() && *decode_step_s > 0.0)
        .map_or(INITIAL_DECODE_STEP_S, |decode_step_s| {
            decode_step_s.clamp(
                *REPORTED_DECODE_STEP_S.start(),
                *REPORTED_DECODE_STEP_S.end(),
            )
        })
}

/// Delay by less urgent work, whose prefill chunk in progress is not
/// interrupted, in seconds.
fn interference_s(backlog: &Backlog, line: &PrefillLine, context: &DecisionContext<'_>) -> f64 {
    let behind_tokens = backlog.total_tokens - backlog.ahead_tokens;
    if behind_tokens < 1.0 {
        return 0.0;
    }
    let full_delay_s = context.interference_s;
    let full_delay_s = full_delay_s.unwrap_or(INITIAL_INTERFERENCE_TOKENS * line.token_s);
    full_delay_s.min(behind_tokens * line.token_s)
}

/// Round trip to an engine in another availability zone, in seconds.
fn zone_s(engine: &Engine, context: &DecisionContext<'_>) -> f64 {
    if engine.info.availability_zone == context.availability_zone {
        return 0.0;
    }
    2.0 * context.zone_penalty.as_secs_f64()
}
