//! Invariants, checked in every build and at all times.
//!
//! A broken invariant is counted, logged with its detail and exported as a
//! metric. In tests and long randomised runs it also ends the process, so that
//! the state at fault is still there to be looked at.
//!
//! The counts are the crate's only process-wide state: one static array of
//! atomics and one flag. A check must be possible in any part without a handle
//! being passed down to it, and several embedded parts in one process share
//! one answer to "did anything ever break here".

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// One invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// An admitted request finishes or fails within its class's time.
    RequestWithinClassTime,
    /// Memory of finished or cancelled work becomes usable again.
    MemoryReturned,
    /// A caller gets the whole answer to its own request and nothing else.
    OwnAnswerOnly,
    /// What is told as not run did not run.
    NotRunTrue,
    /// A non-repeatable order runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new work after a few seconds.
    LeavingGetsNoWork,
    /// A graceful shutdown cuts off no request in progress.
    StopCutsNothing,
    /// The revision of the accepted configuration never falls.
    ConfigurationFloor,
}

/// Number of invariants.
const COUNT: usize = Invariant::ALL.len();

/// Times that each invariant was broken, in the order of [`Invariant::ALL`].
static VIOLATIONS: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];

/// Whether a broken invariant ends the process.
static FATAL: AtomicBool = AtomicBool::new(false);

impl Invariant {
    /// Every invariant, in the order of the declaration.
    pub const ALL: [Self; 8] = [
        Self::RequestWithinClassTime,
        Self::MemoryReturned,
        Self::OwnAnswerOnly,
        Self::NotRunTrue,
        Self::AtMostOnce,
        Self::LeavingGetsNoWork,
        Self::StopCutsNothing,
        Self::ConfigurationFloor,
    ];

    /// Name in metrics, logs and the audit trail.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::RequestWithinClassTime => "request_within_class_time",
            Self::MemoryReturned => "memory_returned",
            Self::OwnAnswerOnly => "own_answer_only",
            Self::NotRunTrue => "not_run_true",
            Self::AtMostOnce => "at_most_once",
            Self::LeavingGetsNoWork => "leaving_gets_no_work",
            Self::StopCutsNothing => "stop_cuts_nothing",
            Self::ConfigurationFloor => "configuration_floor",
        }
    }
}

/// Sets whether a broken invariant ends the process; it doesn't by default.
pub fn set_fatal(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}

/// Checks that `invariant` holds; returns `holds`, so that a caller can also
/// record the fault in the audit trail.
///
/// `detail` is called only when it does not hold. With [`set_fatal`] the
/// process then aborts.
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) -> bool {
    if !holds {
        report(invariant, &detail());
    }
    holds
}

/// Times that each invariant was broken in this process.
#[must_use]
pub fn violations() -> [(Invariant, u64); COUNT] {
    Invariant::ALL.map(|invariant| {
        let count = VIOLATIONS[invariant as usize].load(Ordering::Relaxed);
        (invariant, count)
    })
}

#[cold]
fn report(invariant: Invariant, detail: &str) {
    VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    let name = invariant.name();
    log::error!("invariants: {name} is broken: {detail}");
    if FATAL.load(Ordering::Relaxed) {
        // The log may not be set up, or may drop this level.
        eprintln!("invariants: {name} is broken: {detail}; the process ends");
        std::process::abort();
    }
}
