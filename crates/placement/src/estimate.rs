//! What one engine would do with one request.

use std::time::{Duration, Instant};

use crate::backlog::{Backlog, backlog, queue_s};
use crate::border::{Interval, LENGTH_CLASSES, length_class};
use crate::demand::{Estimate, PlacementRequest};
use crate::engine::Engine;
use crate::model::Typical;
use crate::priority::priority;
use crate::rates::PrefillLine;
use crate::work::{BANDS, Work};

/// Decoding step believed of a report, in seconds.
const REPORTED_STEP_S: std::ops::RangeInclusive<f64> = 0.000_1..=1.0;

/// Decoding step before anything was observed or reported, in seconds.
const INITIAL_STEP_S: f64 = 0.03;

/// Cost of a place outside the prompt's interval, as a multiple of the prompt's
/// own prefill time for the whole length of the order.
const BORDER_WEIGHT: f64 = 0.03;

/// Delay by less urgent work in progress before any was observed, in tokens:
/// half of a usual prefill chunk.
const INITIAL_INTERFERENCE_TOKENS: f64 = 512.0;

/// Shortest work for which overtaking is counted, in tokens.
const OVERTAKABLE_TOKENS: u64 = 8_192;

/// Estimates beyond this are not told apart.
const MAX_ESTIMATE_S: f64 = 86_400.0;

/// A request and what is the same for every engine that it is weighed against.
#[derive(Debug)]
pub(crate) struct Asked<'a> {
    pub(crate) demand: &'a PlacementRequest,
    pub(crate) now: Instant,
    /// Availability zone of this daemon.
    pub(crate) availability_zone: &'a str,
    /// One-way latency between availability zones.
    pub(crate) zone_penalty: Duration,
    /// Intervals of the length classes.
    pub(crate) intervals: [Interval; LENGTH_CLASSES],
    /// Share of recent work that is as urgent as each band, or more.
    pub(crate) ahead_share: [f64; BANDS],
    /// What the model's engines have in common.
    pub(crate) typical: Typical,
    /// Expected length of the answer, in tokens.
    pub(crate) answer_tokens: f64,
    /// Delay by less urgent work as observed, in seconds.
    pub(crate) interference_s: Option<f64>,
}

/// What an engine would do with a request, and what taking it would cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    pub(crate) cached_tokens: u64,
    pub(crate) uncached_tokens: u64,
    /// Queue as the work that would take as long, in tokens.
    pub(crate) queue_tokens: f64,
    pub(crate) priority: u8,
    pub(crate) line: PrefillLine,
    pub(crate) estimate: Estimate,
    /// Part of the time that less urgent work in progress takes, in seconds.
    pub(crate) interference_s: f64,
    /// Gap between the engine and the prompt's interval, as a part of the order.
    pub(crate) border_distance: f64,
    pub(crate) cost_s: f64,
    pub(crate) misses_target: bool,
    pub(crate) delays_others: bool,
    overtaking_left_tokens: Option<i64>,
}

impl Terms {
    /// The work to count on the engine, of which it computes `share_tokens`.
    pub(crate) fn work(&self, share_tokens: u64, kv_tokens: u64, now: Instant) -> Work {
        Work {
            placed_at: now,
            priority: self.priority,
            prefill_tokens: share_tokens,
            kv_tokens,
            overtaking_left_tokens: self.overtaking_left_tokens,
        }
    }
}

/// Weighs a request against an engine.
pub(crate) fn weigh(engine: &Engine, asked: &Asked<'_>) -> Terms {
    let demand = asked.demand;
    let cached_tokens = engine.cache.cached_tokens(&demand.blocks);
    // The last token is always computed: its output starts the answer.
    let uncached_tokens = demand.length_tokens.saturating_sub(cached_tokens).max(1);
    weigh_share(engine, asked, cached_tokens, uncached_tokens)
}

/// Weighs a request of which the engine computes `uncached_tokens`.
pub(crate) fn weigh_share(
    engine: &Engine,
    asked: &Asked<'_>,
    cached_tokens: u64,
    uncached_tokens: u64,
) -> Terms {
    let demand = asked.demand;
    let line = line(engine, asked);
    let prefill_s = line.time_s(uncached_tokens as f64);
    let decode_s = (asked.answer_tokens - 1.0).max(0.0) * step_s(engine, &asked.typical);
    let left_s = (demand.deadline.saturating_duration_since(asked.now)).as_secs_f64();
    let target_s = demand.time_to_first_token.as_secs_f64();

    let slack_s = (target_s - prefill_s).min(left_s - decode_s - prefill_s);
    let priority = priority(uncached_tokens, seconds(slack_s));
    let backlog = backlog(engine, priority, &line, &asked.ahead_share, asked.now);
    let queue_s = queue_s(engine, &backlog, &line, demand);
    let zone_s = zone_s(engine, asked);
    let interference_s = interference_s(&backlog, &line, asked);
    let first_token_s = prefill_s + queue_s + zone_s + interference_s;

    let interval = asked.intervals[length_class(uncached_tokens)];
    let border_distance = engine.position.distance(&interval);
    let border_s = BORDER_WEIGHT * border_distance * prefill_s;
    let may_overtake = engine.overtaking_left_tokens(priority);
    let spare_tokens = (left_s - decode_s - first_token_s).max(0.0) / line.token_s;
    Terms {
        cached_tokens,
        uncached_tokens,
        queue_tokens: queue_s / line.token_s,
        priority,
        line,
        estimate: Estimate {
            time_to_first_token: seconds(first_token_s),
            completion: seconds(first_token_s + decode_s),
            queue: seconds(queue_s),
            is_assumed: is_assumed(engine, &asked.typical),
        },
        border_distance,
        cost_s: first_token_s + border_s,
        interference_s,
        misses_target: first_token_s > target_s.min(left_s),
        delays_others: may_overtake.is_some_and(|left| left < uncached_tokens as i64),
        overtaking_left_tokens: (uncached_tokens >= OVERTAKABLE_TOKENS)
            .then_some(spare_tokens as i64),
    }
}

/// Duration of `seconds`, held to what can be told apart.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.clamp(0.0, MAX_ESTIMATE_S))
}

fn line(engine: &Engine, asked: &Asked<'_>) -> PrefillLine {
    let prior = asked.typical.line;
    let prior = prior.unwrap_or_else(|| engine.reported_line());
    engine.fit.line(prior, asked.now)
}

/// Whether neither the engine's own word nor anything observed tells its speed.
fn is_assumed(engine: &Engine, typical: &Typical) -> bool {
    let is_observed = typical.line.is_some() || typical.step_s.is_some();
    engine.report.is_none() && engine.fit.samples() == 0 && !is_observed
}

/// Expected time of a decoding step, in seconds.
fn step_s(engine: &Engine, typical: &Typical) -> f64 {
    if let Some(observed_s) = engine.step_s.mean().or(typical.step_s) {
        return observed_s;
    }
    let reported = engine.report.as_ref();
    reported
        .map(|reported| reported.load.decode_step_ms / 1e3)
        .filter(|step_s| step_s.is_finite() && *step_s > 0.0)
        .map_or(INITIAL_STEP_S, |step_s| {
            step_s.clamp(*REPORTED_STEP_S.start(), *REPORTED_STEP_S.end())
        })
}

/// Delay by less urgent work, whose chunk in progress is not broken off, in
/// seconds.
fn interference_s(backlog: &Backlog, line: &PrefillLine, asked: &Asked<'_>) -> f64 {
    let behind_tokens = backlog.total_tokens - backlog.ahead_tokens;
    if behind_tokens < 1.0 {
        return 0.0;
    }
    let whole_s = asked.interference_s;
    let whole_s = whole_s.unwrap_or(INITIAL_INTERFERENCE_TOKENS * line.token_s);
    whole_s.min(behind_tokens * line.token_s)
}

/// Time to and from an engine in another availability zone, in seconds.
fn zone_s(engine: &Engine, asked: &Asked<'_>) -> f64 {
    if engine.info.availability_zone == asked.availability_zone {
        return 0.0;
    }
    2.0 * asked.zone_penalty.as_secs_f64()
}
