//! How a voter comes to know what it must before it votes.
//!
//! Let `base` be the newest set in which any daemon is established. A voter reads
//! the records of a majority of `base`, from members that are established in it,
//! and becomes established in the set that follows `base`. Reading fences: each
//! member asked takes over the reader's set, and so votes in none before it.
//!
//! - *Another set.* A claim that ran under `base` had the votes of a majority of
//!   it. That majority and the one that was read share a member: either it voted
//!   before it was fenced, then the reader has the record, or it refused.
//! - *A set in between.* Whoever was established in it fenced a majority of
//!   `base` too, so a member of the reader's majority names it, and the reader
//!   takes the sets one after the other.
//! - *The same set, after a restart.* The reader counts a majority without
//!   itself. A claim that counts a vote of its earlier life has the votes of a
//!   majority less one among the others, which shares a member with the one that
//!   was read. Either that member voted before the reading, then the reader has
//!   the record, or its vote names the reader's new life and the old vote counts
//!   no longer (see [`crate::seat::counted`]).
//!
//! Every daemon that is or was about to be a voter takes these steps.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join_all;
use mangofront_settings::ids::InstanceId;

use crate::core::Core;
use crate::key::OrderKey;
use crate::message::{Page, Reply, Request};
use crate::view::VoterSet;

const IDLE_INTERVAL: Duration = Duration::from_millis(100);

/// What one daemon gave.
struct Dump {
    instance: InstanceId,
    /// Set in which it was established when it was fenced.
    established: Option<VoterSet>,
}

impl Core {
    /// Keeps records fit for voting, for as long as it is polled.
    pub(crate) async fn maintain(self: Rc<Self>) {
        loop {
            self.forget_expired();
            let rules = self.voting_rules();
            let now = Instant::now();
            let wanting = {
                let mut state = self.state.borrow_mut();
                state.seat.establish_by_rule(rules, now);
                state.seat.wants_records()
            };
            if wanting {
                self.synchronise().await;
            }
            let wanting = self.state.borrow().seat.wants_records();
            let pause = if wanting {
                self.options.poll_interval
            } else {
                IDLE_INTERVAL
            };
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
            wanted.extend(self.base(&dumps).map_or_else(Vec::new, |base| base.members));
            wanted.sort_unstable();
            wanted.dedup();
            wanted.retain(|peer| !asked.contains(peer) && !self.is_me(peer));
        }
        let overtaken = self.state.borrow().seat.revision() != target.revision;
        let Some(base) = self.base(&dumps) else {
            return;
        };
        if !overtaken && self.is_majority_read(&base, &dumps) {
            self.state.borrow_mut().seat.establish_after(&base);
        }
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

    /// Newest set in which this daemon or one that was read is established.
    fn base(&self, dumps: &[Dump]) -> Option<VoterSet> {
        let state = self.state.borrow();
        let others = dumps.iter().filter_map(|dump| dump.established.as_ref());
        let sets = others.chain(state.seat.established());
        sets.max_by_key(|set| set.revision).cloned()
    }

    fn is_majority_read(&self, base: &VoterSet, dumps: &[Dump]) -> bool {
        let knows = |established: Option<&VoterSet>| {
            established.is_some_and(|established| established.same_members(base))
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
