//! Retry policy of a request: whether and where it may be retried, and the outcome
//! of its failed attempts.
//!
//! Invariant: `may_have_run` is never reset to false; a request is reported as *not
//! run* only while it is false.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use mangofront_admission::{Admission, Backoff};
use mangofront_http::Outcome;
use mangofront_placement::EngineOutcome;
use mangofront_settings::ids::InstanceId;
use mangofront_upstream::{SendError, Step};

/// Maximum number of failures of one request.
const MAX_FAILURES: u32 = 5;

/// Upper limit of the backoff before the second attempt.
const FIRST_BACKOFF: Duration = Duration::from_millis(5);

/// Upper limit of the backoff before any attempt.
const MAX_BACKOFF: Duration = Duration::from_millis(200);

/// Upper limit of the first backoff after a group had no free memory.
const FIRST_GROUP_BACKOFF: Duration = Duration::from_millis(40);

/// Upper limit of any backoff after a group had no free memory.
const MAX_GROUP_BACKOFF: Duration = Duration::from_millis(500);

/// Failed attempts of a request.
#[derive(Debug)]
pub(super) struct Retries {
    backoff: Backoff,
    group_backoff: Backoff,
    /// Number of failed attempts, without those for which a group had no free
    /// memory, plus the times that excluded engines were readmitted and that silent
    /// attempts got a replacement.
    failures: u32,
    /// Whether any attempt may have run; shared with the attempts that start.
    may_have_run: Rc<Cell<bool>>,
    /// Engines at which this request failed or was silent since the excluded ones
    /// were last readmitted.
    excluded: Vec<InstanceId>,
}

impl Retries {
    /// State of a request without a failure.
    pub(super) fn new() -> Self {
        Self {
            backoff: Backoff::new(FIRST_BACKOFF, MAX_BACKOFF, rand::random()),
            group_backoff: Backoff::new(FIRST_GROUP_BACKOFF, MAX_GROUP_BACKOFF, rand::random()),
            failures: 0,
            may_have_run: Rc::default(),
            excluded: Vec::new(),
        }
    }

    /// Engines to exclude from placement.
    pub(super) fn excluded(&self) -> &[InstanceId] {
        &self.excluded
    }

    /// Whether any attempt may have run.
    pub(super) fn may_have_run(&self) -> bool {
        self.may_have_run.get()
    }

    /// Flag that an attempt sets as soon as it may have run.
    pub(super) fn may_have_run_flag(&self) -> Rc<Cell<bool>> {
        Rc::clone(&self.may_have_run)
    }

    /// Records a failed attempt and excludes its engine.
    pub(super) fn record_failure(&mut self, error: &SendError) {
        if error.outcome() != Outcome::NotRun {
            self.may_have_run.set(true);
        }
        self.failures += 1;
        self.exclude(error.peer());
    }

    /// Excludes an engine from placement.
    pub(super) fn exclude(&mut self, instance: &InstanceId) {
        if !self.excluded.contains(instance) {
            self.excluded.push(instance.clone());
        }
    }

    /// Readmits the excluded engines; returns false if there are none or the limit
    /// of failures is reached.
    pub(super) fn readmit_engines(&mut self) -> bool {
        if self.excluded.is_empty() || self.failures >= MAX_FAILURES {
            return false;
        }
        self.failures += 1;
        self.excluded.clear();
        true
    }

    /// Whether another attempt may be made after one that ended with `outcome`.
    ///
    /// Not charged to the retry budget are attempts that caused no load at an
    /// engine, and retries of an answer that has begun: their number is bounded by
    /// the streams in progress, and abandoning them would waste the tokens computed
    /// so far.
    pub(super) fn may_retry(
        &self,
        outcome: EngineOutcome,
        has_begun: bool,
        admission: &Admission,
    ) -> bool {
        let is_exempt_from_budget = outcome == EngineOutcome::Unreachable || has_begun;
        self.failures < MAX_FAILURES
            && (is_exempt_from_budget || admission.retry_budget().try_take())
    }

    /// Whether a replacement may be started beside a silent attempt; counts it as a
    /// failure, which bounds the attempts in flight. The budget applies as for a retry.
    pub(super) fn may_replace(&mut self, has_begun: bool, admission: &Admission) -> bool {
        let may_replace =
            self.failures < MAX_FAILURES && (has_begun || admission.retry_budget().try_take());
        self.failures += u32::from(may_replace);
        may_replace
    }

    /// Waits before the next attempt.
    pub(super) async fn back_off(&mut self) {
        compio::time::sleep(self.backoff.next_wait()).await;
    }

    /// Waits before memory is requested from a group again.
    pub(super) async fn back_off_for_group(&mut self) {
        compio::time::sleep(self.group_backoff.next_wait()).await;
    }

    /// Outcome of the request if it ended now without a complete answer.
    pub(super) fn outcome(&self) -> Outcome {
        if self.may_have_run() {
            Outcome::Failed
        } else {
            Outcome::NotRun
        }
    }

    /// Error of the last attempt, extended if an earlier attempt may have run.
    pub(super) fn final_error(&self, error: SendError) -> SendError {
        if self.may_have_run() && error.outcome() == Outcome::NotRun {
            let cause = format!("{error}, after earlier attempts that may have run");
            return SendError::Protocol {
                peer: error.peer().clone(),
                cause,
            };
        }
        error
    }
}

/// Outcome of a failed attempt for the engine's health.
pub(super) fn engine_outcome(error: &SendError) -> EngineOutcome {
    match error {
        SendError::ConnectionFailed { step, .. } | SendError::Timeout { step, .. }
            if *step == Step::Connect =>
        {
            EngineOutcome::Unreachable
        }
        SendError::Timeout { .. } => EngineOutcome::Timeout,
        SendError::Refused { detail, .. } if detail.outcome == Outcome::NotRun => {
            match detail.code.as_str() {
                "loading" => EngineOutcome::Loading,
                "leaving" => EngineOutcome::Leaving,
                _ => EngineOutcome::Busy,
            }
        }
        _ => EngineOutcome::Error,
    }
}
