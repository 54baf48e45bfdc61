//! This process as a voter: which set it votes in and what it must know first.
//!
//! A voter is *established* in a set when it knows every claim that may have run
//! or may still run under an earlier set, and every vote that an earlier life of
//! its own gave in this one. Only then does it vote. It gets there by
//! synchronising (see [`crate::synchronise`]), or without it in three cases:
//!
//! - its set has stood for longer than records are kept, so nothing that it
//!   could have missed is still of use;
//! - an operator vouches that no key was sent before a time `T`, and the voter
//!   took its set before `T` by more than the clock margin: it missed nothing;
//! - for one key alone: its own time of issue lies, by more than the margin,
//!   after the time at which the voter knew its set to be *in force*.
//!
//! A set is known to be in force when another member is established in it (then
//! every earlier set is fenced, and only the voter's own former life is in doubt),
//! or when a majority of it are processes that never had another set (the whole
//! fleet was started afresh). `docs/design/at-most-once.md` says what these rules
//! trust in and what follows when that fails.
//!
//! Sets are fenced: a voter that hears of a newer set, in a claim or in a request
//! to synchronise, takes it over at once and never again votes under the former.
//! Two majorities of sets that differ in one member need not meet (of {a, b, c}
//! and {a, b, d}: {a, c} and {b, d}), so each change of members synchronises.

use std::time::Instant;

use mangofront_settings::ids::Revision;

use crate::ballots::{Ballots, Vote};
use crate::fence::Fences;
use crate::ids::{ClaimId, Process};
use crate::key::{Fingerprint, OrderKey};
use crate::message::{Grant, Page, Reply};
use crate::options::{OnceOptions, Weakness, unix_ms};
use crate::view::VoterSet;
use crate::voting_rules::VotingRules;

/// Records in one page.
const PAGE_ENTRIES: usize = 200;

/// Sets that may wait to be synchronised with.
const MAX_PENDING: usize = 8;

/// A voter's state.
#[derive(Debug)]
pub(crate) struct Seat {
    process: Process,
    weakness: Weakness,
    /// Newest set that this process has heard of.
    view: Option<VoterSet>,
    /// When it took that set, on both clocks.
    taken_at: Instant,
    taken_unix_ms: u64,
    /// Newest set in which it knows what it must.
    established: Option<VoterSet>,
    /// Sets between the two that others may have voted in, oldest first, and
    /// the newest.
    pending: Vec<VoterSet>,
    /// When the newest set was first known to be in force, by the wall clock.
    in_force_unix_ms: Option<u64>,
    /// Whether this life was ever established in a set that it is a member of.
    is_seated: bool,
    /// Whether this life never had another set, nor was established.
    is_first_set: bool,
    fences: Fences,
    pub(crate) ballots: Ballots<OrderKey>,
    voting: bool,
}

impl Seat {
    pub(crate) fn new(options: &OnceOptions) -> Self {
        Self {
            process: options.process.clone(),
            weakness: options.weakness,
            view: None,
            taken_at: Instant::now(),
            taken_unix_ms: options.started_unix_ms,
            established: None,
            pending: Vec::new(),
            in_force_unix_ms: None,
            is_seated: false,
            is_first_set: true,
            fences: Fences::default(),
            ballots: Ballots::new(options.max_records, options.max_answers_bytes),
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

    /// Takes a newer set over; an older one, or the same members, changes nothing.
    pub(crate) fn adopt(&mut self, set: &VoterSet) {
        let known = self.view.as_ref();
        if known.is_some_and(|view| view.revision >= set.revision || view.same_members(set)) {
            return;
        }
        log::info!(
            "once: voters at list revision {}: {:?}",
            set.revision,
            set.members
        );
        self.is_first_set = self.view.is_none();
        self.in_force_unix_ms = None;
        self.view = Some(set.clone());
        self.taken_at = Instant::now();
        self.taken_unix_ms = unix_ms().max(self.taken_unix_ms);
        self.pending.push(set.clone());
        if self.pending.len() > MAX_PENDING {
            // A bystander that never needed to synchronise starts afresh.
            self.established = None;
            self.is_seated = false;
            self.pending = vec![set.clone()];
        }
    }

    /// Learns of a set that others may have voted in before the newest.
    pub(crate) fn hear_of(&mut self, set: &VoterSet) {
        self.adopt(set);
        let newer = |than: Option<&VoterSet>| than.is_none_or(|than| set.revision > than.revision);
        let known = self.pending.iter().any(|other| other.same_members(set));
        if newer(self.established.as_ref()) && !newer(self.view.as_ref()) && !known {
            self.pending.push(set.clone());
            self.pending.sort_by_key(|set| set.revision);
        }
    }

    /// Knows from now on all that could run in sets before `set`.
    pub(crate) fn establish(&mut self, set: &VoterSet) {
        self.pending.retain(|other| other.revision > set.revision);
        while self
            .pending
            .first()
            .is_some_and(|other| other.same_members(set))
        {
            self.pending.remove(0);
        }
        self.is_seated |= set.has(&self.process.instance);
        self.is_first_set = false;
        self.established = Some(set.clone());
        log::info!("once: established at list revision {}", set.revision);
    }

    /// Whether this life was ever established in a set that it is a member of.
    ///
    /// From then on no former life of it can have voted in a later set: the
    /// majority that it read would have told of that set.
    pub(crate) fn is_seated(&self) -> bool {
        self.is_seated
    }

    /// Whether this life never had another set, nor was established.
    pub(crate) fn is_first_set(&self) -> bool {
        self.is_first_set
    }

    /// Notes that the newest set is in force.
    pub(crate) fn note_in_force(&mut self) {
        self.in_force_unix_ms.get_or_insert_with(unix_ms);
    }

    /// Whether the newest set has this process as a member and is not established.
    pub(crate) fn wants_records(&self) -> bool {
        let mut wanted = self.pending.iter().chain(self.view.as_ref());
        !self.is_established() && wanted.any(|set| set.has(&self.process.instance))
    }

    pub(crate) fn is_established(&self) -> bool {
        match (&self.established, &self.view) {
            (Some(established), Some(view)) => {
                established.same_members(view) && self.pending.is_empty()
            }
            _ => false,
        }
    }

    /// Establishes the newest set where no records are needed.
    pub(crate) fn establish_by_rule(&mut self, rules: VotingRules, now: Instant) {
        let Some(view) = self.view.clone() else {
            return;
        };
        if self.is_established() {
            return;
        }
        let outlived = now.duration_since(self.taken_at) > rules.keep;
        let vouched = self.established.is_none() && rules.vouch_for(self.taken_unix_ms);
        if outlived || vouched || self.weakness == Weakness::NoSynchronisation {
            self.pending.clear();
            self.establish(&view);
        }
    }

    /// Answers a claim on a plain key.
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
        if !view.same_members(set) {
            return Reply::OtherSet(view.clone());
        }
        let may_vote = self.voting
            && view.has(&self.process.instance)
            && (self.is_established() || rules.is_younger(&order.key, self.in_force_unix_ms));
        if !may_vote {
            let holding = self.ballots.holding(order, now);
            return holding.map_or(Reply::NotReady, Reply::Held);
        }
        let vote = self
            .ballots
            .vote(order, fingerprint, claim, now, rules.keep);
        match vote {
            Vote::Granted => Reply::Granted(self.grant()),
            Vote::Held(holding) => Reply::Held(holding),
            Vote::Full => Reply::Full,
        }
    }

    fn grant(&self) -> Grant {
        Grant {
            voter: self.process.clone(),
            fences: self.fences.told(),
        }
    }

    /// Gives records to another process, and is fenced by it.
    ///
    /// From the first page on, this voter votes under no older set, and each of
    /// its votes tells that former lives of the other no longer count.
    pub(crate) fn page(
        &mut self,
        reader: &Process,
        target: &VoterSet,
        after: Option<&OrderKey>,
    ) -> Reply {
        self.hear_of(target);
        self.fences.raise(reader);
        let Some(view) = self.view.clone() else {
            return Reply::NotReady;
        };
        let (entries, more) = self.ballots.page(after, PAGE_ENTRIES, Instant::now());
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

    /// What changes when a reading of other voters' records was of use.
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
