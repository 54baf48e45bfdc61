//! Synchronisation: how a voter gets the records that it needs before it votes.
//!
//! Reading fences: a daemon that receives a request for its records first adopts
//! the reader's set, and so votes in no earlier one. A voter becomes established
//! in a set *N* when it knows two things.
//!
//! **What ran, or may still run, in sets before N.** Either it read a daemon that
//! is established in N and therefore knows this. Or it read a majority of the set
//! before N, from members that are established in that set or in a later one:
//! - A claim that ran there had the votes of a majority of that set. The two
//!   majorities share a member. Either it voted before it was fenced, and the
//!   reader got the record, or it refused the vote.
//! - A daemon that became established in a set in between fenced a majority of the
//!   same set. So the shared member reports that set, and the reader establishes
//!   the sets one after the other.
//!
//! **What its own former incarnations voted in N.** Nothing, if this incarnation
//! was already seated (see [`crate::voter::VoterState::is_seated`]) or is not a
//! member of N. Otherwise it must have read a majority of N without itself, from
//! seated members. A claim that counts a vote of its former incarnation has the
//! votes of a majority less one among the others, which share a member with those
//! that were read. Either that member voted before it was read, and the reader got
//! the record, or its vote names the reader's new incarnation, and the former vote
//! no longer counts (see [`crate::fence::count_valid`]).
//!
//! So when more voters are new at once than a majority less one, the new ones wait
//! until the window has passed or an operator confirms the start: they can't be
//! distinguished from former voters that lost their memory.
//!
//! Every daemon that is a member of the newest or of a pending set synchronises.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::key::OrderKey;
use crate::message::{Page, Reply, Request};
use crate::view::VoterSet;

/// Interval of the maintenance loop while no records are needed.
const IDLE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval between two removals of expired records.
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Longest pause between two reads of all voters while they make no progress, for
/// instance until the window has passed after a majority lost its memory.
const MAX_READ_PAUSE: Duration = Duration::from_secs(1);

/// Voter state that a peer reported with its records.
struct PeerState {
    instance: InstanceId,
    /// Set in which the peer was established when it was fenced.
    established: Option<VoterSet>,
    is_seated: bool,
    /// Whether the reader's set is the first one of the peer's incarnation.
    is_first_set: bool,
}

impl Core {
    /// Synchronises and removes expired records, for as long as it is polled.
    pub(crate) async fn maintain(self: Rc<Self>) {
        let mut last_sweep = Instant::now();
        let mut read_pause = self.options.poll_interval;
        loop {
            if last_sweep.elapsed() >= SWEEP_INTERVAL {
                self.forget_expired();
                last_sweep = Instant::now();
            }
            self.establish_without_synchronising();
            let needs_records = self.state.borrow().voter.needs_records();
            if needs_records {
                let before = self.state.borrow().voter.progress();
                self.synchronise().await;
                let made_progress = self.state.borrow().voter.progress() != before;
                read_pause = if made_progress {
                    self.options.poll_interval
                } else {
                    (read_pause * 2).min(MAX_READ_PAUSE)
                };
            }
            let needs_records = self.state.borrow().voter.needs_records();
            let pause = if needs_records {
                read_pause
            } else {
                IDLE_INTERVAL
            };
            compio::time::sleep(pause).await;
        }
    }

    fn forget_expired(&self) {
        let retention = self.retention();
        let now = Instant::now();
        let mut claims = self.claims.borrow_mut();
        claims.forget_expired(now, retention.record);
        let mut state = self.state.borrow_mut();
        state.key_issuer.forget_expired(now, retention);
        state.archives.forget_expired(now);
        state.voter.grants.forget_all_expired(now);
    }

    /// Reads the records of the other voters, and establishes the next set if this
    /// suffices.
    async fn synchronise(self: &Rc<Self>) {
        let Some(target) = self.state.borrow().voter.view().cloned() else {
            return;
        };
        let mut peer_states = Vec::new();
        let mut contacted = Vec::new();
        let mut remaining = self.known_members();
        while !remaining.is_empty() {
            let reads = remaining
                .iter()
                .map(|peer| self.read_records(peer, &target));
            let read = join_all(reads).await;
            peer_states.extend(read.into_iter().flatten());
            contacted.append(&mut remaining);
            remaining = self.known_members();
            let sets = self.established_sets(&peer_states);
            remaining.extend(sets.into_iter().flat_map(|set| set.members));
            remaining.sort_unstable();
            remaining.dedup();
            remaining.retain(|peer| !contacted.contains(peer) && !self.is_self(peer));
        }
        let superseded = self.state.borrow().voter.revision() != target.revision;
        if !superseded && self.is_in_force(&target, &peer_states) {
            self.state.borrow_mut().voter.mark_in_force();
        }
        let next = if superseded {
            None
        } else {
            self.next_set(&peer_states)
        };
        if let Some(next) = next {
            self.state.borrow_mut().voter.establish(&next);
        }
    }

    /// Next set in which this daemon may become established; `None` when the records
    /// that were read don't suffice for any.
    fn next_set(&self, peer_states: &[PeerState]) -> Option<VoterSet> {
        let known = self.established_sets(peer_states);
        let state = self.state.borrow();
        let own_revision = state.voter.established().map_or(0, |own| own.revision);
        let pending = state.voter.pending();
        for base in known.iter().filter(|base| base.revision >= own_revision) {
            let is_own = state.voter.established() == Some(base);
            if !is_own && self.knows_former_votes(base, peer_states) {
                return Some(base.clone());
            }
            // No set may be skipped, so the next one is the oldest of all known sets.
            let later =
                |set: &&VoterSet| set.revision > base.revision && !set.has_same_members(base);
            let candidates = pending.iter().chain(&known).filter(later);
            let Some(next) = candidates.min_by_key(|set| set.revision) else {
                continue;
            };
            if self.is_majority_read(base, peer_states)
                && self.knows_former_votes(next, peer_states)
            {
                return Some(next.clone());
            }
        }
        None
    }

    /// Whether the votes of this daemon's former incarnations in `set` are known or no
    /// longer count.
    fn knows_former_votes(&self, set: &VoterSet, peer_states: &[PeerState]) -> bool {
        let own_instance = &self.options.process.instance;
        if !set.contains(own_instance) || self.state.borrow().voter.is_seated() {
            return true;
        }
        let others = peer_states
            .iter()
            .filter(|peer| set.contains(&peer.instance));
        others.filter(|peer| peer.is_seated).count() >= set.majority()
    }

    /// Other members of the established, the pending and the newest set.
    fn known_members(&self) -> Vec<InstanceId> {
        let state = self.state.borrow();
        let voter = &state.voter;
        let sets = voter
            .pending()
            .iter()
            .chain(voter.view())
            .chain(voter.established());
        let mut members: Vec<InstanceId> = sets
            .flat_map(|set| set.members.iter().cloned())
            .filter(|member| !self.is_self(member))
            .collect();
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Whether `target` is known to be in force, see [`crate::voter`].
    fn is_in_force(&self, target: &VoterSet, peer_states: &[PeerState]) -> bool {
        let members = || {
            peer_states
                .iter()
                .filter(|peer| target.contains(&peer.instance))
        };
        let established = |peer: &PeerState| {
            let set = peer.established.as_ref();
            set.is_some_and(|set| set.has_same_members(target))
        };
        if members().any(established) {
            return true;
        }
        let state = self.state.borrow();
        let own = state.voter.is_first_set() && target.contains(&self.options.process.instance);
        let others = members().filter(|peer| peer.is_first_set).count();
        own && others + 1 >= target.majority()
    }

    /// Sets in which this daemon or a peer that was read is established, newest
    /// first.
    fn established_sets(&self, peer_states: &[PeerState]) -> Vec<VoterSet> {
        let state = self.state.borrow();
        let others = peer_states
            .iter()
            .filter_map(|peer| peer.established.as_ref());
        let mut sets: Vec<VoterSet> = others.chain(state.voter.established()).cloned().collect();
        sets.sort_by_key(|set| Reverse(set.revision));
        sets.dedup();
        sets
    }

    /// Whether a majority of `base` was read whose members know what ran in it.
    fn is_majority_read(&self, base: &VoterSet, peer_states: &[PeerState]) -> bool {
        let knows = |established: Option<&VoterSet>| {
            established
                .is_some_and(|set| set.has_same_members(base) || set.revision >= base.revision)
        };
        let state = self.state.borrow();
        let own_instance = &self.options.process.instance;
        let own = base.contains(own_instance) && knows(state.voter.established());
        let others = peer_states
            .iter()
            .filter(|peer| base.contains(&peer.instance) && knows(peer.established.as_ref()));
        others.count() + usize::from(own) >= base.majority()
    }

    /// Reads all records of `peer`; `None` when not all pages could be read.
    async fn read_records(
        self: &Rc<Self>,
        peer: &InstanceId,
        target: &VoterSet,
    ) -> Option<PeerState> {
        let first = self.read_page(peer, target, None).await?;
        let peer_state = PeerState {
            instance: peer.clone(),
            established: first.established.clone(),
            is_seated: first.is_seated,
            is_first_set: first.is_first_set && first.view.has_same_members(target),
        };
        let incarnation = first.process.incarnation;
        let mut page = first;
        loop {
            let last = self.apply_page(&page);
            if !page.more {
                return Some(peer_state);
            }
            page = self.read_page(peer, target, last).await?;
            if page.process.incarnation != incarnation {
                return None;
            }
        }
    }

    async fn read_page(
        self: &Rc<Self>,
        peer: &InstanceId,
        target: &VoterSet,
        after: Option<OrderKey>,
    ) -> Option<Page> {
        let request = Request::Synchronise {
            process: self.options.process.clone(),
            target: target.clone(),
            after,
        };
        match self.call(peer, &request).await {
            Ok(Reply::Page(page)) if page.process.instance == *peer => Some(*page),
            _ => None,
        }
    }

    /// Applies a page and returns its last key.
    fn apply_page(&self, page: &Page) -> Option<OrderKey> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.voter.learn_set(&page.view);
        for set in &page.pending {
            state.voter.learn_set(set);
        }
        for (order, entry) in &page.entries {
            state.voter.grants.merge(order, entry.clone(), now);
        }
        page.entries.last().map(|(order, _)| order.clone())
    }
}
