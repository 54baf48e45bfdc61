//! This process as a voter: the set it votes in and the records it needs first.
//!
//! A voter is *established* in a set when it knows every claim that may have run
//! or may still run under an earlier set, and every vote that an earlier
//! incarnation of its own gave in this set. Only then does it vote. It becomes
//! established by synchronising (see [`crate::synchronise`]). It may vote without
//! synchronising in three cases:
//!
//! - It has had its set for longer than records are kept, so every record that it
//!   could have missed has expired.
//! - An operator confirms that no key was sent before a time `T`, and the voter
//!   adopted its set before `T` by more than the clock margin: it missed nothing.
//! - For a single key: the key was issued, by more than the margin, after the time
//!   at which the voter knew its set to be *in force*.
//!
//! A set is known to be in force when another member is established in it (then
//! every earlier set is fenced, and only votes of the voter's own former
//! incarnation may be missing), or when a majority of it are processes that never
//! had another set (the whole fleet was restarted). `docs/design/at-most-once.md`
//! describes what these rules assume and what follows when that does not hold.
//!
//! Sets are fenced: a voter that learns of a newer set, from a claim or from a
//! request to synchronise, adopts it at once and never votes under the former one
//! again. Two majorities of sets that differ in one member need not overlap (of
//! {a, b, c} and {a, b, d}: {a, c} and {b, d}), so each change of members requires
//! synchronisation.

use std::time::Instant;

use mangofront_settings::ids::Revision;

use crate::fence::Fences;
use crate::grant_table::{GrantTable, Vote};
use crate::ids::{ClaimId, Process};
use crate::key::{Fingerprint, OrderKey};
use crate::message::{Grant, Page, Reply};
use crate::options::{DisabledSafeguard, OnceOptions, unix_ms};
use crate::view::VoterSet;
use crate::voting_rules::VotingRules;

/// Most records in one page.
const MAX_PAGE_ENTRIES: usize = 200;

/// Most sets that may be pending.
const MAX_PENDING_SETS: usize = 8;

/// A voter's state.
#[derive(Debug)]
pub(crate) struct VoterState {
    process: Process,
    disabled: DisabledSafeguard,
    /// Newest set that this process knows.
    view: Option<VoterSet>,
    /// When it adopted that set, on the monotonic and on the wall clock.
    adopted_at: Instant,
    adopted_unix_ms: u64,
    /// Newest set in which it is established.
    established: Option<VoterSet>,
    /// Sets after the established one in which others may have voted, oldest
    /// first, up to and including the newest.
    pending: Vec<VoterSet>,
    /// Wall-clock time at which the newest set was first known to be in force.
    in_force_unix_ms: Option<u64>,
    /// Whether this incarnation was ever established in a set that it is a member of.
    is_seated: bool,
    /// Whether this incarnation has never had another set and was never established.
    is_first_set: bool,
    fences: Fences,
    pub(crate) grants: GrantTable<OrderKey>,
    voting: bool,
}

impl VoterState {
    pub(crate) fn new(options: &OnceOptions) -> Self {
        Self {
            process: options.process.clone(),
            disabled: options.disabled,
            view: None,
            adopted_at: Instant::now(),
            adopted_unix_ms: options.started_unix_ms,
            established: None,
            pending: Vec::new(),
            in_force_unix_ms: None,
            is_seated: false,
            is_first_set: true,
            fences: Fences::default(),
            grants: GrantTable::new(options.max_records, options.max_answers_bytes),
            voting: true,
        }
    }

    pub(crate) fn view(&self) -> Option<&VoterSet> {
        self.view.as_ref()
    }

    pub(crate) fn established(&self) -> Option<&VoterSet> {
        self.established.as_ref()
    }

    pub(crate) fn pending(&self) -> &[VoterSet] {
        &self.pending
    }

    pub(crate) fn stop_voting(&mut self) {
        self.voting = false;
    }

    /// Adopts `set` if it is newer and has other members than the newest known set.
    pub(crate) fn adopt(&mut self, set: &VoterSet) {
        let known = self.view.as_ref();
        if known.is_some_and(|view| view.revision >= set.revision || view.has_same_members(set)) {
            return;
        }
        log::info!(
            "once: voter set of list revision {}: {:?}",
            set.revision,
            set.members
        );
        self.is_first_set = self.view.is_none();
        self.in_force_unix_ms = None;
        self.view = Some(set.clone());
        self.adopted_at = Instant::now();
        self.adopted_unix_ms = unix_ms().max(self.adopted_unix_ms);
        self.pending.push(set.clone());
        if self.pending.len() > MAX_PENDING_SETS {
            // A process that is not a voter never synchronises, so its pending sets
            // accumulate; it starts again from the newest set.
            self.established = None;
            self.is_seated = false;
            self.pending = vec![set.clone()];
        }
    }

    /// Adopts `set` if it is the newest, else records it as a set in which others may
    /// have voted.
    pub(crate) fn learn_set(&mut self, set: &VoterSet) {
        self.adopt(set);
        let newer = |than: Option<&VoterSet>| than.is_none_or(|than| set.revision > than.revision);
        let known = self.pending.iter().any(|other| other.has_same_members(set));
        if newer(self.established.as_ref()) && !newer(self.view.as_ref()) && !known {
            self.pending.push(set.clone());
            self.pending.sort_by_key(|set| set.revision);
        }
    }

    /// Marks this process as established in `set`.
    pub(crate) fn establish(&mut self, set: &VoterSet) {
        self.pending.retain(|other| other.revision > set.revision);
        while self
            .pending
            .first()
            .is_some_and(|other| other.has_same_members(set))
        {
            self.pending.remove(0);
        }
        self.is_seated |= set.contains(&self.process.instance);
        self.is_first_set = false;
        self.established = Some(set.clone());
        log::info!(
            "once: established in the voter set of list revision {}",
            set.revision
        );
    }

    /// Whether this incarnation was ever established in a set that it is a member of.
    ///
    /// If so, no former incarnation of it can have voted in a later set: the
    /// majority that it read would have reported that set.
    pub(crate) fn is_seated(&self) -> bool {
        self.is_seated
    }

    /// Whether this incarnation has never had another set and was never established.
    pub(crate) fn is_first_set(&self) -> bool {
        self.is_first_set
    }

    /// Records that the newest set is known to be in force.
    pub(crate) fn mark_in_force(&mut self) {
        self.in_force_unix_ms.get_or_insert_with(unix_ms);
    }

    /// Whether this process is not established and is a member of the newest or of a
    /// pending set.
    pub(crate) fn needs_records(&self) -> bool {
        let mut sets = self.pending.iter().chain(self.view.as_ref());
        !self.is_established() && sets.any(|set| set.contains(&self.process.instance))
    }

    pub(crate) fn is_established(&self) -> bool {
        match (&self.established, &self.view) {
            (Some(established), Some(view)) => {
                established.has_same_members(view) && self.pending.is_empty()
            }
            _ => false,
        }
    }

    /// Establishes the newest set if the rules allow it without synchronising.
    pub(crate) fn establish_without_synchronising(&mut self, rules: VotingRules, now: Instant) {
        let Some(view) = self.view.clone() else {
            return;
        };
        if self.is_established() {
            return;
        }
        let expired = now.duration_since(self.adopted_at) > rules.record_retention;
        let confirmed = self.established.is_none() && rules.operator_confirms(self.adopted_unix_ms);
        if expired || confirmed || self.disabled == DisabledSafeguard::Synchronisation {
            self.pending.clear();
            self.establish(&view);
        }
    }

    /// Handles a claim on a plain key.
    pub(crate) fn claim(
        &mut self,
        order: &OrderKey,
        fingerprint: Fingerprint,
        claim: &ClaimId,
        set: &VoterSet,
        rules: VotingRules,
    ) -> Reply {
        let now = Instant::now();
        self.adopt(set);
        let Some(view) = &self.view else {
            return Reply::NotReady;
        };
        if !view.has_same_members(set) {
            return Reply::OtherSet(view.clone());
        }
        let may_vote = self.voting
            && view.contains(&self.process.instance)
            && (self.is_established() || rules.is_issued_after(&order.key, self.in_force_unix_ms));
        if !may_vote {
            let holding = self.grants.holding(order, now);
            return holding.map_or(Reply::NotReady, Reply::Held);
        }
        let vote = self
            .grants
            .vote(order, fingerprint, claim, now, rules.record_retention);
        match vote {
            Vote::Granted => Reply::Granted(self.grant()),
            Vote::Held(holding) => Reply::Held(holding),
            Vote::Full => Reply::Full,
        }
    }

    fn grant(&self) -> Grant {
        Grant {
            voter: self.process.clone(),
            fences: self.fences.to_vec(),
        }
    }

    /// Returns a page of records to `reader`, and applies the fences of `reader`.
    ///
    /// From the first page on, this voter votes under no set older than `target`,
    /// and each of its votes states that grants of former incarnations of `reader`
    /// no longer count.
    pub(crate) fn page(
        &mut self,
        reader: &Process,
        target: &VoterSet,
        after: Option<&OrderKey>,
    ) -> Reply {
        self.learn_set(target);
        self.fences.raise(reader);
        let Some(view) = self.view.clone() else {
            return Reply::NotReady;
        };
        let (entries, more) = self.grants.page(after, MAX_PAGE_ENTRIES, Instant::now());
        Reply::Page(Box::new(Page {
            process: self.process.clone(),
            view,
            established: self.established.clone(),
            pending: self.pending.clone(),
            is_seated: self.is_seated,
            is_first_set: self.is_first_set,
            entries,
            more,
        }))
    }

    /// State that changes when reading other voters' records made progress.
    pub(crate) fn progress(&self) -> (Revision, Option<Revision>, usize, bool) {
        let established = self.established.as_ref().map(|set| set.revision);
        let in_force = self.in_force_unix_ms.is_some();
        (self.revision(), established, self.pending.len(), in_force)
    }

    /// Revision of the newest set, 0 when none is known.
    pub(crate) fn revision(&self) -> Revision {
        self.view.as_ref().map_or(0, |view| view.revision)
    }
}
