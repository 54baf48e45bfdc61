//! Reports on load, cache, and the state set by orders.

use std::time::{Duration, Instant};

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mangofront_http::{Body, json};
use serde::Serialize;

use super::cache_events::{CacheEvent, hex};
use super::head::query_number;
use super::state::Engine;

/// Upper bound on `wait_ms` of a request for cache events, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

#[derive(Serialize)]
struct CacheReport {
    incarnation: u64,
    sequence: u64,
    blocks: Vec<String>,
}

#[derive(Serialize)]
struct EventsReport {
    incarnation: u64,
    next_sequence: u64,
    events: Vec<CacheEvent>,
}

/// Load report, delayed by the configured lag.
pub(crate) fn load(engine: &Engine) -> Response<Body> {
    let now = Instant::now();
    let report = engine
        .state
        .borrow_mut()
        .load_report(engine.incarnation, now);
    json(StatusCode::OK, &report)
}

/// Prefix blocks currently present.
pub(crate) fn cache(engine: &Engine) -> Response<Body> {
    let state = engine.state.borrow();
    let report = CacheReport {
        incarnation: engine.incarnation,
        sequence: state.cache_events.next_sequence(),
        blocks: state.batch.memory.blocks().into_iter().map(hex).collect(),
    };
    json(StatusCode::OK, &report)
}

/// Cache events; waits for up to `wait_ms` while there is none.
pub(crate) async fn events(engine: &Engine, request: &Request<Incoming>) -> Response<Body> {
    let from = query_number(request, "from").unwrap_or(0);
    let wait_ms = query_number(request, "wait_ms")
        .unwrap_or(0)
        .min(MAX_WAIT_MS);
    let until = Instant::now() + Duration::from_millis(wait_ms);
    loop {
        let seen = engine.cache_changed.generation();
        let now = Instant::now();
        let (visible, next_at) = {
            let state = engine.state.borrow();
            let log = &state.cache_events;
            (log.visible(from, now), log.next_visible_at(now))
        };
        if visible.next_sequence > from || now >= until {
            let report = EventsReport {
                incarnation: engine.incarnation,
                next_sequence: visible.next_sequence,
                events: visible.events,
            };
            return json(StatusCode::OK, &report);
        }
        let wake_at = next_at.unwrap_or(until).min(until);
        let changed = engine.cache_changed.changed(seen);
        let remaining = wake_at.saturating_duration_since(now);
        let _ = compio::time::timeout(remaining, changed).await;
    }
}

/// Model, version, adapters and role in force.
pub(crate) fn state(engine: &Engine) -> Response<Body> {
    let report = engine.state.borrow().orders.report(engine.incarnation);
    json(StatusCode::OK, &report)
}
