//! Attempts at one request, combined into one sequence of tokens.
//!
//! Invariants: at most one attempt is running; the next token returned is always the
//! one at `next_offset`, whichever attempt it comes from; nothing is started after
//! the caller's deadline. A failed attempt is followed by another one from the same
//! offset, within the retry budget.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_admission::Permit;
use mangofront_placement::{EngineOutcome, PlacedRequest};
use mangofront_upstream::engine::{self, EngineStream, Frame, GenerateCall};
use mangofront_upstream::reservation::GroupReservation;
use mangofront_upstream::{SendError, Target};

use super::retries::{Retries, engine_outcome};
use super::{CompletionRequest, checks, group};
use crate::context::Entry;
use crate::error::EntryError;
use crate::progress::RequestProgress;

/// Maximum wait for the first token before the stream is resumed to probe the
/// engine; also the time limit for the engine to queue the attempt.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum wait between two tokens before the stream is resumed to probe the engine.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Time limit for an engine to resume a stream.
const RESUME_TIMEOUT: Duration = Duration::from_secs(1);

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
    running: Option<RunningAttempt>,
    finished: bool,
}

/// The running attempt.
#[derive(Debug)]
struct RunningAttempt {
    placed: PlacedRequest,
    /// Keeps the memory of the group reserved until the attempt has ended.
    _reservation: Option<GroupReservation>,
    stream: EngineStream,
    call: GenerateCall,
    target: Target,
    first_token_received: bool,
    /// Number of tokens received from this attempt.
    generated_tokens: u32,
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
            running: None,
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
        let next = self.advance().await;
        if let Err(error) = &next {
            checks::check_not_run(&self.request, error, self.retries.may_have_run);
        }
        next
    }

    async fn advance(&mut self) -> Result<Frame, EntryError> {
        loop {
            self.check_deadline()?;
            let mut running = match self.running.take() {
                Some(running) => running,
                None => match self.place_and_start().await? {
                    Some(running) => running,
                    None => continue,
                },
            };
            match running.stream.next(self.token_deadline(&running)).await {
                Ok(frame) => {
                    self.handle_frame(&mut running, &frame);
                    if !self.finished {
                        self.running = Some(running);
                    }
                    return Ok(frame);
                }
                Err(error) => self.resume_or_retry(running, error).await?,
            }
        }
    }

    /// Places and starts an attempt; `None` if it failed and may be retried.
    async fn place_and_start(&mut self) -> Result<Option<RunningAttempt>, EntryError> {
        let parts = self.entry.parts();
        parts.platform.refreshed().await;
        let demand = &self.request.demand;
        let Ok(placed) = parts.placement.place(demand, self.retries.excluded()) else {
            // With few engines, each may have failed once and be excluded.
            if !self.retries.readmit_engines() {
                return Err(self.no_engine_error());
            }
            self.retries.back_off().await;
            return Ok(None);
        };
        self.attempt_count += 1;
        match self.start(placed).await {
            Ok(running) => return Ok(Some(running)),
            Err(error) if group::is_out_of_memory(&error) => self.wait_for_group().await?,
            Err(error) => self.retry_or_fail(error).await?,
        }
        Ok(None)
    }

    async fn start(&mut self, placed: PlacedRequest) -> Result<RunningAttempt, SendError> {
        checks::check_instance_live(&self.entry, &placed.instance);
        let reservation = self.prepare_group(&placed).await?;
        let call = self.generate_call(&placed, reservation.as_ref());
        let target = Target {
            instance: placed.instance.clone(),
            address: placed.address,
        };
        let connections = &self.entry.parts().connections;
        let queue_deadline = self.deadline_after(FIRST_TOKEN_TIMEOUT);
        let stream = engine::generate(connections, &target, call.clone(), queue_deadline).await?;
        self.retries.may_have_run = true;
        Ok(RunningAttempt {
            placed,
            _reservation: reservation,
            stream,
            call,
            target,
            first_token_received: false,
            generated_tokens: 0,
        })
    }

    /// Reserves memory and computes the prefill on a group, if the prompt needs one.
    async fn prepare_group(
        &mut self,
        placed: &PlacedRequest,
    ) -> Result<Option<GroupReservation>, SendError> {
        let Some(members) = &placed.group else {
            return Ok(None);
        };
        let group = group::GroupPrefill {
            entry: &self.entry,
            request: &self.request,
            attempt: self.attempt_count,
            members,
            priority: placed.priority,
        };
        let mut reservation = group.reserve().await?;
        self.retries.may_have_run = true;
        group.compute(&mut reservation).await?;
        Ok(Some(reservation))
    }

    fn generate_call(
        &self,
        placed: &PlacedRequest,
        reservation: Option<&GroupReservation>,
    ) -> GenerateCall {
        GenerateCall {
            endpoint: self.request.endpoint,
            body: self.request.body.content.clone(),
            request: self.request.id.clone(),
            attempt: self.attempt_count,
            priority: placed.priority,
            resume_offset: self.next_offset,
            reservation: reservation.map(|reservation| reservation.id().to_owned()),
            deadline: self.request.caller.deadline,
        }
    }

    fn handle_frame(&mut self, running: &mut RunningAttempt, frame: &Frame) {
        checks::check_next_token(&self.request, frame, self.next_offset);
        self.next_offset = frame.offset + 1;
        if running.first_token_received {
            running.generated_tokens += 1;
            running
                .placed
                .record_generated_tokens(running.generated_tokens);
        } else {
            running.first_token_received = true;
            running.generated_tokens = 1;
            running.placed.record_first_token();
        }
        if frame.offset == 0 {
            self.record_first_token_latency();
        }
        if frame.finish_reason.is_some() {
            self.finished = true;
            let placement = &self.entry.parts().placement;
            placement.record_outcome(&running.target.instance, EngineOutcome::Success);
        }
    }

    fn record_first_token_latency(&mut self) {
        let time = self.request.caller.arrived.elapsed();
        self.permit.record_first_token(time);
        let length_tokens = self.request.prompt.length_tokens;
        self.progress.first_token(length_tokens, time);
    }

    /// Resumes an interrupted or silent stream at its engine, or makes a new attempt.
    ///
    /// An engine without output may just be slow, especially before the first token
    /// of a long prompt. Resuming the stream on another connection distinguishes it
    /// from an engine that has crashed or hangs, and loses no computed tokens.
    async fn resume_or_retry(
        &mut self,
        mut running: RunningAttempt,
        error: SendError,
    ) -> Result<(), EntryError> {
        let resumable = matches!(
            error,
            SendError::ConnectionFailed { .. } | SendError::Timeout { .. }
        );
        let stream_id = running.stream.stream_id().map(str::to_owned);
        let Some(stream_id) = stream_id.filter(|_| resumable) else {
            drop(running);
            return self.retry_or_fail(error).await;
        };
        self.check_deadline()?;
        running.call.resume_offset = self.next_offset;
        let resume_deadline = self.deadline_after(RESUME_TIMEOUT);
        let connections = &self.entry.parts().connections;
        let call = running.call.clone();
        match engine::resume(
            connections,
            &running.target,
            &stream_id,
            call,
            resume_deadline,
        )
        .await
        {
            Ok(stream) => {
                std::mem::replace(&mut running.stream, stream).detach();
                self.running = Some(running);
                Ok(())
            }
            Err(error) => {
                drop(running);
                self.retry_or_fail(error).await
            }
        }
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
        let (number, request) = (self.attempt_count, &self.request.id);
        log::debug!("entry: attempt {number} of {request} failed: {error}");
        self.retries.record_failure(&error);
        self.check_deadline()?;
        let parts = self.entry.parts();
        let outcome = engine_outcome(&error);
        parts.placement.record_outcome(error.peer(), outcome);
        parts.metrics.upstream_error(error.step_name());
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
        let outcome = self.retries.outcome();
        Err(EntryError::DeadlineExceeded { outcome })
    }

    /// `time` from now, but no later than the request's deadline.
    fn deadline_after(&self, time: Duration) -> Instant {
        self.request.caller.deadline.min(Instant::now() + time)
    }

    /// Time by which the running attempt must yield a token before its engine is
    /// probed.
    fn token_deadline(&self, running: &RunningAttempt) -> Instant {
        let token_timeout = if running.first_token_received {
            TOKEN_TIMEOUT
        } else {
            FIRST_TOKEN_TIMEOUT
        };
        self.deadline_after(token_timeout)
    }
}
