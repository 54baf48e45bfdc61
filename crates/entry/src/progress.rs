//! Metrics of one request, from the time it was read to its end.
//!
//! Every request that was read is recorded exactly once, with its outcome. If the
//! caller disconnects, the guard is dropped before an outcome was set, and the
//! request is recorded as cancelled. The guard also checks that the request ended
//! within the time limit of its class.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_http::Outcome;
use mangofront_telemetry::invariants::{Invariant, check};
use mangofront_telemetry::metrics::{LengthBucket, RequestOutcome};

use crate::caller::Caller;
use crate::context::Active;
use crate::error::EntryError;

/// Class label of requests without a class, or that failed before it was read.
pub(crate) const NO_CLASS: &str = "none";

/// Maximum delay of a timer in a busy process.
///
/// The deadline itself is exact; this allows for the scheduling delay of the task
/// that enforces it. For a process that was paused, the delay counts from the time
/// at which it was resumed.
const TIMER_TOLERANCE: Duration = Duration::from_millis(500);

/// Records the outcome of a request in progress when dropped.
#[derive(Debug)]
pub(crate) struct RequestProgress {
    active: Rc<Active>,
    class: String,
    deadline: Instant,
    outcome: Cell<RequestOutcome>,
}

impl RequestProgress {
    /// Starts recording of a request from `caller`.
    pub(crate) fn begin(active: &Rc<Active>, caller: &Caller) -> Self {
        Self {
            active: Rc::clone(active),
            class: caller.class.clone(),
            deadline: caller.deadline,
            outcome: Cell::new(RequestOutcome::Cancelled),
        }
    }

    /// Records that the request was answered completely.
    pub(crate) fn answered(&self) {
        self.outcome.set(RequestOutcome::Answered);
    }

    /// Records that the request failed with `error`.
    pub(crate) fn failed(&self, error: &EntryError) {
        self.outcome.set(request_outcome(error.outcome()));
    }

    /// Records the time to the first token for a prompt of `length_tokens`.
    pub(crate) fn first_token(&self, length_tokens: u64, after: Duration) {
        let length = LengthBucket::of(length_tokens);
        let metrics = &self.active.entry().parts().metrics;
        metrics.first_token(&self.class, length, after);
    }
}

impl Drop for RequestProgress {
    fn drop(&mut self) {
        let metrics = &self.active.entry().parts().metrics;
        metrics.request_ended(&self.class, self.outcome.get());
        let resumed_at = self.active.entry().parts().platform.resumed_at();
        let due = resumed_at.map_or(self.deadline, |resumed_at| self.deadline.max(resumed_at));
        let late = Instant::now().saturating_duration_since(due);
        check(
            Invariant::RequestWithinClassTime,
            late <= TIMER_TOLERANCE,
            || format!("a request of class {} ended {late:?} late", self.class),
        );
    }
}

/// Metric label for an outcome.
pub(crate) fn request_outcome(outcome: Outcome) -> RequestOutcome {
    match outcome {
        Outcome::NotRun => RequestOutcome::NotRun,
        Outcome::Failed => RequestOutcome::Failed,
        Outcome::Unknown => RequestOutcome::Unknown,
    }
}
