//! The permits that a daemon was granted and has not used.

use std::collections::HashMap;
use std::time::Duration;

use crate::rate::RateLimit;
use crate::{LimitOptions, Moment, UpstreamKey};

/// Permission to send one request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Permit {
    /// The upstream.
    pub upstream: UpstreamKey,
    from: Moment,
    until: Moment,
    /// The limit by which it was granted.
    limit: RateLimit,
}

impl Permit {
    /// Whether it may be used, while `limit` is in force.
    #[must_use]
    pub fn is_usable(&self, limit: Option<RateLimit>, now: Moment) -> bool {
        // A lower limit is a statement about all requests that follow.
        let is_granted = limit.is_none_or(|limit| limit >= self.limit);
        is_granted && self.from <= now && now < self.until
    }

    /// Time until it may be used.
    #[must_use]
    pub fn wait(&self, now: Moment) -> Duration {
        self.from.saturating_sub(now)
    }
}

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Access {
    /// It has no limit.
    Unlimited,
    /// A permit is held.
    Permitted,
    /// A permit may be had from the coordinator.
    Unknown,
    /// The coordinator grants none before this moment.
    Withheld(Moment),
}

/// Permits held, and upstreams for which none can be had for now.
#[derive(Debug)]
pub struct Permits {
    options: LimitOptions,
    held: HashMap<UpstreamKey, Vec<Permit>>,
    withheld: HashMap<UpstreamKey, Moment>,
}

impl Permits {
    /// Holds no permits.
    #[must_use]
    pub fn new(options: LimitOptions) -> Self {
        Self {
            options,
            held: HashMap::new(),
            withheld: HashMap::new(),
        }
    }

    /// The permit that was granted with `delay` when it was asked for at `asked_at`.
    #[must_use]
    pub fn granted(
        &self,
        upstream: UpstreamKey,
        limit: RateLimit,
        asked_at: Moment,
        delay: Duration,
    ) -> Permit {
        let from = asked_at.saturating_add(delay);
        Permit {
            upstream,
            from,
            until: from.saturating_add(self.options.permit_lifetime),
            limit,
        }
    }

    /// Records that no permit can be had for an upstream before `until`.
    pub fn withhold(&mut self, upstream: UpstreamKey, until: Moment) {
        self.withheld.insert(upstream, until);
    }

    /// Whether a request may be sent to an upstream with `limit`.
    #[must_use]
    pub fn access(&self, upstream: UpstreamKey, limit: Option<RateLimit>, now: Moment) -> Access {
        if limit.is_none() {
            return Access::Unlimited;
        }
        let mut held = self.held.get(&upstream).into_iter().flatten();
        if held.any(|permit| permit.is_usable(limit, now)) {
            return Access::Permitted;
        }
        match self.withheld.get(&upstream) {
            Some(until) if now < *until => Access::Withheld(*until),
            _ => Access::Unknown,
        }
    }

    /// Takes a permit that may be used now.
    pub fn take(
        &mut self,
        upstream: UpstreamKey,
        limit: Option<RateLimit>,
        now: Moment,
    ) -> Option<Permit> {
        let held = self.held.get_mut(&upstream)?;
        held.retain(|permit| now < permit.until);
        let index = held
            .iter()
            .position(|permit| permit.is_usable(limit, now))?;
        Some(held.swap_remove(index))
    }

    /// Returns a permit under which nothing was sent.
    pub fn give_back(&mut self, permit: Permit, now: Moment) {
        if now < permit.until {
            self.held.entry(permit.upstream).or_default().push(permit);
        }
    }

    /// Forgets upstreams that have no limit, and what has expired.
    pub fn retain(&mut self, is_limited: impl Fn(UpstreamKey) -> bool, now: Moment) {
        self.held.retain(|key, held| {
            held.retain(|permit| now < permit.until);
            is_limited(*key) && !held.is_empty()
        });
        self.withheld
            .retain(|key, until| is_limited(*key) && now < *until);
    }
}
