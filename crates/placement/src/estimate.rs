//! What one engine would do with one request.

use std::time::{Duration, Instant};

use crate::border::{Interval, LENGTH_CLASSES, length_class};
use crate::demand::{Demand, Estimate};
use crate::engine::Engine;
use crate::model::Typical;
use crate::priority::priority;
use crate::rates::PrefillLine;
use crate::work::{BANDS, Work, band};

/// Decoding step believed of a report, in seconds.
const REPORTED_STEP_S: std::ops::RangeInclusive<f64> = 0.000_1..=1.0;

/// Decoding step before anything was observed or reported, in seconds.
const INITIAL_STEP_S: f64 = 0.03;

/// Time that a request holds its memory, before any was observed, in seconds.
const INITIAL_HOLD_S: f64 = 5.0;

/// Cost of a place outside the prompt's interval, as a multiple of the
/// prompt's own prefill time for the whole length of the order.
const BORDER_WEIGHT: f64 = 2.0;

/// Shortest work for which overtaking is counted, in tokens.
const OVERTAKABLE_TOKENS: u64 = 8_192;

/// Estimates beyond this are not told apart.
const MAX_ESTIMATE_S: f64 = 86_400.0;

/// A request and what is the same for every engine that it is weighed against.
#[derive(Debug)]
pub(crate) struct Asked<'a> {
    pub(crate) demand: &'a Demand,
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
}

/// What an engine would do with a request, and what taking it would cost.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Terms {
    pub(crate) cached_tokens: u64,
    pub(crate) uncached_tokens: u64,
    pub(crate) queue_tokens: f64,
    pub(crate) priority: u8,
    pub(crate) line: PrefillLine,
    pub(crate) estimate: Estimate,
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
    let queue_tokens = queued_tokens(engine, priority, &line, asked);
    let queue_s = queue_tokens * line.token_s + memory_wait_s(engine, demand);
    let zone_s = zone_s(engine, asked);
    let first_token_s = prefill_s + queue_s + zone_s;

    let interval = asked.intervals[length_class(uncached_tokens)];
    let border_distance = engine.position.distance(&interval);
    let may_overtake = engine.overtaking_left_tokens(priority);
    let spare_tokens = (left_s - decode_s - first_token_s).max(0.0) / line.token_s;
    Terms {
        cached_tokens,
        uncached_tokens,
        queue_tokens,
        priority,
        line,
        estimate: Estimate {
            time_to_first_token: seconds(first_token_s),
            completion: seconds(first_token_s + decode_s),
            queue: seconds(queue_s),
        },
        border_distance,
        cost_s: first_token_s + BORDER_WEIGHT * border_distance * prefill_s,
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

/// Time to and from an engine in another availability zone, in seconds.
fn zone_s(engine: &Engine, asked: &Asked<'_>) -> f64 {
    if engine.info.availability_zone == asked.availability_zone {
        return 0.0;
    }
    2.0 * asked.zone_penalty.as_secs_f64()
}

/// Work that the engine will do before a request of `priority`, in tokens.
///
/// Two views meet here. Own and peers' placements say which work there is and
/// how urgent; the report says how much is left, though as of some time ago.
/// Where the report has more, others placed it, and the share of it that goes
/// ahead is taken from the recent mix of priorities. Where it has less, the
/// engine has made headway, most urgent work first, though never on work that
/// was placed after the measurement, and no faster than it has been seen to.
fn queued_tokens(engine: &Engine, priority: u8, line: &PrefillLine, asked: &Asked<'_>) -> f64 {
    let band = band(priority);
    let own = engine.own.waiting_tokens();
    let peers = &engine.peers.waiting_tokens;
    let own_ahead = sum(&own[..=band]);
    let ahead = own_ahead + sum(&peers[..=band]);
    let Some(reported) = &engine.report else {
        return ahead;
    };

    let total = sum(own) + sum(peers);
    let own_since = engine.own.since_report_tokens();
    let peers_since = engine.peers.since_report_tokens as f64;
    let age_s = (asked.now.saturating_duration_since(reported.measured_at)).as_secs_f64();
    let waiting = reported.load.waiting_prefill_tokens as f64;
    let left = (waiting - age_s / line.token_s).max(0.0) + sum(own_since) + peers_since;
    let share = asked.ahead_share[band];
    if left >= total {
        return ahead + (left - total) * share;
    }

    let oldest = engine.own.oldest_waiting();
    let busy_s = oldest.map_or(0.0, |oldest| (asked.now - oldest).as_secs_f64());
    let possible = busy_s / line.token_s + sum(peers);
    let done = (total - left).min(possible);
    let since_ahead = sum(&own_since[..=band]) + peers_since * share;
    (ahead - done).max(since_ahead.min(ahead))
}

/// Time until the engine has memory for the request, in seconds.
fn memory_wait_s(engine: &Engine, demand: &Demand) -> f64 {
    let Some(reported) = &engine.report else {
        return 0.0;
    };
    let load = &reported.load;
    let is_idle = load.running == 0 && engine.outstanding() == 0;
    if load.kv_total_tokens == 0 || is_idle {
        return 0.0;
    }
    let used_tokens = load
        .kv_used_tokens
        .saturating_add(engine.own.since_report_kv_tokens())
        .saturating_add(engine.peers.since_report_tokens);
    let needed_tokens = demand.length_tokens + u64::from(demand.max_tokens);
    let missing_tokens = used_tokens
        .saturating_add(needed_tokens)
        .saturating_sub(load.kv_total_tokens);
    let hold_s = engine.hold_s.mean().unwrap_or(INITIAL_HOLD_S);
    // Memory comes back evenly over the time that requests hold it.
    hold_s * (missing_tokens as f64 / used_tokens.max(1) as f64).min(1.0)
}

fn sum(tokens: &[u64]) -> f64 {
    tokens.iter().map(|tokens| *tokens as f64).sum()
}
