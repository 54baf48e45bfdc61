//! The upstreams that are cold, by what is published, answered and told.
//!
//! `mangofront-limits` decides what follows from each statement. This module brings it the
//! registrations in force, lets the choice of upstreams know, and logs what has changed; what
//! answers and other daemons say comes from [`crate::rate_limits`], which also keeps the rates.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use mangofront_engines::{UpstreamKey, Upstreams, key_of};
use mangofront_limits::{
    ColdChange, ColdObservation, ColdUpstream, Moment, RateLimit, WarmUpTerms, WarmUps,
};
use mangofront_routes::{Upstream, WarmUp};

use crate::rate_limits::now;
use crate::trace;

/// How this daemon learned that an upstream is cold or warm.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ColdSource {
    /// Its registration, or the lack of a statement there.
    Registration,
    /// An answer that it received.
    Answer,
    /// Another daemon told it.
    Daemon,
}

impl ColdSource {
    /// Name in logs; it must not change.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Registration => "registration",
            Self::Answer => "answer",
            Self::Daemon => "daemon",
        }
    }
}

/// The upstreams that are cold; clones share their state.
#[derive(Debug, Clone)]
pub struct ColdUpstreams(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    upstreams: Upstreams,
    warm_ups: RefCell<WarmUps>,
}

impl ColdUpstreams {
    pub(crate) fn new(upstreams: Upstreams) -> Self {
        Self(Rc::new(Shared {
            upstreams,
            warm_ups: RefCell::default(),
        }))
    }

    /// Applies a registration that has been known for `age`, of a service that publishes `terms`.
    pub(crate) fn register(&self, upstream: &Upstream, terms: Option<WarmUp>, age: Duration) {
        let key = key_of(upstream);
        let published = terms.and_then(|terms| {
            Some(WarmUpTerms {
                duration: terms.duration,
                rate: RateLimit::new(terms.requests_per_s)?,
            })
        });
        let Some(published) = published else {
            if terms.is_some() {
                trace::warm_up_invalid(upstream);
            }
            self.0.warm_ups.borrow_mut().remove(key);
            self.0.upstreams.set_cold(key, Duration::ZERO);
            return;
        };
        let now = now();
        let as_of = now.saturating_sub(age);
        let change =
            self.0
                .warm_ups
                .borrow_mut()
                .register(key, published, upstream.cold_left, as_of, now);
        self.publish(key, change, ColdSource::Registration, now);
    }

    /// Records what the answer to a call that was sent at `sent_at` says; returns what to tell the
    /// other daemons, if it is new.
    pub(crate) fn observe(
        &self,
        upstream: UpstreamKey,
        left: Duration,
        sent_at: Moment,
    ) -> Option<ColdObservation> {
        let now = now();
        let warm_ups = &self.0.warm_ups;
        let change = warm_ups.borrow_mut().observe(upstream, left, sent_at, now);
        self.publish(upstream, change, ColdSource::Answer, now);
        change?;
        warm_ups.borrow_mut().mark_told(upstream, now);
        self.observation(upstream)
    }

    /// Applies what another daemon told all others.
    pub(crate) fn merge_told(&self, observation: &ColdObservation) {
        let now = now();
        let change = self.0.warm_ups.borrow_mut().merge_told(observation, now);
        self.publish(observation.upstream, change, ColdSource::Daemon, now);
    }

    /// Applies what another daemon knows.
    pub(crate) fn merge(&self, observation: &ColdObservation) {
        let now = now();
        let change = self.0.warm_ups.borrow_mut().merge(observation, now);
        self.publish(observation.upstream, change, ColdSource::Daemon, now);
    }

    /// What is known of an upstream, for another daemon.
    pub(crate) fn observation(&self, upstream: UpstreamKey) -> Option<ColdObservation> {
        self.0.warm_ups.borrow().observation(upstream, now())
    }

    /// What is known of all upstreams, for a daemon that has just started.
    pub(crate) fn observations(&self) -> Vec<ColdObservation> {
        self.0.warm_ups.borrow().observations(now())
    }

    /// What to tell the other daemons.
    pub(crate) fn take_repeats(&self) -> Vec<ColdObservation> {
        self.0.warm_ups.borrow_mut().take_repeats(now())
    }

    /// Rate of an upstream that is cold.
    pub(crate) fn limit(&self, upstream: UpstreamKey) -> Option<RateLimit> {
        self.0.warm_ups.borrow().limit(upstream, now())
    }

    /// The upstreams that are cold.
    pub(crate) fn cold(&self) -> Vec<ColdUpstream> {
        self.0.warm_ups.borrow().cold(now())
    }

    /// Forgets upstreams that are gone.
    pub(crate) fn forget_unused(&self) {
        let upstreams = &self.0.upstreams;
        let is_known = |key| upstreams.is_known(key);
        self.0.warm_ups.borrow_mut().retain(is_known, now());
    }

    fn publish(
        &self,
        upstream: UpstreamKey,
        change: Option<ColdChange>,
        source: ColdSource,
        now: Moment,
    ) {
        let known = self.0.warm_ups.borrow().observation(upstream, now);
        let left_ms = known.map_or(0, |known| known.left_ms);
        let left = Duration::from_millis(u64::from(left_ms));
        self.0.upstreams.set_cold(upstream, left);
        if let Some(change) = change {
            let id = self.0.upstreams.id_of(upstream).unwrap_or_default();
            trace::upstream_cold_changed(&id, &change, source);
        }
    }
}
