//! Bounded memory of which claim holds which key.
//!
//! Invariant: an entry that names a claim keeps it until the claim's own process
//! releases it or the entry expires, and nothing is evicted for room. So of two
//! claims on a key that ask the same memory, at most one is ever granted within
//! the lifetime of an entry.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use crate::ids::ClaimId;
use crate::key::Fingerprint;
use crate::message::{Holding, SentEntry};
use crate::options::{duration_ms, expiry};
use crate::outcome::Record;

/// What a claim on a key came to.
#[derive(Debug)]
pub(crate) enum Vote {
    Granted,
    Held(Holding),
    Full,
}

#[derive(Debug)]
struct Entry {
    holding: Holding,
    expires: Instant,
}

/// Claims by key.
#[derive(Debug)]
pub(crate) struct Ballots<K> {
    entries: BTreeMap<K, Entry>,
    answers_bytes: usize,
    max_records: usize,
    max_answers_bytes: usize,
}

impl<K: Ord + Clone> Ballots<K> {
    pub(crate) fn new(max_records: usize, max_answers_bytes: usize) -> Self {
        Self {
            entries: BTreeMap::new(),
            answers_bytes: 0,
            max_records,
            max_answers_bytes,
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.entries.len()
    }

    pub(crate) fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    /// Who holds `key`, when anyone does.
    pub(crate) fn holding(&mut self, key: &K, now: Instant) -> Option<Holding> {
        self.forget_expired(key, now);
        self.entries.get(key).map(|entry| entry.holding.clone())
    }

    /// Grants `key` to `claim`, or tells who holds it.
    pub(crate) fn vote(
        &mut self,
        key: &K,
        fingerprint: Fingerprint,
        claim: &ClaimId,
        now: Instant,
        keep: Duration,
    ) -> Vote {
        if let Some(holding) = self.holding(key, now) {
            return if holding.is_only(claim) && holding.fingerprint == fingerprint {
                Vote::Granted
            } else {
                Vote::Held(holding)
            };
        }
        if self.entries.len() >= self.max_records {
            return Vote::Full;
        }
        let holding = Holding {
            fingerprint,
            holders: vec![claim.clone()],
            record: None,
        };
        let expires = expiry(now, keep);
        self.entries.insert(key.clone(), Entry { holding, expires });
        Vote::Granted
    }

    /// Drops `claim` from `key`, on its own process's word.
    pub(crate) fn release(&mut self, key: &K, claim: &ClaimId) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if entry.holding.record.is_some() {
            return;
        }
        entry.holding.holders.retain(|holder| holder != claim);
        if entry.holding.holders.is_empty() {
            self.entries.remove(key);
        }
    }

    /// Drops `claim` from `key`, but keeps the entry.
    pub(crate) fn disown(&mut self, key: &K, claim: &ClaimId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.holding.holders.retain(|holder| holder != claim);
        }
    }

    /// Keeps what a claim came to.
    pub(crate) fn settle(&mut self, key: &K, holding: Holding, now: Instant, keep: Duration) {
        let sent = SentEntry {
            holding,
            expires_in_ms: duration_ms(keep),
        };
        self.merge(key, sent, now);
    }

    /// Adds what another process remembers.
    pub(crate) fn merge(&mut self, key: &K, sent: SentEntry, now: Instant) {
        self.forget_expired(key, now);
        let expires = expiry(now, Duration::from_millis(sent.expires_in_ms));
        let mut holding = sent.holding;
        holding.record = holding.record.map(|record| self.fitting(record));
        if let Some(entry) = self.entries.get_mut(key) {
            entry.expires = entry.expires.max(expires);
            let gained = entry.holding.absorb(holding);
            self.answers_bytes += gained;
            return;
        }
        self.answers_bytes += holding.kept_bytes();
        self.entries.insert(key.clone(), Entry { holding, expires });
    }

    /// Entries after `after`, at most `count`, and whether there are more.
    pub(crate) fn page(
        &self,
        after: Option<&K>,
        count: usize,
        now: Instant,
    ) -> (Vec<(K, SentEntry)>, bool) {
        let start = after.map_or(Bound::Unbounded, Bound::Excluded);
        let mut rest = self.entries.range((start, Bound::Unbounded));
        let page = rest.by_ref().take(count);
        let page = page.map(|(key, entry)| (key.clone(), entry.sent(now)));
        (page.collect(), rest.next().is_some())
    }

    pub(crate) fn forget_all_expired(&mut self, now: Instant) {
        let answers_bytes = &mut self.answers_bytes;
        self.entries.retain(|_, entry| {
            let keep = entry.expires > now;
            if !keep {
                *answers_bytes -= entry.holding.kept_bytes();
            }
            keep
        });
    }

    fn forget_expired(&mut self, key: &K, now: Instant) {
        let expired = |entry: &Entry| entry.expires <= now;
        if self.entries.get(key).is_some_and(expired)
            && let Some(entry) = self.entries.remove(key)
        {
            self.answers_bytes -= entry.holding.kept_bytes();
        }
    }

    fn fitting(&self, record: Record) -> Record {
        if self.answers_bytes + record.kept_bytes() > self.max_answers_bytes {
            record.digested()
        } else {
            record
        }
    }
}

impl Entry {
    fn sent(&self, now: Instant) -> SentEntry {
        SentEntry {
            holding: self.holding.clone(),
            expires_in_ms: duration_ms(self.expires.saturating_duration_since(now)),
        }
    }
}

impl Holding {
    fn is_only(&self, claim: &ClaimId) -> bool {
        self.record.is_none() && self.holders.len() == 1 && self.holders.contains(claim)
    }

    fn kept_bytes(&self) -> usize {
        self.record.as_ref().map_or(0, Record::kept_bytes)
    }

    /// Takes over what `other` knows; tells the bytes that came with it.
    fn absorb(&mut self, other: Self) -> usize {
        if self.record.is_some() {
            return 0;
        }
        if other.record.is_some() {
            // The claim that ran had a majority, so no other one will run.
            *self = other;
            return self.kept_bytes();
        }
        for holder in other.holders {
            if !self.holders.contains(&holder) {
                self.holders.push(holder);
            }
        }
        0
    }
}
