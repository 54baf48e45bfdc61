//! The claims that this process makes, and the permits they lead to.
//!
//! A claim's phase only moves forward:
//!
//! ```text
//! gathering ─► permitted ─► begun ─► settled
//!     └────────────┴──────────┴────► released
//! ```
//!
//! Invariant *at most once*: a claim is permitted at most once, begun at most
//! once, and neither after its release. A release after the beginning is for a
//! run that reports that it sent no byte. A breach is refused, counted and
//! logged.

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
    made: Instant,
}

/// Claims of this process by counter.
#[derive(Debug)]
pub(crate) struct Claims {
    process: Process,
    next: u64,
    table: BTreeMap<u64, Claim>,
    max_records: usize,
    violations: u64,
}

/// The at-most-once invariant was about to be broken.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("a claim may not do this in its phase")]
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
        let open = |claim: &&Claim| !claim.phase.is_over();
        self.table.values().filter(open).count()
    }

    /// Opens a claim; `None` when there are too many.
    pub(crate) fn open(&mut self, now: Instant) -> Option<ClaimId> {
        if self.table.len() >= self.max_records && !self.forget_oldest_over() {
            return None;
        }
        let counter = self.next;
        self.next += 1;
        let phase = Phase::Gathering;
        self.table.insert(counter, Claim { phase, made: now });
        Some(ClaimId {
            process: self.process.clone(),
            counter,
        })
    }

    pub(crate) fn permit(&mut self, counter: u64) -> Result<(), Violation> {
        self.step(counter, |phase| match phase {
            Phase::Gathering => Some(Phase::Permitted),
            _ => None,
        })
    }

    fn begin(&mut self, counter: u64) -> Result<(), Violation> {
        self.step(counter, |phase| match phase {
            Phase::Permitted => Some(Phase::Begun),
            _ => None,
        })
    }

    /// The claim will never run.
    pub(crate) fn release(&mut self, counter: u64) -> Result<(), Violation> {
        self.step(counter, |phase| match phase {
            Phase::Gathering | Phase::Permitted | Phase::Begun => Some(Phase::Released),
            Phase::Released => Some(Phase::Released),
            Phase::Settled(_) => None,
        })
    }

    pub(crate) fn settle(&mut self, counter: u64, record: Record) -> Result<(), Violation> {
        self.step(counter, |phase| match phase {
            // A run that can't tell counts as one, whether it said so or not.
            Phase::Permitted | Phase::Begun => Some(Phase::Settled(record)),
            _ => None,
        })
    }

    pub(crate) fn has_begun(&self, counter: u64) -> bool {
        let claim = self.table.get(&counter);
        matches!(claim.map(|claim| &claim.phase), Some(Phase::Begun))
    }

    pub(crate) fn is_over(&self, counter: u64) -> bool {
        let claim = self.table.get(&counter);
        claim.is_none_or(|claim| claim.phase.is_over())
    }

    /// This process's word on `claim`.
    pub(crate) fn answer(&self, claim: &ClaimId) -> ClaimAnswer {
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

    pub(crate) fn forget_expired(&mut self, now: Instant, keep: Duration) {
        self.table.retain(|_, claim| {
            !claim.phase.is_over() || now.saturating_duration_since(claim.made) < keep
        });
    }

    fn forget_oldest_over(&mut self) -> bool {
        let mut claims = self.table.iter();
        let oldest = claims.find(|(_, claim)| claim.phase.is_over());
        let Some(counter) = oldest.map(|(counter, _)| *counter) else {
            return false;
        };
        self.table.remove(&counter).is_some()
    }

    fn step(
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
        log::error!("once: invariant at_most_once: claim {counter} refused a step");
        Err(Violation)
    }
}

impl Phase {
    fn is_over(&self) -> bool {
        matches!(self, Self::Released | Self::Settled(_))
    }
}

/// Right to run one order, made by this crate alone, once for each claim.
///
/// It has to be turned into [`Begun`] immediately before the first byte.
#[derive(Debug)]
pub struct RunPermit {
    pub(crate) claims: Rc<RefCell<Claims>>,
    pub(crate) counter: u64,
    pub(crate) start_before: Instant,
}

/// Proof that a run was allowed to begin; whoever sends a non-repeatable order
/// asks for one.
#[derive(Debug)]
pub struct Begun(());

/// The run may no longer begin; report [`crate::RunOutcome::NotStarted`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BeginError {
    /// The claim is older than the limit for its start.
    #[error("too much time passed since the claim")]
    TooLate,
    /// The claim was released, or its call given up.
    #[error("the claim was released")]
    Released,
}

impl RunPermit {
    /// Begins the run. To be called immediately before the first byte is sent,
    /// with nothing awaited in between.
    ///
    /// # Errors
    /// [`BeginError`] when no byte may be sent any more.
    pub fn begin(self) -> Result<Begun, BeginError> {
        if Instant::now() > self.start_before {
            return Err(BeginError::TooLate);
        }
        let mut claims = self.claims.borrow_mut();
        if claims.is_over(self.counter) {
            return Err(BeginError::Released);
        }
        let begun = claims.begin(self.counter);
        begun
            .map(|()| Begun(()))
            .map_err(|Violation| BeginError::Released)
    }
}
