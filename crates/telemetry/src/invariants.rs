//! Invariants that are checked at run time in every build.
//!
//! A violated invariant is counted, logged with its detail and exported as a
//! metric. In tests and long randomised runs it also aborts the process, so that
//! the faulty state can be inspected.
//!
//! The counts and the flag are static, so that any component can check an
//! invariant without being given a handle, and so that all components embedded
//! in one process share one count of violations.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

/// An invariant of the system.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Invariant {
    /// An admitted request finishes or fails within the time limit of its class.
    RequestWithinClassTime,
    /// Engine memory of finished or cancelled requests becomes available again.
    MemoryReturned,
    /// A caller gets the complete answer to its own request and nothing else.
    OwnAnswerOnly,
    /// A request that is reported as not run was not run.
    NotRunTrue,
    /// A non-repeatable order runs at most once.
    AtMostOnce,
    /// A leaving upstream gets no new requests after a few seconds.
    LeavingGetsNoWork,
    /// A graceful shutdown cuts off no request in progress.
    StopCutsNothing,
    /// The revision of an accepted configuration or instance list never decreases.
    ConfigurationFloor,
}

/// Number of invariants.
const COUNT: usize = Invariant::ALL.len();

/// Number of violations of each invariant, in the order of [`Invariant::ALL`].
static VIOLATIONS: [AtomicU64; COUNT] = [const { AtomicU64::new(0) }; COUNT];

/// Whether a violation aborts the process.
static FATAL: AtomicBool = AtomicBool::new(false);

impl Invariant {
    /// All invariants, in the order of their declaration.
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

/// Sets whether a violation aborts the process; by default it does not.
pub fn set_fatal(fatal: bool) {
    FATAL.store(fatal, Ordering::Relaxed);
}

/// Reports a violation of `invariant` unless `holds`; returns `holds`, so that a caller
/// can also record the violation in the audit trail.
///
/// `detail` is called only for a violation. After `set_fatal(true)` a violation
/// aborts the process.
pub fn check(invariant: Invariant, holds: bool, detail: impl FnOnce() -> String) -> bool {
    if !holds {
        report_violation(invariant, &detail());
    }
    holds
}

/// Number of violations of each invariant in this process.
#[must_use]
pub fn violations() -> [(Invariant, u64); COUNT] {
    Invariant::ALL.map(|invariant| {
        let count = VIOLATIONS[invariant as usize].load(Ordering::Relaxed);
        (invariant, count)
    })
}

#[cold]
fn report_violation(invariant: Invariant, detail: &str) {
    VIOLATIONS[invariant as usize].fetch_add(1, Ordering::Relaxed);
    let name = invariant.name();
    log::error!("invariants: {name} is broken: {detail}");
    if FATAL.load(Ordering::Relaxed) {
        // The log may not be set up, or its level may filter out errors.
        eprintln!("invariants: {name} is broken: {detail}; the process ends");
        std::process::abort();
    }
}
