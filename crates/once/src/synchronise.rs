//! How a voter comes to know what it must before it votes.
//!
//! Reading fences: a daemon that is asked for its records takes the reader's set
//! over first, and so votes in no earlier one. A voter becomes established in a
//! set *N* when it knows two things.
//!
//! **What ran, or may yet run, in sets before N.** Either it read a daemon that is
//! established in N, which knows that much. Or it read a majority of the set
//! before N, from members that are established in that one or later:
//! - A claim that ran there had the votes of a majority of it. The two majorities
//!   share a member: it voted before it was fenced, then the reader has the
//!   record, or it refused.
//! - Whoever became established in a set in between fenced a majority of the same
//!   set, so that the shared member names it, and the reader takes the sets one
//!   after the other.
//!
//! **What its own former lives voted in N.** Nothing, when this life was already
//! seated (see [`crate::seat::Seat::is_seated`]) or is no member of N. Otherwise
//! it read a majority of N without itself, from seated members. A claim that
//! counts a vote of its former life has the votes of a majority less one among
//! the others, which shares a member with those that were read. That member voted
//! before the reading, then the reader has the record, or its vote names the
//! reader's new life and the former vote counts no longer (see
//! [`crate::fence::counted`]).
//!
//! So when more voters are new at once than a majority less one, the new ones
//! wait for the window or for an operator's word: nobody can tell them from
//! former voters that lost their memory.
//!
//! Every daemon that is or was about to be a voter takes these steps.

use std::cmp::Reverse;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::key::OrderKey;
use crate::message::{Page, Reply, Request};
use crate::view::VoterSet;

const IDLE_INTERVAL: Duration = Duration::from_millis(100);
const SWEEP_INTERVAL: Duration = Duration::from_secs(5);

/// Longest pause between two readings of all voters while nothing comes of
/// them: until the window has passed, say, after a majority lost its memory.
const READ_INTERVAL_CAP: Duration = Duration::from_secs(1);

/// What one daemon gave.
struct Dump {
    instance: InstanceId,
    /// Set in which it was established when it was fenced.
    established: Option<VoterSet>,
    is_seated: bool,
    /// Whether the reader's set is the first of its life.
    is_first_set: bool,
}

impl Core {
    /// Keeps records fit for voting, for as long as it is polled.
    pub(crate) async fn maintain(self: Rc<Self>) {
        let mut swept_at = Instant::now();
        let mut read_pause = self.options.poll_interval;
        loop {
            if swept_at.elapsed() >= SWEEP_INTERVAL {
                self.forget_expired();
                swept_at = Instant::now();
            }
            self.establish_by_rule();
            let wanting = self.state.borrow().seat.wants_records();
            if wanting {
                let before = self.state.borrow().seat.progress();
                self.synchronise().await;
                let is_further = self.state.borrow().seat.progress() != before;
                read_pause = if is_further {
                    self.options.poll_interval
                } else {
                    (read_pause * 2).min(READ_INTERVAL_CAP)
                };
            }
            let wanting = self.state.borrow().seat.wants_records();
            let pause = if wanting { read_pause } else { IDLE_INTERVAL };
            compio::time::sleep(pause).await;
        }
    }

    fn forget_expired(&self) {
        let keep = self.keep();
        let now = Instant::now();
        let mut claims = self.claims.borrow_mut();
        claims.forget_expired(now, keep.record);
        let mut state = self.state.borrow_mut();
        state.mint.forget_expired(now, keep);
        state.archives.forget_expired(now);
        state.seat.ballots.forget_all_expired(now);
    }

    /// Takes one step, when a majority can be read.
    async fn synchronise(self: &Rc<Self>) {
        let Some(target) = self.state.borrow().seat.view().cloned() else {
            return;
        };
        let mut dumps = Vec::new();
        let mut asked = Vec::new();
        let mut wanted = self.members_known();
        while !wanted.is_empty() {
            let reads = wanted.iter().map(|peer| self.read_records(peer, &target));
            let read = join_all(reads).await;
            dumps.extend(read.into_iter().flatten());
            asked.append(&mut wanted);
            wanted = self.members_known();
            let sets = self.established_sets(&dumps);
            wanted.extend(sets.into_iter().flat_map(|set| set.members));
            wanted.sort_unstable();
            wanted.dedup();
            wanted.retain(|peer| !asked.contains(peer) && !self.is_me(peer));
        }
        let overtaken = self.state.borrow().seat.revision() != target.revision;
        if !overtaken && self.is_in_force(&target, &dumps) {
            self.state.borrow_mut().seat.note_in_force();
        }
        let next = if overtaken {
            None
        } else {
            self.next_set(&dumps)
        };
        if let Some(next) = next {
            self.state.borrow_mut().seat.establish(&next);
        }
    }

    /// Newest set that this daemon may become established in.
    fn next_set(&self, dumps: &[Dump]) -> Option<VoterSet> {
        let known = self.established_sets(dumps);
        let state = self.state.borrow();
        let own_revision = state.seat.established().map_or(0, |own| own.revision);
        let pending = state.seat.pending();
        for base in known.iter().filter(|base| base.revision >= own_revision) {
            let is_own = state.seat.established() == Some(base);
            if !is_own && self.knows_former_votes(base, dumps) {
                return Some(base.clone());
            }
            // No set may be passed over, so the next is sought among all known.
            let later = |set: &&VoterSet| set.revision > base.revision && !set.same_members(base);
            let candidates = pending.iter().chain(&known).filter(later);
            let Some(next) = candidates.min_by_key(|set| set.revision) else {
                continue;
            };
            if self.is_majority_read(base, dumps) && self.knows_former_votes(next, dumps) {
                return Some(next.clone());
            }
        }
        None
    }

    /// Whether votes of this daemon's former lives in `set` are known or void.
    fn knows_former_votes(&self, set: &VoterSet, dumps: &[Dump]) -> bool {
        let me = &self.options.process.instance;
        if !set.has(me) || self.state.borrow().seat.is_seated() {
            return true;
        }
        let others = dumps.iter().filter(|dump| set.has(&dump.instance));
        others.filter(|dump| dump.is_seated).count() >= set.majority()
    }

    /// Other members of every set that this voter has yet to pass.
    fn members_known(&self) -> Vec<InstanceId> {
        let state = self.state.borrow();
        let seat = &state.seat;
        let sets = seat
            .pending()
            .iter()
            .chain(seat.view())
            .chain(seat.established());
        let mut members: Vec<InstanceId> = sets
            .flat_map(|set| set.members.iter().cloned())
            .filter(|member| !self.is_me(member))
            .collect();
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Whether `target` is known to be in force, see [`crate::seat`].
    fn is_in_force(&self, target: &VoterSet, dumps: &[Dump]) -> bool {
        let members = || dumps.iter().filter(|dump| target.has(&dump.instance));
        let established = |dump: &Dump| {
            let set = dump.established.as_ref();
            set.is_some_and(|set| set.same_members(target))
        };
        if members().any(established) {
            return true;
        }
        let state = self.state.borrow();
        let own = state.seat.is_first_set() && target.has(&self.options.process.instance);
        let others = members().filter(|dump| dump.is_first_set).count();
        own && others + 1 >= target.majority()
    }

    /// Sets in which this daemon or one that was read is established, the newest
    /// first.
    fn established_sets(&self, dumps: &[Dump]) -> Vec<VoterSet> {
        let state = self.state.borrow();
        let others = dumps.iter().filter_map(|dump| dump.established.as_ref());
        let mut sets: Vec<VoterSet> = others.chain(state.seat.established()).cloned().collect();
        sets.sort_by_key(|set| Reverse(set.revision));
        sets.dedup();
        sets
    }

    /// Whether a majority of `base` was read that knows what ran in it.
    fn is_majority_read(&self, base: &VoterSet, dumps: &[Dump]) -> bool {
        let knows = |established: Option<&VoterSet>| {
            established.is_some_and(|set| set.same_members(base) || set.revision >= base.revision)
        };
        let state = self.state.borrow();
        let me = &self.options.process.instance;
        let own = base.has(me) && knows(state.seat.established());
        let others = dumps
            .iter()
            .filter(|dump| base.has(&dump.instance) && knows(dump.established.as_ref()));
        others.count() + usize::from(own) >= base.majority()
    }

    /// All records of `peer`; `None` when it can't be read whole.
    async fn read_records(self: &Rc<Self>, peer: &InstanceId, target: &VoterSet) -> Option<Dump> {
        let first = self.read_page(peer, target, None).await?;
        let dump = Dump {
            instance: peer.clone(),
            established: first.established.clone(),
            is_seated: first.is_seated,
            is_first_set: first.is_first_set && first.view.same_members(target),
        };
        let incarnation = first.process.incarnation;
        let mut page = first;
        loop {
            let last = self.take_page(&page);
            if !page.more {
                return Some(dump);
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

    /// Takes a page over; tells its last key.
    fn take_page(&self, page: &Page) -> Option<OrderKey> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.seat.hear_of(&page.view);
        for set in &page.pending {
            state.seat.hear_of(set);
        }
        for (order, entry) in &page.entries {
            state.seat.ballots.merge(order, entry.clone(), now);
        }
        page.entries.last().map(|(order, _)| order.clone())
    }
}
