//! Permits for requests to upstreams with a limit.

use std::cell::Cell;
use std::time::Duration;

use futures_channel::oneshot;
use mangofront_dissemination::Origin;
use mangofront_engines::{UpstreamKey, key_of};
use mangofront_limits::{
    Access, ColdObservation, LimitObservation, Moment, Permit, PermitDecision, PermitRequest,
    RateLimit,
};
use mangofront_routes::Upstream;

use super::{LimitMessage, RateLimits, now};
use crate::datagram::Nonce;
use crate::trace;

/// Time for a coordinator to reply: a round trip between regions, and a scheduling delay on a
/// busy CPU.
const REPLY_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which a coordinator that did not reply is asked again.
const NO_REPLY_PAUSE: Duration = Duration::from_millis(500);

/// When a caller may return whose request no coordinator decided on.
const NO_REPLY_RETURN: Duration = Duration::from_secs(1);

/// Time until a daemon that is not the coordinator is asked again: until the views of
/// membership agree.
const NOT_COORDINATOR_PAUSE: Duration = Duration::from_millis(200);

/// Decision on a request that has a permit.
const DECISION_PERMITTED: &str = "permitted";

/// Decision on a request that the coordinator can't grant in time.
const DECISION_REFUSED: &str = "refused";

/// Decision on a request whose coordinator did not reply.
const DECISION_UNANSWERED: &str = "unanswered";

/// Decision on a call that is sent without a permit and counted afterwards.
const DECISION_CHARGED: &str = "charged";

/// Decision on a request whose coordinator holds no shares yet.
const DECISION_NOT_READY: &str = "not_ready";

/// Questions for one permit while the coordinator holds no shares.
const MAX_QUESTIONS: usize = 4;

/// How long a request may wait for its permits, and its rank among those that wait.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SlotWait {
    pub(crate) max_wait: Duration,
    pub(crate) rank: u8,
}

/// Permits of one attempt; unused ones can be used by another request when this is dropped.
#[derive(Debug)]
pub(crate) struct SendPermits {
    limits: RateLimits,
    permits: Vec<Permit>,
    is_spent: Cell<bool>,
}

impl SendPermits {
    /// Whether the attempt may be sent now to these upstreams.
    pub(crate) fn allow(&self, upstreams: &[UpstreamKey]) -> bool {
        let now = now();
        upstreams.iter().all(|key| {
            let limit = self.limits.limit(*key);
            let mut own = self.permits.iter().filter(|permit| permit.upstream == *key);
            limit.is_none() || own.any(|permit| permit.is_usable(limit, now))
        })
    }

    /// Time until all permits may be used.
    pub(crate) fn wait(&self) -> Duration {
        let now = now();
        let waits = self.permits.iter().map(|permit| permit.wait(now));
        waits.max().unwrap_or_default()
    }

    /// Uses the permits up, as the attempt is sent to `upstreams`.
    pub(crate) fn spend(&self, upstreams: &[Upstream], cause: &str) {
        if self.is_spent.replace(true) {
            return;
        }
        for upstream in upstreams {
            self.limits.record_send(upstream, cause, DECISION_PERMITTED);
        }
    }
}

impl Drop for SendPermits {
    fn drop(&mut self) {
        if self.is_spent.get() {
            return;
        }
        let state = &mut *self.limits.0.state.borrow_mut();
        for permit in self.permits.drain(..) {
            state.permits.give_back(permit, now());
        }
    }
}

/// Why no permit was granted.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NotPermitted {
    /// When the caller may return.
    pub(crate) returns: Duration,
}

impl RateLimits {
    /// Upstreams that may not be sent requests for now, each until the given moment.
    pub(crate) fn withheld(&self) -> Vec<(UpstreamKey, Moment)> {
        if !self.has_limits() {
            return Vec::new();
        }
        let (in_force, now) = (self.in_force().into_iter(), now());
        let state = self.0.state.borrow();
        let withheld = |upstream, limit| match state.permits.access(upstream, Some(limit), now) {
            Access::Withheld(until) => Some((upstream, until)),
            Access::Unlimited | Access::Permitted | Access::Unknown => None,
        };
        in_force
            .filter_map(|one| withheld(one.upstream, one.limit))
            .collect()
    }

    /// Whether any limit is in force.
    pub(crate) fn has_limits(&self) -> bool {
        let has_named = self.0.state.borrow().table.has_limits();
        has_named || !self.0.parts.cold_upstreams.cold().is_empty()
    }

    /// Obtains a permit for each of `upstreams` that has a limit.
    pub(crate) async fn acquire(
        &self,
        upstreams: &[Upstream],
        wait: SlotWait,
        cause: &str,
    ) -> Result<SendPermits, NotPermitted> {
        let mut permits = SendPermits {
            limits: self.clone(),
            permits: Vec::new(),
            is_spent: Cell::new(false),
        };
        for upstream in upstreams {
            let Some(limit) = self.limit(key_of(upstream)) else {
                continue;
            };
            let permit = self.obtain(upstream, limit, wait, cause).await?;
            permits.permits.extend(permit);
        }
        Ok(permits)
    }

    /// Obtains a permit; `None` if the limit has ended meanwhile.
    async fn obtain(
        &self,
        upstream: &Upstream,
        limit: RateLimit,
        wait: SlotWait,
        cause: &str,
    ) -> Result<Option<Permit>, NotPermitted> {
        let key = key_of(upstream);
        {
            let permits = &mut self.0.state.borrow_mut().permits;
            if let Some(permit) = permits.take(key, Some(limit), now()) {
                return Ok(Some(permit));
            }
        }
        let request = PermitRequest {
            upstream: key,
            max_wait: wait.max_wait,
            rank: wait.rank,
        };
        let (asked_at, decision) = self.ask_until_ready(upstream, &request).await;
        let metrics = &self.0.parts.metrics;
        let (pause, returns) = match decision {
            Some(PermitDecision::Granted { delay }) => {
                // The reply may have told of another limit.
                let limit = self.limit(key);
                let state = self.0.state.borrow();
                let granted = |limit| state.permits.granted(key, limit, asked_at, delay);
                return Ok(limit.map(granted));
            }
            Some(PermitDecision::Refused { earliest, returns }) => {
                if self.limit(key).is_none() {
                    return Ok(None);
                }
                metrics.rate_limited_send(DECISION_REFUSED);
                (earliest, returns)
            }
            Some(PermitDecision::NotReady { pause }) => {
                metrics.rate_limited_send(DECISION_NOT_READY);
                (pause, NO_REPLY_RETURN)
            }
            None if self.limit(key).is_none() => return Ok(None),
            None => {
                metrics.rate_limited_send(DECISION_UNANSWERED);
                trace::permit_not_decided(cause, upstream);
                (NO_REPLY_PAUSE, NO_REPLY_RETURN)
            }
        };
        let permits = &mut self.0.state.borrow_mut().permits;
        permits.withhold(key, now().saturating_add(pause));
        Err(NotPermitted { returns })
    }

    /// Asks the coordinator of an upstream, again if it holds no shares yet and the request can
    /// wait; returns when it was asked last, and no decision if it does not reply.
    async fn ask_until_ready(
        &self,
        upstream: &Upstream,
        request: &PermitRequest,
    ) -> (Moment, Option<PermitDecision>) {
        for _ in 1..MAX_QUESTIONS {
            let asked_at = now();
            match self.ask(upstream, request).await {
                Some(PermitDecision::NotReady { pause }) if pause <= request.max_wait => {
                    compio::time::sleep(pause).await;
                }
                decision => return (asked_at, decision),
            }
        }
        (now(), self.ask(upstream, request).await)
    }

    /// Asks the coordinator of an upstream; `None` if it does not reply.
    async fn ask(&self, upstream: &Upstream, request: &PermitRequest) -> Option<PermitDecision> {
        let group = &upstream.availability_zone;
        let coordinator = self.coordinators().of(group)?;
        if coordinator.instance == self.0.parts.instance {
            return Some(self.decide(group, request));
        }
        let nonce = self.next_nonce();
        let (sender, decided) = oneshot::channel();
        {
            let pending = &mut self.0.state.borrow_mut().permit_requests;
            pending.retain(|_, sender| !sender.is_canceled());
            pending.insert(nonce, sender);
        }
        let message = LimitMessage::AskPermit {
            nonce,
            group: group.clone(),
            request: *request,
            observation: self.observation(request.upstream),
            cold: self.cold_observation(request.upstream),
        };
        self.send(vec![coordinator.ip], message);
        let decided = compio::time::timeout(REPLY_TIMEOUT, decided).await;
        decided.ok()?.ok()
    }

    /// Decides on a request as the coordinator of its group.
    fn decide(&self, group: &str, request: &PermitRequest) -> PermitDecision {
        let coordinator = self.coordinators().of(group);
        if coordinator.is_none_or(|daemon| daemon.instance != self.0.parts.instance) {
            return PermitDecision::Refused {
                earliest: NOT_COORDINATOR_PAUSE,
                returns: NO_REPLY_RETURN,
            };
        }
        self.ask_for_shares(group);
        let Some(limit) = self.limit(request.upstream) else {
            let delay = Duration::ZERO;
            return PermitDecision::Granted { delay };
        };
        let Some(fleet) = self.0.parts.fleet.size() else {
            return PermitDecision::not_ready();
        };
        let state = &mut *self.0.state.borrow_mut();
        state
            .coordinator
            .decide(group, request, limit, fleet, now())
    }

    /// Counts a call that is sent to an upstream without a permit.
    pub(crate) fn charge(&self, upstream: &Upstream, cause: &str) {
        let key = key_of(upstream);
        if self.limit(key).is_none() {
            return;
        }
        self.record_send(upstream, cause, DECISION_CHARGED);
        let group = upstream.availability_zone.clone();
        match self.coordinators().of(&group) {
            Some(one) if one.instance == self.0.parts.instance => {
                self.count_charge(&group, key);
            }
            Some(one) => {
                let message = LimitMessage::Charge {
                    group,
                    observation: self.observation(key),
                    cold: self.cold_observation(key),
                };
                self.send(vec![one.ip], message);
            }
            None => {}
        }
    }

    fn count_charge(&self, group: &str, upstream: UpstreamKey) {
        // While the size of the fleet is not known nothing is granted that would have to be less.
        if let (Some(limit), Some(fleet)) = (self.limit(upstream), self.0.parts.fleet.size()) {
            let coordinator = &mut self.0.state.borrow_mut().coordinator;
            coordinator.charge(group, upstream, limit, fleet, now());
        }
    }

    /// Handles a message of another daemon.
    pub(crate) fn handle(&self, sender: &Origin, message: LimitMessage) {
        match message {
            LimitMessage::AskShare {
                nonce,
                group,
                fleet,
            } => self.handle_share_question(sender, nonce, &group, fleet),
            LimitMessage::LendShare { nonce, fleet } => {
                self.handle_lent_share(sender, nonce, fleet);
            }
            LimitMessage::ReturnShare { group } => self.handle_returned_share(sender, &group),
            LimitMessage::AskPermit {
                nonce,
                group,
                request,
                observation,
                cold,
            } => {
                self.merge_known(&observation, cold.as_ref());
                let decision = self.decide(&group, &request);
                self.reply(sender, nonce, decision, request.upstream);
            }
            LimitMessage::Decided {
                nonce,
                decision,
                observation,
                cold,
            } => {
                self.merge_known(&observation, cold.as_ref());
                let pending = self.0.state.borrow_mut().permit_requests.remove(&nonce);
                if let Some(pending) = pending {
                    // The request may have timed out.
                    let _ = pending.send(decision);
                }
            }
            LimitMessage::Charge {
                group,
                observation,
                cold,
            } => {
                self.merge_known(&observation, cold.as_ref());
                self.count_charge(&group, observation.upstream);
            }
        }
    }

    fn merge_known(&self, observation: &LimitObservation, cold: Option<&ColdObservation>) {
        self.merge(observation);
        if let Some(cold) = cold {
            self.merge_cold(cold);
        }
    }

    fn reply(
        &self,
        sender: &Origin,
        nonce: Nonce,
        decision: PermitDecision,
        upstream: UpstreamKey,
    ) {
        let message = LimitMessage::Decided {
            nonce,
            decision,
            observation: self.observation(upstream),
            cold: self.cold_observation(upstream),
        };
        self.send(vec![sender.address], message);
    }
}
