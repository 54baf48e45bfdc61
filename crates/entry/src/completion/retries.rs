//! Whether a request may be tried again, where not, and what its failures say.
//!
//! Invariant: `may_have_run` never goes back to false; a request is told *not
//! run* only while it is false.

use std::time::Duration;

use mangofront_admission::{Admission, Backoff};
use mangofront_http::Outcome;
use mangofront_placement::EngineOutcome;
use mangofront_settings::ids::InstanceId;
use mangofront_upstream::{SendError, Step};

/// Most failed attempts at one request.
const FAILURES_LIMIT: u32 = 5;

/// Longest pause before the second attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Longest pause before any attempt.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Longest first pause before a full group is asked again.
const FIRST_GROUP_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause before a full group is asked again.
const LONGEST_GROUP_PAUSE: Duration = Duration::from_millis(500);

/// What is remembered of a request's failed attempts.
#[derive(Debug)]
pub(super) struct Retries {
    backoff: Backoff,
    group_backoff: Backoff,
    /// Attempts that failed otherwise than by a full group.
    failed: u32,
    /// Whether any attempt may have run.
    pub(super) may_have_run: bool,
    /// Engines that failed this request since one of them was last needed.
    excluded: Vec<InstanceId>,
}

impl Retries {
    /// Nothing has failed yet.
    pub(super) fn new() -> Self {
        Self {
            backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, rand::random()),
            group_backoff: Backoff::new(FIRST_GROUP_PAUSE, LONGEST_GROUP_PAUSE, rand::random()),
            failed: 0,
            may_have_run: false,
            excluded: Vec::new(),
        }
    }

    /// Engines to leave out.
    pub(super) fn excluded(&self) -> &[InstanceId] {
        &self.excluded
    }

    /// Notes a failed attempt and leaves its engine out from now on.
    pub(super) fn note(&mut self, error: &SendError) {
        self.may_have_run |= error.outcome() != Outcome::NotRun;
        self.failed += 1;
        self.excluded.push(error.peer().clone());
    }

    /// Takes the engines in again that were left out; false when there are none
    /// or too much has failed.
    pub(super) fn forgive(&mut self) -> bool {
        if self.excluded.is_empty() || self.failed >= FAILURES_LIMIT {
            return false;
        }
        self.failed += 1;
        self.excluded.clear();
        true
    }

    /// Whether another attempt may be made after one that ended with `outcome`.
    ///
    /// The retry budget is not asked where an attempt put no load on anyone,
    /// nor for an answer that has begun: those are no more than the streams in
    /// progress, and giving them up would waste what was computed.
    pub(super) fn allowed(
        &self,
        outcome: EngineOutcome,
        has_begun: bool,
        admission: &Admission,
    ) -> bool {
        let is_free = outcome == EngineOutcome::Unreachable || has_begun;
        self.failed < FAILURES_LIMIT && (is_free || admission.retry_budget().try_take())
    }

    /// Waits before another attempt.
    pub(super) async fn pause(&mut self) {
        compio::time::sleep(self.backoff.next_wait()).await;
    }

    /// Waits for memory that other groups hold.
    pub(super) async fn pause_for_group(&mut self) {
        compio::time::sleep(self.group_backoff.next_wait()).await;
    }

    /// What is known of the work if the request ends now without its answer.
    pub(super) fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Failed
        } else {
            Outcome::NotRun
        }
    }

    /// Error of the last attempt, telling also of the earlier ones.
    pub(super) fn settle(&self, error: SendError) -> SendError {
        if self.may_have_run && error.outcome() == Outcome::NotRun {
            let cause = format!("{error}, after earlier attempts that may have run");
            return SendError::Protocol {
                peer: error.peer().clone(),
                cause,
            };
        }
        error
    }
}

/// What a failed attempt says of its engine.
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
