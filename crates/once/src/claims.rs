//! The claims of this process and the permits to run that they lead to.
//!
//! A claim's phase only moves forward:
//!
//! ```text
//! gathering ─► permitted ─► begun ─► settled
//!     └────────────┴──────────┴────► released
//! ```
//!
//! Invariant *at most once*: a claim is permitted at most once, begun at most
//! once, and neither after its release. A begun claim is released only when its
//! run reports that it sent no byte. A violation is refused, counted and logged.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use thiserror::Error;

use crate::ids::{ClaimId, Process};
use crate::message::ClaimAnswer;
use crate::outcome::Record;

#[derive(Debug, Clone)]
enum Phase {
    Gathering,
    Permitted,
    Begun,
    Released,
    Settled(Record),
}

#[derive(Debug)]
struct Claim {
    phase: Phase,
    opened_at: Instant,
}

/// Claims of this process, by counter.
#[derive(Debug)]
pub(crate) struct Claims {
    process: Process,
    next: u64,
    table: BTreeMap<u64, Claim>,
    max_records: usize,
    violations: u64,
}

/// A phase transition that would violate the at-most-once invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the claim's phase does not allow this transition")]
pub(crate) struct Violation;

impl Claims {
    pub(crate) fn new(process: Process, max_records: usize) -> Self {
        Self {
            process,
            next: 0,
            table: BTreeMap::new(),
            max_records,
            violations: 0,
        }
    }

    pub(crate) fn violations(&self) -> u64 {
        self.violations
    }

    pub(crate) fn open_count(&self) -> usize {
        let open = |claim: &&Claim| !claim.phase.has_ended();
        self.table.values().filter(open).count()
    }

    /// Opens a claim; `None` when too many claims are kept and none has ended.
    pub(crate) fn open(&mut self, now: Instant) -> Option<ClaimId> {
        if self.table.len() >= self.max_records && !self.evict_oldest_ended() {
            return None;
        }
        let counter = self.next;
        self.next += 1;
        let phase = Phase::Gathering;
        self.table.insert(
            counter,
            Claim {
                phase,
                opened_at: now,
            },
        );
        Some(ClaimId {
            process: self.process.clone(),
            counter,
        })
    }

    pub(crate) fn permit(&mut self, counter: u64) -> Result<(), Violation> {
        self.transition(counter, |phase| match phase {
            Phase::Gathering => Some(Phase::Permitted),
            _ => None,
        })
    }

    fn begin(&mut self, counter: u64) -> Result<(), Violation> {
        self.transition(counter, |phase| match phase {
            Phase::Permitted => Some(Phase::Begun),
            _ => None,
        })
    }

    /// Releases the claim: it will never run.
    pub(crate) fn release(&mut self, counter: u64) -> Result<(), Violation> {
        self.transition(counter, |phase| match phase {
            Phase::Gathering | Phase::Permitted | Phase::Begun => Some(Phase::Released),
            Phase::Released => Some(Phase::Released),
            Phase::Settled(_) => None,
        })
    }

    pub(crate) fn settle(&mut self, counter: u64, record: Record) -> Result<(), Violation> {
        self.transition(counter, |phase| match phase {
            // A run of unknown outcome counts as run, even if it never called `begin`.
            Phase::Permitted | Phase::Begun => Some(Phase::Settled(record)),
            _ => None,
        })
    }

    /// Counts a violation when a run was answered without having begun.
    pub(crate) fn check_begun(&mut self, counter: u64) {
        if !self.has_begun(counter) {
            self.violations += 1;
            log::error!(
                "once: invariant at_most_once: claim {counter} was answered without having begun"
            );
        }
    }

    pub(crate) fn has_begun(&self, counter: u64) -> bool {
        let claim = self.table.get(&counter);
        matches!(claim.map(|claim| &claim.phase), Some(Phase::Begun))
    }

    pub(crate) fn has_ended(&self, counter: u64) -> bool {
        let claim = self.table.get(&counter);
        claim.is_none_or(|claim| claim.phase.has_ended())
    }

    /// Status of `claim`, for another process that asks.
    pub(crate) fn status_of(&self, claim: &ClaimId) -> ClaimAnswer {
        if claim.process != self.process {
            return ClaimAnswer::Forgotten;
        }
        let found = self.table.get(&claim.counter);
        match found.map(|claim| &claim.phase) {
            Some(Phase::Gathering | Phase::Permitted | Phase::Begun) => ClaimAnswer::Busy,
            Some(Phase::Released) => ClaimAnswer::Released,
            Some(Phase::Settled(record)) => ClaimAnswer::Settled(record.clone()),
            None => ClaimAnswer::Forgotten,
        }
    }

    pub(crate) fn forget_expired(&mut self, now: Instant, retention: Duration) {
        self.table.retain(|_, claim| {
            !claim.phase.has_ended() || now.saturating_duration_since(claim.opened_at) < retention
        });
    }

    fn evict_oldest_ended(&mut self) -> bool {
        let mut claims = self.table.iter();
        let oldest = claims.find(|(_, claim)| claim.phase.has_ended());
        let Some(counter) = oldest.map(|(counter, _)| *counter) else {
            return false;
        };
        self.table.remove(&counter).is_some()
    }

    fn transition(
        &mut self,
        counter: u64,
        to: impl FnOnce(&Phase) -> Option<Phase>,
    ) -> Result<(), Violation> {
        let claim = self.table.get_mut(&counter);
        if let Some(claim) = claim
            && let Some(next) = to(&claim.phase)
        {
            claim.phase = next;
            return Ok(());
        }
        self.violations += 1;
        log::error!("once: invariant at_most_once: claim {counter} refused a phase transition");
        Err(Violation)
    }
}

impl Phase {
    fn has_ended(&self) -> bool {
        matches!(self, Self::Released | Self::Settled(_))
    }
}

/// Permission to run one order; only this crate creates it, once for each claim.
///
/// [`RunPermit::begin`] turns it into [`Begun`] immediately before the first byte
/// is sent.
#[derive(Debug)]
pub struct RunPermit {
    pub(crate) claims: Rc<RefCell<Claims>>,
    pub(crate) counter: u64,
    pub(crate) start_before: Instant,
}

/// Proof that a run was allowed to begin; required to send a non-repeatable
/// order.
#[derive(Debug)]
pub struct Begun(());

/// The run may no longer begin; its closure reports
/// [`crate::RunOutcome::NotStarted`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BeginError {
    /// More than the limit for the start of a run passed since the claim opened.
    #[error("too much time passed since the claim")]
    TooLate,
    /// The claim was released or its call was cancelled.
    #[error("the claim was released")]
    Released,
}

impl RunPermit {
    /// Begins the run. Must be called immediately before the first byte is sent,
    /// with no await point in between.
    ///
    /// # Errors
    /// [`BeginError`] when the order must not be sent any more.
    pub fn begin(self) -> Result<Begun, BeginError> {
        if Instant::now() > self.start_before {
            return Err(BeginError::TooLate);
        }
        let mut claims = self.claims.borrow_mut();
        if claims.has_ended(self.counter) {
            return Err(BeginError::Released);
        }
        let begun = claims.begin(self.counter);
        begun
            .map(|()| Begun(()))
            .map_err(|Violation| BeginError::Released)
    }
}
