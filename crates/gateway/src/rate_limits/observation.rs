//! What answers and other daemons say of limits.

use std::collections::BTreeMap;
use std::time::Duration;

use mangofront_engines::{LoadUpdate, UpstreamKey, key_of};
use mangofront_limits::{
    ColdObservation, LimitChange, LimitInForce, LimitObservation, Moment, NamedLimit, RateLimit,
};
use mangofront_routes::Upstream;

use super::{RateLimits, now};
use crate::dialect::AnswerHead;
use crate::trace;

/// Time in which sends to an upstream are counted for logs and status.
const SEND_WINDOW: Duration = Duration::from_secs(4);

/// How this daemon learned of a limit.
#[derive(Debug, Clone, Copy)]
pub(crate) enum LimitSource {
    /// An answer that it received.
    Answer,
    /// Another daemon told it.
    Daemon,
}

impl LimitSource {
    /// Name in logs; it must not change.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Answer => "answer",
            Self::Daemon => "daemon",
        }
    }
}

impl RateLimits {
    /// Records what an answer to the request `request_id`, which was sent at `sent_at`, says of
    /// its upstream's limit.
    pub(crate) fn observe(
        &self,
        upstream: &Upstream,
        head: &AnswerHead,
        request_id: &str,
        sent_at: Moment,
    ) {
        if head.wrong_upstream {
            return;
        }
        let (key, now) = (key_of(upstream), now());
        if let Some(left) = head.cold_left
            && let Some(observation) = self.0.parts.cold_upstreams.observe(key, left, sent_at)
        {
            self.tell(LoadUpdate::Cold(observation));
        }
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
        let Some(change) = change else {
            return;
        };
        trace::rate_limit_changed(upstream, &change, LimitSource::Answer, Duration::ZERO);
        if let Some(observation) = table.observation(key, now) {
            table.mark_told(key, now);
            self.broadcast(observation);
        }
    }

    /// Applies what another daemon knows of a limit.
    pub(crate) fn merge(&self, observation: &LimitObservation) {
        let change = self.0.state.borrow_mut().table.merge(observation, now());
        if let Some(change) = change {
            let age = Duration::from_millis(u64::from(observation.age_ms));
            self.log_change(observation.upstream, &change, age);
        }
    }

    /// Applies what another daemon told all others of a cold upstream.
    pub(crate) fn merge_told_cold(&self, observation: &ColdObservation) {
        self.0.parts.cold_upstreams.merge_told(observation);
    }

    /// Applies what another daemon knows of a cold upstream.
    pub(crate) fn merge_cold(&self, observation: &ColdObservation) {
        self.0.parts.cold_upstreams.merge(observation);
    }

    /// The limit in force of an upstream: the one that it names or that of its warm-up, if that is
    /// lower.
    pub(crate) fn limit(&self, upstream: UpstreamKey) -> Option<RateLimit> {
        let named = self.0.state.borrow().table.limit(upstream);
        let cold = self.0.parts.cold_upstreams.limit(upstream);
        match (named, cold) {
            (Some(named), Some(cold)) => Some(named.min(cold)),
            (named, cold) => named.or(cold),
        }
    }

    /// All limits in force, in the order of the upstreams' keys.
    pub(super) fn in_force(&self) -> Vec<LimitInForce> {
        let named = self.0.state.borrow().table.in_force(now());
        let mut in_force: BTreeMap<UpstreamKey, LimitInForce> =
            named.into_iter().map(|one| (one.upstream, one)).collect();
        for cold in self.0.parts.cold_upstreams.cold() {
            let cold = LimitInForce {
                upstream: cold.upstream,
                limit: cold.rate,
                age: cold.age,
            };
            let named = in_force.get(&cold.upstream);
            if named.is_none_or(|named| cold.limit < named.limit) {
                in_force.insert(cold.upstream, cold);
            }
        }
        in_force.into_values().collect()
    }

    /// What this daemon knows of an upstream's limit, for another daemon.
    pub(super) fn observation(&self, upstream: UpstreamKey) -> LimitObservation {
        let observation = self.0.state.borrow().table.observation(upstream, now());
        // So old that it says nothing.
        observation.unwrap_or(LimitObservation {
            upstream,
            limit: None,
            age_ms: u32::MAX,
        })
    }

    /// Whether an upstream is cold, for another daemon.
    pub(super) fn cold_observation(&self, upstream: UpstreamKey) -> Option<ColdObservation> {
        self.0.parts.cold_upstreams.observation(upstream)
    }

    /// What this daemon knows of all limits in force, for a daemon that has just started or was
    /// unreachable.
    pub(crate) fn snapshot(&self) -> Vec<LoadUpdate> {
        let now = now();
        let state = self.0.state.borrow();
        let in_force = state.table.in_force(now).into_iter();
        let observations = in_force.filter_map(|one| state.table.observation(one.upstream, now));
        let cold = self.0.parts.cold_upstreams.observations().into_iter();
        let named = observations.map(LoadUpdate::RateLimit);
        named.chain(cold.map(LoadUpdate::Cold)).collect()
    }

    /// Records that a request is sent to an upstream, by what decision.
    pub(crate) fn record_send(&self, upstream: &Upstream, cause: &str, decision: &'static str) {
        let (key, now) = (key_of(upstream), now());
        let Some(limit) = self.limit(key) else {
            return;
        };
        let age_ms = self.limit_age_ms(key);
        let state = &mut *self.0.state.borrow_mut();
        let sent = state.sent.entry(key).or_default();
        sent.push_back(now);
        while sent
            .front()
            .is_some_and(|at| now.saturating_sub(*at) > SEND_WINDOW)
        {
            sent.pop_front();
        }
        trace::rate_limited_send(cause, upstream, limit, age_ms, sent.len(), decision);
        self.0.parts.metrics.rate_limited_send(decision);
    }

    /// Tells the other daemons again what this one has observed since any of them told it.
    pub(super) fn broadcast_repeats(&self) {
        let repeats = self.0.state.borrow_mut().table.take_repeats(now());
        for observation in repeats {
            self.broadcast(observation);
        }
        for observation in self.0.parts.cold_upstreams.take_repeats() {
            self.tell(LoadUpdate::Cold(observation));
        }
    }

    /// Time since the limit of an upstream was last observed, in milliseconds.
    fn limit_age_ms(&self, upstream: UpstreamKey) -> u32 {
        let named = self.0.state.borrow().table.observation(upstream, now());
        let named = named.filter(|one| one.limit.is_some());
        let age_ms = named.map(|one| one.age_ms);
        let cold_age_ms = || self.cold_observation(upstream).map(|one| one.age_ms);
        age_ms.or_else(cold_age_ms).unwrap_or_default()
    }

    fn broadcast(&self, observation: LimitObservation) {
        self.tell(LoadUpdate::RateLimit(observation));
    }

    fn tell(&self, update: LoadUpdate) {
        // Without a receiver there are no other daemons to inform.
        let _ = self.0.parts.updates.unbounded_send(update);
    }

    fn log_change(&self, key: UpstreamKey, change: &LimitChange, age: Duration) {
        if let Some(upstream) = self.0.parts.upstreams.registration(key) {
            trace::rate_limit_changed(&upstream, change, LimitSource::Daemon, age);
        }
    }
}
