//! Rate limits that upstreams name in their answers.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;

use mangofront_engines::{UpstreamKey, key_of};
use mangofront_limits::{LimitTable, Moment, NamedLimit};
use mangofront_routes::Upstream;
use mangofront_telemetry::metrics::Metrics;
use mangofront_upstream::UpstreamResponse;

use crate::boot_clock::BootInstant;
use crate::dialect::Dialect;
use crate::trace;

/// Time in which sends to an upstream are counted for logs.
const SEND_WINDOW: Duration = Duration::from_secs(4);

/// Sends to a limited upstream were not restricted.
const DECISION_UNRESTRICTED: &str = "unrestricted";

/// The rate limits that this daemon knows; clones share their state.
#[derive(Clone)]
pub(crate) struct RateLimits(Rc<Shared>);

struct Shared {
    dialect: Rc<dyn Dialect>,
    metrics: Metrics,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    table: LimitTable,
    /// When this daemon sent requests to each limited upstream.
    sent: HashMap<UpstreamKey, VecDeque<Moment>>,
}

impl std::fmt::Debug for RateLimits {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("RateLimits").finish_non_exhaustive()
    }
}

impl RateLimits {
    /// Knows of no limit.
    pub(crate) fn new(dialect: Rc<dyn Dialect>, metrics: Metrics) -> Self {
        Self(Rc::new(Shared {
            dialect,
            metrics,
            state: RefCell::default(),
        }))
    }

    /// Records what an answer to the request `request_id`, which was sent at `sent_at`, says of
    /// its upstream's limit.
    pub(crate) fn observe(
        &self,
        upstream: &Upstream,
        answer: &UpstreamResponse,
        request_id: &str,
        sent_at: Moment,
    ) {
        let head = self.0.dialect.read_answer(answer.status, &answer.headers);
        if head.wrong_upstream {
            return;
        }
        let (key, now) = (key_of(upstream), now());
        let answers_request = head.request_id.as_deref() == Some(request_id);
        let table = &mut self.0.state.borrow_mut().table;
        let change = match head.rate_limit {
            NamedLimit::Named(limit) => table.observe_limit(key, limit, sent_at, now),
            // A refusal, or the answer to an order or to another request, does not tell whether
            // the limit has ended.
            NamedLimit::Absent if answers_request && !head.not_run => {
                table.observe_none(key, sent_at)
            }
            NamedLimit::Absent => None,
            NamedLimit::Invalid => {
                trace::rate_limit_invalid(upstream);
                None
            }
        };
        if let Some(change) = change {
            trace::rate_limit_changed(upstream, &change, "an answer", Duration::ZERO);
        }
    }

    /// Records that a request is sent.
    pub(crate) fn record_send(&self, upstream: &Upstream, cause: &str) {
        let (key, now) = (key_of(upstream), now());
        let state = &mut *self.0.state.borrow_mut();
        let Some(limit) = state.table.limit(key) else {
            return;
        };
        let sent = state.sent.entry(key).or_default();
        sent.push_back(now);
        while sent.front().is_some_and(|at| now - *at > SEND_WINDOW) {
            sent.pop_front();
        }
        let age = state.table.observation(key, now);
        let age_ms = age.map_or(0, |observation| observation.age_ms);
        trace::rate_limited_send(
            cause,
            upstream,
            limit,
            age_ms,
            sent.len(),
            DECISION_UNRESTRICTED,
        );
        self.0.metrics.rate_limited_send(DECISION_UNRESTRICTED);
    }

    /// Updates the gauge of limits in force, and forgets upstreams that are gone.
    pub(crate) fn record_state(&self, is_known: impl Fn(UpstreamKey) -> bool) {
        let state = &mut *self.0.state.borrow_mut();
        state.table.retain(&is_known, now());
        state.sent.retain(|key, _| is_known(*key));
        let in_force = state.table.in_force(now());
        self.0.metrics.rate_limits(in_force.len() as u64);
    }
}

/// The current moment.
pub(crate) fn now() -> Moment {
    BootInstant::now().since_boot()
}
