//! Minted keys of this process, and archives of processes that handed over.
//!
//! The process that issued a key is the only one that grants it, so no list, no
//! clock and no vote is involved. The age of a key matters in one respect: the
//! record of a used key eventually expires, and the key must not look unused
//! afterwards. So a key may be used only within the window after its issue, and
//! records are kept for longer than that.
//!
//! A process that shuts down grants no key once it has collected its records, so
//! the [`Archive`] that its successors keep is final: a key that has neither a
//! holder nor a record in it never ran under a grant of its home and never will.
//! Successors reply to claims but never grant, so there may be several of them.
//! Such a key is *retired* and decided by the voters, see
//! [`crate::gather_minted`]. Votes are kept for as long as a key is reported as
//! retired, but counted from their grant, not from the shutdown or the end of the
//! key's window. So they expire later than these reports.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::grant_table::{GrantTable, Vote};
use crate::ids::{ClaimId, Process};
use crate::key::{Fingerprint, MintedKey};
use crate::message::{ArchivePart, Grant, Holding, Reply, SentEntry};
use crate::options::{OnceOptions, duration_ms, expiry};

/// Shortest interval between two checkpoints.
const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);
/// Most entries in one part of an archive.
const MAX_PART_ENTRIES: usize = 200;

/// Issues this process's own keys and grants them.
#[derive(Debug)]
pub(crate) struct KeyIssuer {
    process: Process,
    next: u64,
    /// Times, each with the first counter issued at or after it.
    checkpoints: VecDeque<(Instant, u64)>,
    pub(crate) grants: GrantTable<u64>,
    granting: bool,
}

/// Time for which keys may be used and records are kept.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Retention {
    pub(crate) window: Duration,
    pub(crate) record: Duration,
}

impl KeyIssuer {
    pub(crate) fn new(options: &OnceOptions) -> Self {
        Self {
            process: options.process.clone(),
            next: 0,
            checkpoints: VecDeque::new(),
            grants: GrantTable::new(options.max_records, options.max_answers_bytes),
            granting: true,
        }
    }

    /// Issues a key; `None` once this process no longer grants keys.
    pub(crate) fn issue(&mut self, now: Instant) -> Option<MintedKey> {
        if !self.granting {
            return None;
        }
        let last = self.checkpoints.back();
        if last.is_none_or(|(at, _)| now.duration_since(*at) >= CHECKPOINT_INTERVAL) {
            self.checkpoints.push_back((now, self.next));
        }
        let counter = self.next;
        self.next += 1;
        Some(MintedKey {
            home: self.process.clone(),
            counter,
        })
    }

    /// Handles a claim on one of this process's own keys.
    pub(crate) fn claim(
        &mut self,
        counter: u64,
        fingerprint: Fingerprint,
        claim: &ClaimId,
        now: Instant,
        retention: Retention,
    ) -> Reply {
        if counter >= self.next {
            return Reply::NeverMinted;
        }
        if let Some(holding) = self.grants.holding(&counter, now)
            && !self.granting
        {
            return Reply::Held(holding);
        }
        match self.age_bound(counter, now) {
            Some(age) if age <= retention.window && self.granting => {}
            Some(age) if age <= retention.record => return self.held_or_retired(counter, now),
            _ => return Reply::HomeGone,
        }
        match self
            .grants
            .vote(&counter, fingerprint, claim, now, retention.record)
        {
            Vote::Granted => Reply::Granted(Grant {
                voter: self.process.clone(),
                fences: Vec::new(),
            }),
            Vote::Held(holding) => Reply::Held(holding),
            Vote::Full => Reply::Full,
        }
    }

    fn held_or_retired(&mut self, counter: u64, now: Instant) -> Reply {
        let holding = self.grants.holding(&counter, now);
        holding.map_or(Reply::Retired, Reply::Held)
    }

    pub(crate) fn forget_expired(&mut self, now: Instant, retention: Retention) {
        self.grants.forget_all_expired(now);
        while let Some((_, _)) = self.checkpoints.front()
            && let Some((second, _)) = self.checkpoints.get(1)
            && now.duration_since(*second) > retention.record
        {
            self.checkpoints.pop_front();
        }
    }

    /// Upper bound on the time since `counter` was issued; `None` when the key is
    /// older than all records.
    fn age_bound(&self, counter: u64, now: Instant) -> Option<Duration> {
        let mut newest_first = self.checkpoints.iter().rev();
        let found = newest_first.find(|(_, first)| *first <= counter);
        found.map(|(at, _)| now.duration_since(*at))
    }

    /// Stops issuing and granting keys.
    pub(crate) fn stop_granting(&mut self) {
        self.granting = false;
    }

    /// The records as parts to send; must be called after
    /// [`KeyIssuer::stop_granting`].
    pub(crate) fn archive(&mut self, now: Instant, retention: Retention) -> Vec<ArchivePart> {
        debug_assert!(!self.granting, "an archive must be final");
        let first_counter = self
            .checkpoints
            .front()
            .map_or(self.next, |(_, first)| *first);
        let (entries, _) = self.grants.page(None, usize::MAX, now);
        let archive = Archive {
            next_counter: self.next,
            complete_from: first_counter,
            total: entries.len(),
            grants: GrantTable::new(0, 0),
            expires: expiry(now, retention.record),
        };
        archive.parts_of(&self.process, entries, now)
    }
}

/// Final records of a process that handed over.
#[derive(Debug)]
pub(crate) struct Archive {
    next_counter: u64,
    complete_from: u64,
    total: usize,
    grants: GrantTable<u64>,
    expires: Instant,
}

/// Archives of former processes, by process.
#[derive(Debug, Default)]
pub(crate) struct Archives {
    table: BTreeMap<Process, Archive>,
}

impl Archives {
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    pub(crate) fn add(&mut self, part: ArchivePart, options: &OnceOptions, now: Instant) {
        let expires = expiry(now, Duration::from_millis(part.expires_in_ms));
        let archive = self.table.entry(part.former).or_insert_with(|| Archive {
            next_counter: part.next_counter,
            complete_from: part.complete_from,
            total: part.total,
            grants: GrantTable::new(options.max_records, options.max_answers_bytes),
            expires,
        });
        for (counter, mut entry) in part.entries {
            // If an entry expired before its archive, its key would look unused.
            entry.expires_in_ms = part.expires_in_ms;
            archive.grants.merge(&counter, entry, now);
        }
    }

    /// Handles a claim on a former process's key.
    pub(crate) fn claim(&mut self, key: &MintedKey, now: Instant) -> Reply {
        let Some(archive) = self.table.get_mut(&key.home) else {
            return Reply::HomeGone;
        };
        archive.claim(key.counter, now)
    }

    /// Stores the outcome of a claim on a former process's key.
    pub(crate) fn settle(&mut self, key: &MintedKey, holding: Holding, now: Instant) {
        let Some(archive) = self.table.get_mut(&key.home) else {
            return;
        };
        // Only for an archived key: a new entry would make the archive look complete.
        if archive.grants.holding(&key.counter, now).is_some() {
            let retention = archive.expires.saturating_duration_since(now);
            archive.grants.settle(&key.counter, holding, now, retention);
        }
    }

    /// Removes a claim on a former process's key, whose entry stays.
    pub(crate) fn release(&mut self, key: &MintedKey, claim: &ClaimId) {
        if let Some(archive) = self.table.get_mut(&key.home) {
            archive.release(key.counter, claim);
        }
    }

    pub(crate) fn forget_expired(&mut self, now: Instant) {
        self.table.retain(|_, archive| archive.expires > now);
    }

    /// The complete archives as parts to send.
    pub(crate) fn parts(&self, now: Instant) -> Vec<ArchivePart> {
        let complete = self
            .table
            .iter()
            .filter(|(_, archive)| archive.is_complete());
        complete
            .flat_map(|(former, archive)| {
                let (entries, _) = archive.grants.page(None, usize::MAX, now);
                archive.parts_of(former, entries, now)
            })
            .collect()
    }
}

impl Archive {
    fn is_complete(&self) -> bool {
        self.grants.len() >= self.total
    }

    fn release(&mut self, counter: u64, claim: &ClaimId) {
        // The entry stays, as an archive is complete when all its entries are there.
        self.grants.remove_holder(&counter, claim);
    }

    fn claim(&mut self, counter: u64, now: Instant) -> Reply {
        if now >= self.expires {
            return Reply::HomeGone;
        }
        if counter >= self.next_counter {
            return Reply::NeverMinted;
        }
        if let Some(holding) = self.grants.holding(&counter, now) {
            return match (&holding.record, holding.holders.as_slice()) {
                (None, []) => Reply::Retired,
                _ => Reply::Held(holding),
            };
        }
        if self.is_complete() && counter >= self.complete_from {
            return Reply::Retired;
        }
        Reply::HomeGone
    }

    fn parts_of(
        &self,
        former: &Process,
        entries: Vec<(u64, SentEntry)>,
        now: Instant,
    ) -> Vec<ArchivePart> {
        let expires_in_ms = duration_ms(self.expires.saturating_duration_since(now));
        let part = |entries: &[(u64, SentEntry)]| ArchivePart {
            former: former.clone(),
            next_counter: self.next_counter,
            complete_from: self.complete_from,
            entries: entries.to_vec(),
            total: self.total,
            expires_in_ms,
        };
        if entries.is_empty() {
            return vec![part(&[])];
        }
        entries.chunks(MAX_PART_ENTRIES).map(part).collect()
    }
}
