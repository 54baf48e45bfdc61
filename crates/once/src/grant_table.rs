//! Bounded table of the claims that hold keys.
//!
//! Invariant: an entry that names a claim keeps it until the claim's own process
//! releases it or the entry expires. No entry is evicted to make room. So a table
//! grants a key to at most one claim within the lifetime of an entry.

use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::{Duration, Instant};

use crate::ids::ClaimId;
use crate::key::Fingerprint;
use crate::message::{Holding, SentEntry};
use crate::options::{duration_ms, expiry};
use crate::outcome::Record;

/// Result of a claim on a key.
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

/// Entries by key.
#[derive(Debug)]
pub(crate) struct GrantTable<K> {
    entries: BTreeMap<K, Entry>,
    answers_bytes: usize,
    max_records: usize,
    max_answers_bytes: usize,
}

impl<K: Ord + Clone> GrantTable<K> {
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

    /// The unexpired holding of `key`; `None` when no claim holds it.
    pub(crate) fn holding(&mut self, key: &K, now: Instant) -> Option<Holding> {
        self.forget_expired(key, now);
        self.entries.get(key).map(|entry| entry.holding.clone())
    }

    /// Grants `key` to `claim`, or returns its current holding.
    pub(crate) fn vote(
        &mut self,
        key: &K,
        fingerprint: Fingerprint,
        claim: &ClaimId,
        now: Instant,
        retention: Duration,
    ) -> Vote {
        if let Some(holding) = self.holding(key, now) {
            return if holding.is_held_only_by(claim) && holding.fingerprint == fingerprint {
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
        let expires = expiry(now, retention);
        self.entries.insert(key.clone(), Entry { holding, expires });
        Vote::Granted
    }

    /// Removes `claim` from the holders of `key`, as its own process requested.
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

    /// Removes `claim` from the holders of `key`, but keeps the entry.
    pub(crate) fn remove_holder(&mut self, key: &K, claim: &ClaimId) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.holding.holders.retain(|holder| holder != claim);
        }
    }

    /// Stores the outcome of a claim.
    pub(crate) fn settle(&mut self, key: &K, holding: Holding, now: Instant, retention: Duration) {
        let sent = SentEntry {
            holding,
            expires_in_ms: duration_ms(retention),
        };
        self.merge(key, sent, now);
    }

    /// Merges an entry of another process into the table.
    pub(crate) fn merge(&mut self, key: &K, sent: SentEntry, now: Instant) {
        self.forget_expired(key, now);
        let expires = expiry(now, Duration::from_millis(sent.expires_in_ms));
        let mut holding = sent.holding;
        holding.record = holding.record.map(|record| self.limit_size(record));
        if let Some(entry) = self.entries.get_mut(key) {
            entry.expires = entry.expires.max(expires);
            let added_bytes = entry.holding.merge(holding);
            self.answers_bytes += added_bytes;
            return;
        }
        self.answers_bytes += holding.stored_bytes();
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
        let page = page.map(|(key, entry)| (key.clone(), entry.to_sent(now)));
        (page.collect(), rest.next().is_some())
    }

    pub(crate) fn forget_all_expired(&mut self, now: Instant) {
        let answers_bytes = &mut self.answers_bytes;
        self.entries.retain(|_, entry| {
            let keep = entry.expires > now;
            if !keep {
                *answers_bytes -= entry.holding.stored_bytes();
            }
            keep
        });
    }

    fn forget_expired(&mut self, key: &K, now: Instant) {
        let expired = |entry: &Entry| entry.expires <= now;
        if self.entries.get(key).is_some_and(expired)
            && let Some(entry) = self.entries.remove(key)
        {
            self.answers_bytes -= entry.holding.stored_bytes();
        }
    }

    fn limit_size(&self, record: Record) -> Record {
        if self.answers_bytes + record.stored_bytes() > self.max_answers_bytes {
            record.digested()
        } else {
            record
        }
    }
}

impl Entry {
    fn to_sent(&self, now: Instant) -> SentEntry {
        SentEntry {
            holding: self.holding.clone(),
            expires_in_ms: duration_ms(self.expires.saturating_duration_since(now)),
        }
    }
}

impl Holding {
    fn is_held_only_by(&self, claim: &ClaimId) -> bool {
        self.record.is_none() && self.holders.len() == 1 && self.holders.contains(claim)
    }

    fn stored_bytes(&self) -> usize {
        self.record.as_ref().map_or(0, Record::stored_bytes)
    }

    /// Merges `other` into this holding and returns the bytes of the record added.
    fn merge(&mut self, other: Self) -> usize {
        if self.record.is_some() {
            return 0;
        }
        if other.record.is_some() {
            // The claim that ran had a majority of the votes, so no other claim runs.
            *self = other;
            return self.stored_bytes();
        }
        for holder in other.holders {
            if !self.holders.contains(&holder) {
                self.holders.push(holder);
            }
        }
        0
    }
}
