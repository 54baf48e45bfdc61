//! Estimate of the work queued ahead of a request on one engine.
//!
//! Combines three sources:
//!
//! - This daemon's placements are known exactly: a request leaves them with its
//!   first token.
//! - Peers' placements are as old as the peers' last views. They are reduced at
//!   the engine's prefill rate until the next view arrives.
//! - The engine's report gives the total at the time of measurement. A total
//!   above the sum of the other two is work of unknown origin; the share of it
//!   that runs ahead of the request is derived from the recent mix of
//!   priorities. A total below it means that the engine has completed work, the
//!   most urgent first, but never work that was placed after the measurement,
//!   and no more than it can have prefilled since the oldest of this daemon's
//!   waiting requests was placed.

use std::time::Instant;

use crate::engine::Engine;
use crate::own_work::{BANDS, band};
use crate::prefill::PrefillLine;
use crate::request::PlacementRequest;

/// Time for which a request holds KV memory, assumed until one is observed, in
/// seconds.
const INITIAL_MEMORY_HOLD_S: f64 = 5.0;

/// Prefill work queued on an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backlog {
    /// Work at least as urgent as the request, in tokens.
    pub(crate) ahead_tokens: f64,
    /// All queued work, in tokens.
    pub(crate) total_tokens: f64,
}

/// Estimates the work on `engine` ahead of a request of `priority`.
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
    let peers_drained_tokens = engine.peers.mean_age_s(now) / line.token_s;
    let own_ahead = sum(&own[..=band]);
    let peers_ahead = (sum(&peers[..=band]) - peers_drained_tokens).max(0.0);
    let own_total = sum(own);
    let peers_total = (sum(peers) - peers_drained_tokens).max(0.0);
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
    let remaining = (reported_tokens - age_s / line.token_s).max(0.0);
    let own_since = engine.own.since_report_tokens();
    let own_before = own_total - sum(own_since);
    let unattributed = (remaining - own_before - peers_total).max(0.0);

    let peers_since = (engine.peers.since_report_tokens as f64).min(peers_total);
    let max_completed = engine.own.oldest_waiting().map_or(0.0, |oldest| {
        now.saturating_duration_since(oldest).as_secs_f64() / line.token_s
    });
    let completed = (own_before + peers_total - peers_since - remaining).clamp(0.0, max_completed);
    let ahead = (known.ahead_tokens - completed).max(sum(&own_since[..=band]));
    Backlog {
        ahead_tokens: ahead + unattributed * ahead_share[band],
        total_tokens: (known.total_tokens - completed).max(ahead) + unattributed,
    }
}

/// Time until the engine starts the request's prefill, in seconds.
pub(crate) fn queue_s(
    engine: &Engine,
    backlog: &Backlog,
    line: &PrefillLine,
    request: &PlacementRequest,
) -> f64 {
    let ahead_s = backlog.ahead_tokens * line.token_s;
    let memory_s = memory_wait_s(engine, request);
    if memory_s == 0.0 {
        return ahead_s;
    }
    // Less urgent work holds memory too until it has completed.
    backlog.total_tokens * line.token_s + memory_s
}

/// Time for which requests past their prefill still hold KV memory that this
/// request needs, in seconds.
fn memory_wait_s(engine: &Engine, request: &PlacementRequest) -> f64 {
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
    let needed_tokens = request
        .length_tokens
        .saturating_add(u64::from(request.max_tokens));
    let missing_tokens = used_tokens
        .saturating_add(needed_tokens)
        .saturating_sub(load.kv_total_tokens);
    let memory_hold_s = engine.memory_hold_s.mean().unwrap_or(INITIAL_MEMORY_HOLD_S);
    // Assumes that memory is released evenly over the mean hold time.
    memory_hold_s * (missing_tokens as f64 / used_tokens.max(1) as f64).min(1.0)
}

fn sum(tokens: &[u64]) -> f64 {
    tokens.iter().map(|tokens| *tokens as f64).sum()
}
