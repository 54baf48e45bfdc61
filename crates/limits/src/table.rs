//! The rate limits in force, as far as this daemon knows.
//!
//! Answers overtake each other, and what other daemons saw arrives late, twice or out of
//! order. Each observation therefore carries a moment. An answer that names a limit proves
//! that the limit was in force some time before the answer arrived. An answer without one
//! proves that there was none some time after its request was sent. A limit ends only if that
//! is provably later than the last time it was named; where the order can't be told, the lower
//! value stays in force. So a table has the same content whatever the order of arrival.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rate::RateLimit;
use crate::{Moment, UpstreamKey};

/// Time by which an observation of another daemon may arrive late without its age showing it.
const DELIVERY_ALLOWANCE: Duration = Duration::from_millis(200);

/// Time after which a limit that is still observed is told to the other daemons again.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// Largest number of observations that are repeated at once.
const REPEAT_LIMIT: usize = 64;

/// Time after which a limit that was neither named nor ended is forgotten: no request has been
/// sent there, and the first one will be told the limit again.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// What a daemon tells the others about the limit of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct LimitObservation {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its limit; `None` if it has none any more.
    pub limit: Option<RateLimit>,
    /// Time since that was observed, in milliseconds.
    pub age_ms: u32,
}

/// Change of the limit in force of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitChange {
    /// The limit before; `None` if there was none.
    pub before: Option<RateLimit>,
    /// The limit now; `None` if there is none.
    pub now: Option<RateLimit>,
}

/// A limit in force.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct LimitInForce {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Its limit.
    pub limit: RateLimit,
    /// Time since it was last observed, here or elsewhere.
    pub age: Duration,
}

/// What is known of one upstream.
#[derive(Debug, Clone, Copy)]
struct Known {
    limit: Option<RateLimit>,
    /// When it was last observed, by any daemon.
    as_of: Moment,
    /// Whether this daemon observed it itself since it was last told to the others.
    has_own_evidence: bool,
    /// When any daemon last told the others.
    told_at: Moment,
}

/// Where an observation comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    Own,
    Told,
}

/// The limits in force.
#[derive(Debug, Default)]
pub struct LimitTable {
    known: HashMap<UpstreamKey, Known>,
}

impl LimitTable {
    /// Records an answer that names a limit; its request was sent at `sent_at`.
    pub fn observe_limit(
        &mut self,
        upstream: UpstreamKey,
        limit: RateLimit,
        sent_at: Moment,
        now: Moment,
    ) -> Option<LimitChange> {
        let Some(known) = self.known.get_mut(&upstream) else {
            return self.insert(upstream, limit, now, Evidence::Own, now);
        };
        let (before, is_later) = (known.limit, sent_at >= known.as_of);
        known.limit = match before {
            Some(before) if !is_later => Some(before.min(limit)),
            _ => Some(limit),
        };
        // A higher value that may be older than the one in force proves nothing of it.
        if known.limit == Some(limit) {
            known.as_of = known.as_of.max(now);
            known.has_own_evidence = true;
        }
        change(before, known.limit)
    }

    /// Records an answer that names no limit; its request was sent at `sent_at`.
    pub fn observe_none(&mut self, upstream: UpstreamKey, sent_at: Moment) -> Option<LimitChange> {
        let known = self.known.get_mut(&upstream)?;
        if sent_at < known.as_of {
            return None;
        }
        let before = known.limit.take();
        known.as_of = sent_at;
        known.has_own_evidence = true;
        change(before, None)
    }

    /// Merges what another daemon observed.
    pub fn merge(&mut self, observation: &LimitObservation, now: Moment) -> Option<LimitChange> {
        let age = Duration::from_millis(u64::from(observation.age_ms));
        let as_of = now.saturating_sub(age);
        let Some(known) = self.known.get_mut(&observation.upstream) else {
            let limit = observation.limit?;
            return self.insert(observation.upstream, limit, as_of, Evidence::Told, now);
        };
        let before = known.limit;
        if observation.limit == before {
            known.as_of = known.as_of.max(as_of);
            known.told_at = now;
            return None;
        }
        let is_later = as_of >= known.as_of + DELIVERY_ALLOWANCE;
        let is_lower = match (observation.limit, before) {
            (Some(limit), Some(before)) => {
                limit < before && as_of + DELIVERY_ALLOWANCE >= known.as_of
            }
            // A limit wins over its end unless the end is provably later.
            (Some(_), None) => as_of >= known.as_of,
            (None, _) => false,
        };
        if !is_later && !is_lower {
            return None;
        }
        known.limit = observation.limit;
        known.as_of = match observation.limit {
            Some(_) => known.as_of.max(as_of),
            // The end must not outrank a limit that was named while this was on its way.
            None => as_of.saturating_sub(DELIVERY_ALLOWANCE),
        };
        known.has_own_evidence = false;
        known.told_at = now;
        change(before, known.limit)
    }

    /// The limit in force of an upstream.
    #[must_use]
    pub fn limit(&self, upstream: UpstreamKey) -> Option<RateLimit> {
        self.known.get(&upstream)?.limit
    }

    /// What is known of an upstream, for another daemon.
    #[must_use]
    pub fn observation(&self, upstream: UpstreamKey, now: Moment) -> Option<LimitObservation> {
        let known = self.known.get(&upstream)?;
        Some(observation(upstream, known, now))
    }

    /// Marks what is known of an upstream as told to the others.
    pub fn mark_told(&mut self, upstream: UpstreamKey, now: Moment) {
        if let Some(known) = self.known.get_mut(&upstream) {
            known.told_at = now;
            known.has_own_evidence = false;
        }
    }

    /// What to tell the other daemons again: what this daemon has observed since any of them
    /// last told it.
    pub fn take_repeats(&mut self, now: Moment) -> Vec<LimitObservation> {
        let is_due = |known: &Known| {
            known.has_own_evidence && now.saturating_sub(known.told_at) >= REPEAT_PERIOD
        };
        let mut due: Vec<(Moment, UpstreamKey)> = self
            .known
            .iter()
            .filter(|(_, known)| is_due(known))
            .map(|(key, known)| (known.told_at, *key))
            .collect();
        due.sort_unstable();
        due.truncate(REPEAT_LIMIT);
        let keys: Vec<UpstreamKey> = due.into_iter().map(|(_, key)| key).collect();
        let told = keys.iter().filter_map(|key| self.observation(*key, now));
        let told = told.collect();
        for key in keys {
            self.mark_told(key, now);
        }
        told
    }

    /// All limits in force.
    #[must_use]
    pub fn in_force(&self, now: Moment) -> Vec<LimitInForce> {
        let in_force = |(upstream, known): (&UpstreamKey, &Known)| {
            Some(LimitInForce {
                upstream: *upstream,
                limit: known.limit?,
                age: now.saturating_sub(known.as_of),
            })
        };
        let mut limits: Vec<LimitInForce> = self.known.iter().filter_map(in_force).collect();
        limits.sort_unstable_by_key(|one| one.upstream);
        limits
    }

    /// Whether any limit is in force.
    #[must_use]
    pub fn has_limits(&self) -> bool {
        self.known.values().any(|known| known.limit.is_some())
    }

    /// Forgets upstreams that are gone, and limits of which nothing was heard for long.
    pub fn retain(&mut self, is_known: impl Fn(UpstreamKey) -> bool, now: Moment) {
        self.known
            .retain(|key, known| is_known(*key) && now.saturating_sub(known.as_of) < FORGET_AFTER);
    }

    fn insert(
        &mut self,
        upstream: UpstreamKey,
        limit: RateLimit,
        as_of: Moment,
        evidence: Evidence,
        now: Moment,
    ) -> Option<LimitChange> {
        let known = Known {
            limit: Some(limit),
            as_of,
            has_own_evidence: evidence == Evidence::Own,
            told_at: now,
        };
        self.known.insert(upstream, known);
        change(None, Some(limit))
    }
}

fn observation(upstream: UpstreamKey, known: &Known, now: Moment) -> LimitObservation {
    let age = now.saturating_sub(known.as_of).as_millis();
    LimitObservation {
        upstream,
        limit: known.limit,
        age_ms: u32::try_from(age).unwrap_or(u32::MAX),
    }
}

fn change(before: Option<RateLimit>, now: Option<RateLimit>) -> Option<LimitChange> {
    (before != now).then_some(LimitChange { before, now })
}
