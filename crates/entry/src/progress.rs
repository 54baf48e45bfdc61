//! One request from its admission to its end, as the metrics see it.
//!
//! Every request that was read ends exactly once, with an outcome; one whose
//! caller went away ends as cancelled, because its guard is dropped without
//! another word. The guard also checks that the end lies within the class's
//! time.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_http::Outcome;
use mangofront_telemetry::invariants::{Invariant, check};
use mangofront_telemetry::metrics::{LengthBucket, RequestOutcome};

use crate::caller::Caller;
use crate::context::Active;
use crate::error::EntryError;

/// Class label of requests that name none, or were not read that far.
pub(crate) const NO_CLASS: &str = "none";

/// How late a timer of a busy process may fire.
///
/// The deadline itself is exact; this allows for the scheduling of the task
/// that acts on it. A process that was paused acts once it goes on.
const TIMER_SLACK: Duration = Duration::from_millis(500);

/// A request in progress.
#[derive(Debug)]
pub(crate) struct InProgress {
    active: Rc<Active>,
    class: String,
    deadline: Instant,
    outcome: Cell<RequestOutcome>,
}

impl InProgress {
    /// Takes note of a request of `caller`.
    pub(crate) fn begin(active: &Rc<Active>, caller: &Caller) -> Self {
        Self {
            active: Rc::clone(active),
            class: caller.class.clone(),
            deadline: caller.deadline,
            outcome: Cell::new(RequestOutcome::Cancelled),
        }
    }

    /// Notes that the answer was given whole.
    pub(crate) fn answered(&self) {
        self.outcome.set(RequestOutcome::Answered);
    }

    /// Notes that the request ended with `error`.
    pub(crate) fn failed(&self, error: &EntryError) {
        self.outcome.set(request_outcome(error.outcome()));
    }

    /// Records the first token of an answer to a prompt of `length_tokens`.
    pub(crate) fn first_token(&self, length_tokens: u64, after: Duration) {
        let length = LengthBucket::of(length_tokens);
        let metrics = &self.active.entry().parts().metrics;
        metrics.first_token(&self.class, length, after);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        let metrics = &self.active.entry().parts().metrics;
        metrics.request_ended(&self.class, self.outcome.get());
        let resumed_at = self.active.entry().parts().platform.resumed_at();
        let due = resumed_at.map_or(self.deadline, |resumed_at| self.deadline.max(resumed_at));
        let late = Instant::now().saturating_duration_since(due);
        check(
            Invariant::RequestWithinClassTime,
            late <= TIMER_SLACK,
            || format!("a request of class {} ended {late:?} late", self.class),
        );
    }
}

/// Outcome of a request as its metric label.
pub(crate) fn request_outcome(outcome: Outcome) -> RequestOutcome {
    match outcome {
        Outcome::NotRun => RequestOutcome::NotRun,
        Outcome::Failed => RequestOutcome::Failed,
        Outcome::Unknown => RequestOutcome::Unknown,
    }
}
