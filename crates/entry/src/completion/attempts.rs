//! Attempts at one request, combined into one sequence of tokens.
//!
//! An attempt ends by its answer, by a failure that shows that the engine no longer
//! runs it, by the caller's deadline, or because another one yielded the next token.
//! Silence does not end it: a replacement is started beside it, at another engine and
//! within the retry budget, and whichever yields a token first goes on alone.
//!
//! Invariants: all attempts in flight wait for the token at `next_offset`, and at most
//! one of them is not silent; the next token returned is always that one, whichever
//! attempt it comes from; nothing is started after the caller's deadline.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select, select_all};
use mangofront_admission::Permit;
use mangofront_http::Outcome;
use mangofront_placement::{EngineOutcome, PlacedRequest};
use mangofront_upstream::engine::{self, Frame, GenerateCall};
use mangofront_upstream::{SendError, Target};

use super::attempt::{Attempt, AttemptEvent, Start, Started};
use super::retries::{Retries, engine_outcome};
use super::{CompletionRequest, checks, group};
use crate::context::Entry;
use crate::error::EntryError;
use crate::progress::RequestProgress;

/// Time limit for the first engine of a group to queue the attempt.
const GROUP_QUEUE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after which a caller may retry when its attempts failed.
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// Time after which a caller may retry when no engine is available.
const RETRY_AFTER_NO_ENGINE: Duration = Duration::from_secs(2);

/// The attempts at one request.
#[derive(Debug)]
pub(crate) struct Attempts {
    entry: Entry,
    request: Rc<CompletionRequest>,
    progress: Rc<RequestProgress>,
    permit: Permit,
    retries: Retries,
    /// Number of attempts so far, which is the number of the last one.
    attempt_count: u32,
    next_offset: u32,
    /// Attempts in flight, in the order in which they were started.
    in_flight: Vec<Attempt>,
    finished: bool,
}

impl Attempts {
    /// Creates the state of an admitted request, before its first attempt.
    pub(crate) fn new(
        entry: Entry,
        request: Rc<CompletionRequest>,
        progress: Rc<RequestProgress>,
        permit: Permit,
    ) -> Self {
        Self {
            entry,
            request,
            progress,
            permit,
            retries: Retries::new(),
            attempt_count: 0,
            next_offset: 0,
            in_flight: Vec::new(),
            finished: false,
        }
    }

    /// Whether the last token was returned.
    pub(crate) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Next token of the answer.
    ///
    /// # Errors
    /// The deadline of the request's class has passed, or no further attempt is
    /// allowed.
    pub(crate) async fn next(&mut self) -> Result<Frame, EntryError> {
        let next = match self.advance_until_cut_off().await {
            Some(next) => next,
            None => Err(self.entry.cut_off_error(&self.request.id, self.outcome())),
        };
        if let Err(error) = &next {
            checks::check_not_run(&self.request, error, self.retries.may_have_run());
        }
        next
    }

    /// Next token, or `None` if the request is cut off.
    async fn advance_until_cut_off(&mut self) -> Option<Result<Frame, EntryError>> {
        let entry = self.entry.clone();
        match select(pin!(self.advance()), pin!(entry.wait_for_cut_off())).await {
            Either::Left((next, _)) => Some(next),
            Either::Right(_) => None,
        }
    }

    async fn advance(&mut self) -> Result<Frame, EntryError> {
        loop {
            self.check_deadline()?;
            if self.in_flight.is_empty() && !self.place().await? {
                continue;
            }
            match self.next_event().await {
                (index, AttemptEvent::Token(frame)) => {
                    let attempt = self.in_flight.swap_remove(index);
                    // Cancels the others.
                    self.in_flight.clear();
                    self.handle_frame(&attempt, &frame);
                    if !self.finished {
                        self.in_flight.push(attempt);
                    }
                    return Ok(frame);
                }
                (index, AttemptEvent::Failed(error)) => {
                    drop(self.in_flight.remove(index));
                    self.handle_failure(error).await?;
                }
                (index, AttemptEvent::Silent) => self.handle_silence(index).await?,
            }
        }
    }

    /// Places an attempt if none is in flight; false if no engine could be found and
    /// the placement may be tried again.
    async fn place(&mut self) -> Result<bool, EntryError> {
        let parts = self.entry.parts();
        parts.platform.refreshed().await;
        let demand = &self.request.demand;
        let Ok(placed) = parts.placement.place(demand, self.retries.excluded()) else {
            // With few engines, each may have failed once and be excluded.
            if !self.retries.readmit_engines() {
                return Err(self.no_engine_error());
            }
            self.retries.back_off().await;
            return Ok(false);
        };
        self.start(placed);
        Ok(true)
    }

    fn start(&mut self, placed: PlacedRequest) {
        checks::check_instance_live(&self.entry, &placed.instance);
        self.attempt_count += 1;
        let deadline = self.request.caller.deadline;
        let connections = self.entry.parts().connections.clone();
        let start = self.send(&placed);
        let attempt = Attempt::new(connections, placed, start, deadline);
        self.in_flight.push(attempt);
    }

    /// Prepares and sends an attempt; the future ends once its engine has queued it.
    fn send(&self, placed: &PlacedRequest) -> Start {
        let entry = self.entry.clone();
        let request = Rc::clone(&self.request);
        let target = Target {
            instance: placed.instance.clone(),
            address: placed.address,
        };
        let mut call = self.generate_call(placed);
        let members = placed.group.clone();
        let may_have_run = self.retries.may_have_run_flag();
        Box::pin(async move {
            let mut queue_deadline = call.deadline;
            let mut reservation = None;
            if let Some(members) = members {
                let group = group::GroupPrefill {
                    entry: &entry,
                    request: &request,
                    attempt: call.attempt,
                    members: &members,
                    priority: call.priority,
                };
                let mut reserved = group.reserve().await?;
                may_have_run.set(true);
                group.compute(&mut reserved).await?;
                call.reservation = Some(reserved.id().to_owned());
                reservation = Some(reserved);
                queue_deadline = queue_deadline.min(Instant::now() + GROUP_QUEUE_TIMEOUT);
            }
            let connections = &entry.parts().connections;
            let stream =
                engine::generate(connections, &target, call.clone(), queue_deadline).await?;
            may_have_run.set(true);
            Ok(Started {
                stream,
                call,
                _reservation: reservation,
            })
        })
    }

    fn generate_call(&self, placed: &PlacedRequest) -> GenerateCall {
        GenerateCall {
            endpoint: self.request.endpoint,
            body: self.request.body.clone(),
            request: self.request.id.clone(),
            attempt: self.attempt_count,
            priority: placed.priority,
            resume_offset: self.next_offset,
            reservation: None,
            deadline: self.request.caller.deadline,
        }
    }

    /// Waits for the next event of any attempt in flight and returns its index.
    async fn next_event(&mut self) -> (usize, AttemptEvent) {
        if let [attempt] = self.in_flight.as_mut_slice() {
            return (0, attempt.next().await);
        }
        let events = self
            .in_flight
            .iter_mut()
            .map(|attempt| Box::pin(attempt.next()));
        let (event, index, _) = select_all(events).await;
        (index, event)
    }

    fn handle_frame(&mut self, attempt: &Attempt, frame: &Frame) {
        checks::check_next_token(&self.request, frame, self.next_offset);
        self.next_offset = frame.offset + 1;
        if frame.offset == 0 {
            self.record_first_token_latency();
        }
        if frame.finish_reason.is_some() {
            self.finished = true;
            let placement = &self.entry.parts().placement;
            placement.record_outcome(&attempt.placed.instance, EngineOutcome::Success);
        }
    }

    fn record_first_token_latency(&mut self) {
        let time = self.request.caller.arrived.elapsed();
        self.permit.record_first_token(time);
        let length_tokens = self.request.prompt.length_tokens;
        self.progress.first_token(length_tokens, time);
    }

    /// Starts an attempt at another engine beside silent ones, if that is allowed.
    ///
    /// A silent engine has proved no fault, so no outcome is recorded for it.
    async fn handle_silence(&mut self, index: usize) -> Result<(), EntryError> {
        let instance = &self.in_flight[index].placed.instance;
        self.retries.exclude(instance);
        let is_last = index + 1 == self.in_flight.len();
        let id = &self.request.id;
        log::debug!("entry: an attempt of {id} at {instance} is silent");
        if !is_last {
            return Ok(());
        }
        let entry = self.entry.clone();
        let parts = entry.parts();
        parts.platform.refreshed().await;
        self.check_deadline()?;
        let demand = &self.request.demand;
        let Ok(placed) = parts.placement.place(demand, self.retries.excluded()) else {
            return Ok(());
        };
        let has_begun = self.next_offset > 0;
        if self.retries.may_replace(has_begun, &parts.admission) {
            parts.metrics.retried();
            self.start(placed);
        }
        Ok(())
    }

    /// Makes a new attempt after one failed, unless others are in flight.
    async fn handle_failure(&mut self, error: SendError) -> Result<(), EntryError> {
        if !self.in_flight.is_empty() {
            self.record_failure(&error);
            return self.check_deadline();
        }
        if group::is_out_of_memory(&error) {
            return self.wait_for_group().await;
        }
        self.retry_or_fail(error).await
    }

    /// Waits for memory that is reserved by other groups, without reserving any.
    async fn wait_for_group(&mut self) -> Result<(), EntryError> {
        self.entry.parts().metrics.retried();
        self.retries.back_off_for_group().await;
        self.check_deadline()
    }

    /// Records a failed attempt and waits for the next one; an error if no further
    /// attempt is allowed.
    async fn retry_or_fail(&mut self, error: SendError) -> Result<(), EntryError> {
        let outcome = self.record_failure(&error);
        self.check_deadline()?;
        let parts = self.entry.parts();
        let has_begun = self.next_offset > 0;
        if !self.retries.may_retry(outcome, has_begun, &parts.admission) {
            return Err(EntryError::AttemptsFailed {
                attempts: self.attempt_count,
                last: self.retries.final_error(error),
                retry_after: RETRY_AFTER_FAILURE,
            });
        }
        parts.metrics.retried();
        self.retries.back_off().await;
        Ok(())
    }

    /// Records a failed attempt, except that an engine has no part in a failure at the
    /// request's deadline.
    fn record_failure(&mut self, error: &SendError) -> EngineOutcome {
        let id = &self.request.id;
        log::debug!("entry: an attempt of {id} failed: {error}");
        self.retries.record_failure(error);
        let outcome = engine_outcome(error);
        if self.check_deadline().is_ok() {
            let parts = self.entry.parts();
            parts.placement.record_outcome(error.peer(), outcome);
            parts.metrics.upstream_error(error.step_name());
        }
        outcome
    }

    fn no_engine_error(&self) -> EntryError {
        EntryError::NoUpstream {
            kind: "engine",
            outcome: self.retries.outcome(),
            retry_after: RETRY_AFTER_NO_ENGINE,
        }
    }

    fn check_deadline(&self) -> Result<(), EntryError> {
        if Instant::now() < self.request.caller.deadline {
            return Ok(());
        }
        let outcome = self.outcome();
        Err(EntryError::DeadlineExceeded { outcome })
    }

    /// Outcome of the request if it ended now without a complete answer.
    fn outcome(&self) -> Outcome {
        // An attempt in flight may have been written although its engine has not
        // confirmed it.
        if self.in_flight.is_empty() {
            self.retries.outcome()
        } else {
            Outcome::Failed
        }
    }
}
