//! Which upstreams are cold, until when, and how many requests they take meanwhile.
//!
//! Every statement is about the moment at which it was made, and arrives later. Its delay moves the
//! end that is computed from it back, never forward, so a statement that is provably later replaces
//! an earlier one. Where the order can't be told, the later end stays in force: a request too few
//! costs a wait, a request too many may crash the upstream.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rate::RateLimit;
use crate::{Moment, UpstreamKey};

/// Time by which another daemon's observation may arrive late without its age showing it.
const DELIVERY_ALLOWANCE: Duration = Duration::from_millis(200);

/// Time for which an upstream that is no longer registered is remembered.
const FORGET_AFTER: Duration = Duration::from_secs(600);

/// Change of an end that is reported.
const REPORTED_CHANGE: Duration = Duration::from_millis(500);

/// Time after which a cold upstream that still says so is told to the other daemons again.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// Times for which what a registration has changed is told: the messages may be lost.
const NEWS_TELLINGS: u8 = 3;

/// The warm-up that a service publishes.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmUpTerms {
    /// Longest time for which an upstream is cold.
    pub duration: Duration,
    /// Requests that a cold upstream takes.
    pub rate: RateLimit,
}

/// What tells that an upstream is cold or warm, the least reliable first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ColdEvidence {
    /// Nothing was said of it.
    Assumed,
    /// Its registration, which may have been written long before it was read.
    Registration,
    /// An answer.
    Answer,
}

/// What a daemon tells the others about a cold upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ColdObservation {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests that it takes while it is cold.
    pub rate: RateLimit,
    /// Time for which it stays cold; 0 if it is warm.
    pub left_ms: u32,
    /// Time since the statement was made, in milliseconds.
    pub age_ms: u32,
    /// Kind of the statement.
    pub evidence: ColdEvidence,
}

/// Change of what is known of an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdChange {
    /// Time for which it stays cold; zero if it is warm.
    pub left: Duration,
    /// Requests that it takes meanwhile.
    pub rate: RateLimit,
    /// Kind of the statement.
    pub evidence: ColdEvidence,
    /// The time that was stated, if it is too long to be kept and none was before.
    pub bounded_from: Option<Duration>,
}

/// A cold upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ColdUpstream {
    /// The upstream.
    pub upstream: UpstreamKey,
    /// Requests that it takes.
    pub rate: RateLimit,
    /// Time for which it stays cold.
    pub left: Duration,
    /// Time since that was stated.
    pub age: Duration,
}

#[derive(Debug, Clone, Copy)]
struct Known {
    rate: RateLimit,
    /// Longest time for which it may be cold; not known of upstreams that are not registered here.
    longest: Option<Duration>,
    until: Moment,
    as_of: Moment,
    evidence: ColdEvidence,
    /// Whether a time that is too long was reported.
    has_reported_bound: bool,
    /// Whether an answer said it here since any daemon last told the others.
    has_own_evidence: bool,
    /// Times for which to tell the others what a registration has changed.
    news_left: u8,
    /// When any daemon last told the others.
    told_at: Moment,
}

#[derive(Debug, Clone, Copy)]
struct Statement {
    /// Time for which the upstream stays cold after `made_at`.
    left: Duration,
    /// When it was made, as far as the end of that time is concerned.
    made_at: Moment,
    /// When it may have been made first and last, as far as other statements are concerned.
    earliest: Moment,
    latest: Moment,
    evidence: ColdEvidence,
}

/// The upstreams of services with a warm-up.
#[derive(Debug, Default)]
pub struct WarmUps {
    known: HashMap<UpstreamKey, Known>,
}

impl WarmUps {
    /// Records a registration that was made at `as_of` and may say how much longer the upstream
    /// stays cold.
    pub fn register(
        &mut self,
        upstream: UpstreamKey,
        terms: WarmUpTerms,
        cold_left: Option<Duration>,
        as_of: Moment,
        now: Moment,
    ) -> Option<ColdChange> {
        let is_first = !self.known.contains_key(&upstream);
        let known = self.known.entry(upstream).or_insert(Known {
            until: as_of.saturating_add(terms.duration),
            ..Known::new(terms.rate, as_of, ColdEvidence::Assumed, now)
        });
        known.rate = terms.rate;
        known.longest = Some(terms.duration);
        let change = cold_left.and_then(|left| {
            let statement = Statement {
                left,
                made_at: as_of,
                earliest: as_of,
                latest: as_of,
                evidence: ColdEvidence::Registration,
            };
            known.apply(statement, now)
        });
        // Daemons that do not read registrations themselves hear of an upstream that is cold again
        // in no other way.
        if change.is_some() && !is_first && now < known.until {
            known.news_left = NEWS_TELLINGS;
        }
        match change {
            None if is_first && now < known.until => Some(known.change(now, None)),
            // It was not known as cold.
            Some(change) if is_first && change.left.is_zero() => None,
            change => change,
        }
    }

    /// Records an answer to a call that was sent at `sent_at`.
    pub fn observe(
        &mut self,
        upstream: UpstreamKey,
        left: Duration,
        sent_at: Moment,
        now: Moment,
    ) -> Option<ColdChange> {
        let statement = Statement {
            left,
            made_at: now,
            earliest: sent_at,
            latest: now,
            evidence: ColdEvidence::Answer,
        };
        let known = self.known.get_mut(&upstream)?;
        let change = known.apply(statement, now);
        known.has_own_evidence |= now < known.until && !left.is_zero();
        change
    }

    /// Merges what another daemon told all others.
    pub fn merge_told(&mut self, observation: &ColdObservation, now: Moment) -> Option<ColdChange> {
        if let Some(known) = self.known.get_mut(&observation.upstream)
            && (now < known.until) != (observation.left_ms == 0)
        {
            known.told_at = now;
            known.news_left = known.news_left.min(NEWS_TELLINGS - 1);
        }
        self.merge(observation, now)
    }

    /// Merges what another daemon knows.
    pub fn merge(&mut self, observation: &ColdObservation, now: Moment) -> Option<ColdChange> {
        let age = Duration::from_millis(u64::from(observation.age_ms));
        let left = Duration::from_millis(u64::from(observation.left_ms));
        let (as_of, evidence) = (now.saturating_sub(age), observation.evidence);
        let Some(known) = self.known.get_mut(&observation.upstream) else {
            let known = Known {
                until: now.saturating_add(left),
                ..Known::new(observation.rate, as_of, evidence, now)
            };
            self.known.insert(observation.upstream, known);
            return (!left.is_zero()).then_some(known.change(now, None));
        };
        let statement = Statement {
            left,
            made_at: now,
            earliest: as_of.saturating_sub(DELIVERY_ALLOWANCE),
            latest: as_of.saturating_add(DELIVERY_ALLOWANCE).min(now),
            evidence,
        };
        known.apply(statement, now)
    }

    /// What is known of an upstream, for another daemon.
    #[must_use]
    pub fn observation(&self, upstream: UpstreamKey, now: Moment) -> Option<ColdObservation> {
        let known = self.known.get(&upstream)?;
        Some(ColdObservation {
            upstream,
            rate: known.rate,
            left_ms: saturating_ms(known.until.saturating_sub(now)),
            age_ms: saturating_ms(now.saturating_sub(known.as_of)),
            evidence: known.evidence,
        })
    }

    /// What is known of all upstreams that are cold, or of which an answer told, for a daemon that
    /// has just started.
    #[must_use]
    pub fn observations(&self, now: Moment) -> Vec<ColdObservation> {
        let is_told = |(_, known): &(&UpstreamKey, &Known)| {
            now < known.until || known.evidence == ColdEvidence::Answer
        };
        let told = self.known.iter().filter(is_told);
        let mut told: Vec<ColdObservation> = told
            .filter_map(|(upstream, _)| self.observation(*upstream, now))
            .collect();
        told.sort_unstable_by_key(|one| one.upstream);
        told
    }

    /// Marks what is known of an upstream as told to the others.
    pub fn mark_told(&mut self, upstream: UpstreamKey, now: Moment) {
        if let Some(known) = self.known.get_mut(&upstream) {
            known.told_at = now;
            known.has_own_evidence = false;
            known.news_left = known.news_left.saturating_sub(1);
        }
    }

    /// What to tell the other daemons: upstreams that are cold by a registration of which they were
    /// not told often enough, and those that told this daemon so since any daemon told the others.
    pub fn take_repeats(&mut self, now: Moment) -> Vec<ColdObservation> {
        let is_due = |known: &Known| {
            let is_old = now.saturating_sub(known.told_at) >= REPEAT_PERIOD;
            let is_fresh_news = known.news_left == NEWS_TELLINGS;
            let has_more = known.has_own_evidence || known.news_left > 0;
            now < known.until && (is_fresh_news || has_more && is_old)
        };
        let due = self.known.iter().filter(|(_, known)| is_due(known));
        let mut due: Vec<UpstreamKey> = due.map(|(upstream, _)| *upstream).collect();
        due.sort_unstable();
        for upstream in &due {
            self.mark_told(*upstream, now);
        }
        due.into_iter()
            .filter_map(|upstream| self.observation(upstream, now))
            .collect()
    }

    /// Requests that an upstream takes, if it is cold.
    #[must_use]
    pub fn limit(&self, upstream: UpstreamKey, now: Moment) -> Option<RateLimit> {
        let known = self.known.get(&upstream)?;
        (now < known.until).then_some(known.rate)
    }

    /// The upstreams that are cold.
    #[must_use]
    pub fn cold(&self, now: Moment) -> Vec<ColdUpstream> {
        let is_cold = |(_, known): &(&UpstreamKey, &Known)| now < known.until;
        let cold = self.known.iter().filter(is_cold);
        let mut cold: Vec<ColdUpstream> = cold
            .map(|(upstream, known)| ColdUpstream {
                upstream: *upstream,
                rate: known.rate,
                left: known.until.saturating_sub(now),
                age: now.saturating_sub(known.as_of),
            })
            .collect();
        cold.sort_unstable_by_key(|one| one.upstream);
        cold
    }

    /// Forgets an upstream whose service publishes no warm-up.
    pub fn remove(&mut self, upstream: UpstreamKey) {
        self.known.remove(&upstream);
    }

    /// Forgets upstreams that are gone, once they are warm and nothing was heard of them for long.
    pub fn retain(&mut self, is_known: impl Fn(UpstreamKey) -> bool, now: Moment) {
        self.known.retain(|key, known| {
            is_known(*key)
                || now < known.until
                || now.saturating_sub(known.as_of.max(known.until)) < FORGET_AFTER
        });
    }
}

impl Known {
    fn new(rate: RateLimit, as_of: Moment, evidence: ColdEvidence, now: Moment) -> Self {
        Self {
            rate,
            longest: None,
            until: Moment::ZERO,
            as_of,
            evidence,
            has_reported_bound: false,
            has_own_evidence: false,
            news_left: 0,
            told_at: now,
        }
    }

    fn apply(&mut self, statement: Statement, now: Moment) -> Option<ColdChange> {
        let longest = self.longest.unwrap_or(Duration::MAX);
        let is_too_long = statement.left > longest;
        let bounded_from = (is_too_long && !self.has_reported_bound).then_some(statement.left);
        self.has_reported_bound |= is_too_long;
        let before = self.until;
        let until = statement
            .made_at
            .saturating_add(statement.left.min(longest));
        let lengthens = until > before;
        if !self.accepts(statement, lengthens) {
            return None;
        }
        self.until = until;
        // In doubt about the order, the later end is to stay in force.
        let as_of = match lengthens {
            true => statement.latest,
            false => statement.earliest,
        };
        self.as_of = self.as_of.max(as_of);
        self.evidence = statement.evidence;
        let is_changed = (now < before) != (now < until)
            || now < until && before.abs_diff(until) > REPORTED_CHANGE;
        (is_changed || bounded_from.is_some()).then_some(self.change(now, bounded_from))
    }

    fn accepts(&self, statement: Statement, lengthens: bool) -> bool {
        match (lengthens, statement.evidence) {
            // Another daemon that heard of the upstream later assumes a later end.
            (_, ColdEvidence::Assumed) => false,
            (true, ColdEvidence::Registration | ColdEvidence::Answer) => {
                statement.latest >= self.as_of
            }
            (false, evidence) => evidence >= self.evidence && statement.earliest >= self.as_of,
        }
    }

    fn change(&self, now: Moment, bounded_from: Option<Duration>) -> ColdChange {
        ColdChange {
            left: self.until.saturating_sub(now),
            rate: self.rate,
            evidence: self.evidence,
            bounded_from,
        }
    }
}

fn saturating_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
