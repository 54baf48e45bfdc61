//! Queue of one lane's waiting requests.
//!
//! Among classes, the one with the earliest latest start at the head of an
//! organisation's queue is served first. Within a class, organisations are
//! served by deficit round robin over their prompts' tokens, so that an
//! organisation with many or long prompts gets no more than one with few short
//! prompts while both wait.

use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

use futures_channel::oneshot;
use mangofront_settings::ids::{ClassName, OrganisationId};

use crate::request::Refusal;

/// Identifies a waiter; later waiters have higher numbers.
pub(crate) type WaiterId = u64;

/// Outcome of a wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QueueOutcome {
    /// The waiter owns a slot, which the lane counts as outstanding already.
    Granted,
    /// The waiter was removed from the queue.
    Refused(Refusal),
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiter {
    pub(crate) id: WaiterId,
    /// Tokens charged to its organisation.
    pub(crate) cost_tokens: u64,
    /// Latest time at which it can start to be served within its class's limit.
    pub(crate) latest_start: Instant,
    pub(crate) reply: oneshot::Sender<QueueOutcome>,
}

/// Waiters of one lane.
///
/// Invariants: `len` counts all waiters; every class and organisation in the
/// queue has at least one waiter.
#[derive(Debug)]
pub(crate) struct Queue {
    quantum_tokens: u64,
    len: usize,
    classes: BTreeMap<ClassName, ClassQueue>,
}

/// Organisations of one class, the next in turn first.
type ClassQueue = VecDeque<OrganisationQueue>;

#[derive(Debug)]
struct OrganisationQueue {
    organisation: OrganisationId,
    deficit_tokens: u64,
    waiters: VecDeque<Waiter>,
}

impl Queue {
    /// Creates a queue whose organisations get `quantum_tokens` per round.
    pub(crate) fn new(quantum_tokens: u64) -> Self {
        Self {
            quantum_tokens,
            len: 0,
            classes: BTreeMap::new(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.len
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len == 0
    }

    pub(crate) fn push(
        &mut self,
        class: &ClassName,
        organisation: &OrganisationId,
        waiter: Waiter,
    ) {
        let queues = self.classes.entry(class.clone()).or_default();
        self.len += 1;
        for queue in queues.iter_mut() {
            if queue.organisation == *organisation {
                queue.waiters.push_back(waiter);
                return;
            }
        }
        queues.push_back(OrganisationQueue {
            organisation: organisation.clone(),
            deficit_tokens: self.quantum_tokens,
            waiters: VecDeque::from([waiter]),
        });
    }

    /// Removes and returns the next waiter.
    pub(crate) fn pop(&mut self) -> Option<Waiter> {
        let heads = self
            .classes
            .iter()
            .map(|(class, queues)| (earliest_head(queues), class));
        let (_, class) = heads.min()?;
        let class = class.clone();
        let queues = self.classes.get_mut(&class)?;
        let waiter = pop_fair(queues, self.quantum_tokens)?;
        if queues.is_empty() {
            self.classes.remove(&class);
        }
        self.len -= 1;
        Some(waiter)
    }

    /// Removes a waiter by its number.
    pub(crate) fn remove(&mut self, id: WaiterId) -> Option<Waiter> {
        self.extract(|waiter| waiter.id == id).pop()
    }

    /// Removes all waiters whose latest start is before `now`.
    pub(crate) fn expire(&mut self, now: Instant) -> Vec<Waiter> {
        self.extract(|waiter| waiter.latest_start < now)
    }

    /// Removes all waiters.
    pub(crate) fn drain(&mut self) -> Vec<Waiter> {
        self.extract(|_| true)
    }

    /// Removes the newest waiter of the organisation with the most waiters, if it
    /// has more than `organisation` would have with one more.
    pub(crate) fn evict_for(&mut self, organisation: &OrganisationId) -> Option<Waiter> {
        let mut counts: BTreeMap<&OrganisationId, usize> = BTreeMap::new();
        for queue in self.classes.values().flatten() {
            *counts.entry(&queue.organisation).or_default() += queue.waiters.len();
        }
        let own = counts.get(organisation).copied().unwrap_or(0);
        let (largest, most) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        if most <= own + 1 {
            return None;
        }
        let queues = self.classes.values().flatten();
        let newest = queues
            .filter(|queue| queue.organisation == *largest)
            .filter_map(|queue| queue.waiters.back())
            .map(|waiter| waiter.id)
            .max()?;
        self.remove(newest)
    }

    fn extract(&mut self, mut should_extract: impl FnMut(&Waiter) -> bool) -> Vec<Waiter> {
        let mut extracted = Vec::new();
        for queues in self.classes.values_mut() {
            for queue in queues.iter_mut() {
                let waiters = std::mem::take(&mut queue.waiters).into_iter();
                let (removed, kept): (VecDeque<_>, _) = waiters.partition(&mut should_extract);
                queue.waiters = kept;
                extracted.extend(removed);
            }
            queues.retain(|queue| !queue.waiters.is_empty());
        }
        self.classes.retain(|_, queues| !queues.is_empty());
        self.len -= extracted.len();
        extracted
    }
}

fn earliest_head(queues: &ClassQueue) -> Option<Instant> {
    let heads = queues.iter().filter_map(|queue| queue.waiters.front());
    heads.map(|waiter| waiter.latest_start).min()
}

/// One step of deficit round robin.
fn pop_fair(queues: &mut ClassQueue, quantum_tokens: u64) -> Option<Waiter> {
    loop {
        let queue = queues.front_mut()?;
        let cost_tokens = queue.waiters.front().map(|waiter| waiter.cost_tokens)?;
        if queue.deficit_tokens < cost_tokens {
            queue.deficit_tokens += quantum_tokens;
            queues.rotate_left(1);
            continue;
        }
        queue.deficit_tokens -= cost_tokens;
        let waiter = queue.waiters.pop_front();
        if queue.waiters.is_empty() {
            queues.pop_front();
        }
        return waiter;
    }
}
