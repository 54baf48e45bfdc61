//! Minted keys of this process, and the records of processes that handed over.
//!
//! The process that issued a key is the only one that grants it, so no list, no
//! clock and no vote is involved. Age matters in one place: a used key's record
//! is dropped some time, and from then on the key must not look unused. So a key
//! may be used within the window from its issue only, and records outlive that.
//!
//! A process that stops grants nothing from the moment on at which it collects
//! its records, so what its successors hold (an [`Archive`]) is final: a key in
//! it without a record never ran by its home's grant and never will. Successors
//! answer and never grant, so it does no harm that there are several. A key that
//! is so retired passes to the voters, see [`crate::gather_minted`]. The votes
//! are kept from their grant for as long as the word *retired* is given from the
//! stop, or from the end of the key's window, so they outlive it.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

use crate::ballots::{Ballots, Vote};
use crate::ids::{ClaimId, Process};
use crate::key::{Fingerprint, MintedKey};
use crate::message::{ArchivePart, Grant, Holding, Reply, SentEntry};
use crate::options::{OnceOptions, duration_ms, expiry};

const CHECKPOINT_INTERVAL: Duration = Duration::from_secs(1);
const PART_ENTRIES: usize = 200;

/// Issue and use of this process's own keys.
#[derive(Debug)]
pub(crate) struct Mint {
    process: Process,
    next: u64,
    /// First counter issued at or after each time.
    checkpoints: VecDeque<(Instant, u64)>,
    pub(crate) ballots: Ballots<u64>,
    deciding: bool,
}

/// How long keys may be used and records are kept.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Keep {
    pub(crate) window: Duration,
    pub(crate) record: Duration,
}

impl Mint {
    pub(crate) fn new(options: &OnceOptions) -> Self {
        Self {
            process: options.process.clone(),
            next: 0,
            checkpoints: VecDeque::new(),
            ballots: Ballots::new(options.max_records, options.max_answers_bytes),
            deciding: true,
        }
    }

    /// Issues a key; `None` once this process has stopped deciding.
    pub(crate) fn issue(&mut self, now: Instant) -> Option<MintedKey> {
        if !self.deciding {
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

    /// Answers a claim on one of this process's own keys.
    pub(crate) fn claim(
        &mut self,
        counter: u64,
        fingerprint: Fingerprint,
        claim: &ClaimId,
        now: Instant,
        keep: Keep,
    ) -> Reply {
        if counter >= self.next {
            return Reply::NeverMinted;
        }
        if let Some(holding) = self.ballots.holding(&counter, now)
            && !self.deciding
        {
            return Reply::Held(holding);
        }
        match self.age_bound(counter, now) {
            Some(age) if age <= keep.window && self.deciding => {}
            Some(age) if age <= keep.record => return self.unusable(counter, now),
            _ => return Reply::HomeGone,
        }
        match self
            .ballots
            .vote(&counter, fingerprint, claim, now, keep.record)
        {
            Vote::Granted => Reply::Granted(Grant {
                voter: self.process.clone(),
                fences: Vec::new(),
            }),
            Vote::Held(holding) => Reply::Held(holding),
            Vote::Full => Reply::Full,
        }
    }

    fn unusable(&mut self, counter: u64, now: Instant) -> Reply {
        let holding = self.ballots.holding(&counter, now);
        holding.map_or(Reply::Retired, Reply::Held)
    }

    pub(crate) fn forget_expired(&mut self, now: Instant, keep: Keep) {
        self.ballots.forget_all_expired(now);
        while let Some((_, _)) = self.checkpoints.front()
            && let Some((second, _)) = self.checkpoints.get(1)
            && now.duration_since(*second) > keep.record
        {
            self.checkpoints.pop_front();
        }
    }

    /// Most time that can have passed since `counter` was issued; `None` when
    /// that is beyond all records.
    fn age_bound(&self, counter: u64, now: Instant) -> Option<Duration> {
        let mut newest_first = self.checkpoints.iter().rev();
        let found = newest_first.find(|(_, first)| *first <= counter);
        found.map(|(at, _)| now.duration_since(*at))
    }

    /// Grants nothing from now on.
    pub(crate) fn stop_deciding(&mut self) {
        self.deciding = false;
    }

    /// The records as parts to send; to be called after
    /// [`Mint::stop_deciding`].
    pub(crate) fn archive(&mut self, now: Instant, keep: Keep) -> Vec<ArchivePart> {
        debug_assert!(!self.deciding, "an archive is final");
        let first_counter = self
            .checkpoints
            .front()
            .map_or(self.next, |(_, first)| *first);
        let (entries, _) = self.ballots.page(None, usize::MAX, now);
        let archive = Archive {
            next_counter: self.next,
            complete_from: first_counter,
            total: entries.len(),
            ballots: Ballots::new(0, 0),
            expires: expiry(now, keep.record),
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
    ballots: Ballots<u64>,
    expires: Instant,
}

/// Archives by former process.
#[derive(Debug, Default)]
pub(crate) struct Archives {
    table: BTreeMap<Process, Archive>,
}

impl Archives {
    pub(crate) fn len(&self) -> usize {
        self.table.len()
    }

    pub(crate) fn take(&mut self, part: ArchivePart, options: &OnceOptions, now: Instant) {
        let expires = expiry(now, Duration::from_millis(part.expires_in_ms));
        let archive = self.table.entry(part.former).or_insert_with(|| Archive {
            next_counter: part.next_counter,
            complete_from: part.complete_from,
            total: part.total,
            ballots: Ballots::new(options.max_records, options.max_answers_bytes),
            expires,
        });
        for (counter, mut entry) in part.entries {
            // An entry that went before its archive would look like an unused key.
            entry.expires_in_ms = part.expires_in_ms;
            archive.ballots.merge(&counter, entry, now);
        }
    }

    /// Answers a claim on a former process's key.
    pub(crate) fn claim(&mut self, key: &MintedKey, now: Instant) -> Reply {
        let Some(archive) = self.table.get_mut(&key.home) else {
            return Reply::HomeGone;
        };
        archive.claim(key.counter, now)
    }

    /// Keeps what a claim on a former process's key came to.
    pub(crate) fn settle(&mut self, key: &MintedKey, holding: Holding, now: Instant) {
        let Some(archive) = self.table.get_mut(&key.home) else {
            return;
        };
        // Only what was archived: another entry would make it seem whole.
        if archive.ballots.holding(&key.counter, now).is_some() {
            let keep = archive.expires.saturating_duration_since(now);
            archive.ballots.settle(&key.counter, holding, now, keep);
        }
    }

    /// Drops a claim on a former process's key; the key stays unusable.
    pub(crate) fn release(&mut self, key: &MintedKey, claim: &ClaimId) {
        if let Some(archive) = self.table.get_mut(&key.home) {
            archive.released(key.counter, claim);
        }
    }

    pub(crate) fn forget_expired(&mut self, now: Instant) {
        self.table.retain(|_, archive| archive.expires > now);
    }

    /// Every whole archive as parts to send.
    pub(crate) fn parts(&self, now: Instant) -> Vec<ArchivePart> {
        let whole = self.table.iter().filter(|(_, archive)| archive.is_whole());
        whole
            .flat_map(|(former, archive)| {
                let (entries, _) = archive.ballots.page(None, usize::MAX, now);
                archive.parts_of(former, entries, now)
            })
            .collect()
    }
}

impl Archive {
    fn is_whole(&self) -> bool {
        self.ballots.len() >= self.total
    }

    fn released(&mut self, counter: u64, claim: &ClaimId) {
        // The entry stays, for the count of entries tells a whole archive.
        self.ballots.disown(&counter, claim);
    }

    fn claim(&mut self, counter: u64, now: Instant) -> Reply {
        if now >= self.expires {
            return Reply::HomeGone;
        }
        if counter >= self.next_counter {
            return Reply::NeverMinted;
        }
        if let Some(holding) = self.ballots.holding(&counter, now) {
            return match (&holding.record, holding.holders.as_slice()) {
                (None, []) => Reply::Retired,
                _ => Reply::Held(holding),
            };
        }
        if self.is_whole() && counter >= self.complete_from {
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
        entries.chunks(PART_ENTRIES).map(part).collect()
    }
}
