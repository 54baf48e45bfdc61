//! The work that stands before a request on one engine.
//!
//! Three sources meet here. Own placements are known exactly, since the first
//! token takes a request out of them. Peers' placements are as old as their
//! last views and fade at the engine's own rate until the next. The report
//! tells how much was left in all, some time ago: where it has more than both
//! account for, someone unknown placed it, and the share of it that goes ahead
//! is taken from the recent mix of priorities; where it has less, the engine has
//! made headway, most urgent work first, though never on work placed after the
//! measurement, and no faster than it has been seen to.

use std::time::Instant;

use crate::demand::PlacementRequest;
use crate::engine::Engine;
use crate::rates::PrefillLine;
use crate::work::{BANDS, band};

/// Time that a request holds its memory, before any was observed, in seconds.
const INITIAL_HOLD_S: f64 = 5.0;

/// Work before a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// As urgent as the request, or more, in tokens.
    pub(crate) ahead_tokens: f64,
    /// All there is, in tokens.
    pub(crate) total_tokens: f64,
}

/// Work on `engine` before a request of `priority`.
pub(crate) fn backlog(
    engine: &Engine,
    priority: u8,
    line: &PrefillLine,
    ahead_share: &[f64; BANDS],
    now: Instant,
) -> Backlog {
    let band = band(priority);
    let own = engine.own.waiting_tokens();
    let peers = &engine.peers.waiting_tokens;
    let drained = engine.peers.age_s(now) / line.token_s;
    let own_ahead = sum(&own[..=band]);
    let peers_ahead = (sum(&peers[..=band]) - drained).max(0.0);
    let own_total = sum(own);
    let peers_total = (sum(peers) - drained).max(0.0);
    let known = Backlog {
        ahead_tokens: own_ahead + peers_ahead,
        total_tokens: own_total + peers_total,
    };
    let Some(reported) = &engine.report else {
        return known;
    };

    let age_s = now
        .saturating_duration_since(reported.measured_at)
        .as_secs_f64();
    let reported_tokens = reported.load.waiting_prefill_tokens as f64;
    let left = (reported_tokens - age_s / line.token_s).max(0.0);
    let own_since = engine.own.since_report_tokens();
    let own_before = own_total - sum(own_since);
    let unknown = (left - own_before - peers_total).max(0.0);

    let peers_since = (engine.peers.since_report_tokens as f64).min(peers_total);
    let possible = engine.own.oldest_waiting().map_or(0.0, |oldest| {
        now.saturating_duration_since(oldest).as_secs_f64() / line.token_s
    });
    let done = (own_before + peers_total - peers_since - left).clamp(0.0, possible);
    let ahead = (known.ahead_tokens - done).max(sum(&own_since[..=band]));
    Backlog {
        ahead_tokens: ahead + unknown * ahead_share[band],
        total_tokens: (known.total_tokens - done).max(ahead) + unknown,
    }
}

/// Time until the engine turns to the request, in seconds.
pub(crate) fn queue_s(
    engine: &Engine,
    backlog: &Backlog,
    line: &PrefillLine,
    demand: &PlacementRequest,
) -> f64 {
    let ahead_s = backlog.ahead_tokens * line.token_s;
    let memory_s = memory_wait_s(engine, demand);
    if memory_s == 0.0 {
        return ahead_s;
    }
    // Memory is held by less urgent work too, until that is through.
    backlog.total_tokens * line.token_s + memory_s
}

/// Time for which finished prefills go on holding memory that the request
/// needs, in seconds.
fn memory_wait_s(engine: &Engine, demand: &PlacementRequest) -> f64 {
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
    let needed_tokens = demand
        .length_tokens
        .saturating_add(u64::from(demand.max_tokens));
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
