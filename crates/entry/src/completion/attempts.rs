//! The attempts at one request, seen as one run of tokens.
//!
//! Invariants: at most one attempt is open; `next_offset` is the only token
//! that the caller is given next, whatever attempt it comes from; nothing
//! happens after the caller's deadline. An attempt that fails is followed by
//! another one from the same offset, within the retry budget.

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
use crate::progress::InProgress;

/// Longest silence before the first token until the engine is probed.
const FIRST_TOKEN_PATIENCE: Duration = Duration::from_secs(2);

/// Longest silence between two tokens until the engine is probed.
const TOKEN_PATIENCE: Duration = Duration::from_secs(1);

/// Time for an engine to take a stream up again.
const RESUME_PATIENCE: Duration = Duration::from_secs(1);

/// Time after which a caller may come back when its attempts failed.
const RETRY_AFTER_FAILURE: Duration = Duration::from_secs(1);

/// Time after which a caller may come back when no engine takes work.
const RETRY_AFTER_NO_ENGINE: Duration = Duration::from_secs(2);

/// The attempts at one request.
#[derive(Debug)]
pub(crate) struct Attempts {
    entry: Entry,
    request: Rc<CompletionRequest>,
    progress: Rc<InProgress>,
    permit: Permit,
    retries: Retries,
    /// Attempts made; the number of the last one.
    made: u32,
    next_offset: u32,
    running: Option<Running>,
    finished: bool,
}

/// The attempt that is open.
#[derive(Debug)]
struct Running {
    placed: PlacedRequest,
    /// Held until the attempt is over.
    _reservation: Option<GroupReservation>,
    stream: EngineStream,
    call: GenerateCall,
    target: Target,
    first_token_seen: bool,
    /// Tokens of this attempt seen so far.
    generated_tokens: u32,
}

impl Attempts {
    /// No attempt made yet.
    pub(crate) fn new(
        entry: Entry,
        request: Rc<CompletionRequest>,
        progress: Rc<InProgress>,
        permit: Permit,
    ) -> Self {
        Self {
            entry,
            request,
            progress,
            permit,
            retries: Retries::new(),
            made: 0,
            next_offset: 0,
            running: None,
            finished: false,
        }
    }

    /// Whether the last token was given.
    pub(crate) fn is_finished(&self) -> bool {
        self.finished
    }

    /// Next token of the answer.
    ///
    /// # Errors
    /// The class's time is over, or no further attempt is allowed.
    pub(crate) async fn next(&mut self) -> Result<Frame, EntryError> {
        let next = self.advance().await;
        if let Err(error) = &next {
            checks::not_run_is_true(&self.request, error, self.retries.may_have_run);
        }
        next
    }

    async fn advance(&mut self) -> Result<Frame, EntryError> {
        loop {
            self.check_deadline()?;
            let mut running = match self.running.take() {
                Some(running) => running,
                None => match self.begin().await? {
                    Some(running) => running,
                    None => continue,
                },
            };
            match running.stream.next(self.patience(&running)).await {
                Ok(frame) => {
                    self.accept(&mut running, &frame);
                    if !self.finished {
                        self.running = Some(running);
                    }
                    return Ok(frame);
                }
                Err(error) => self.recover(running, error).await?,
            }
        }
    }

    /// Starts an attempt; `None` when it failed and another may be made.
    async fn begin(&mut self) -> Result<Option<Running>, EntryError> {
        let parts = self.entry.parts();
        parts.platform.refreshed().await;
        let demand = &self.request.demand;
        let Ok(placed) = parts.placement.place(demand, self.retries.excluded()) else {
            // With few engines all of them may have failed once.
            if !self.retries.forgive() {
                return Err(self.no_engine());
            }
            self.retries.pause().await;
            return Ok(None);
        };
        self.made += 1;
        match self.start(placed).await {
            Ok(running) => return Ok(Some(running)),
            Err(error) if group::is_full(&error) => self.wait_for_group().await?,
            Err(error) => self.give_up_or_retry(error).await?,
        }
        Ok(None)
    }

    async fn start(&mut self, placed: PlacedRequest) -> Result<Running, SendError> {
        checks::not_leaving(&self.entry, &placed.instance);
        let reservation = self.prepare_group(&placed).await?;
        let call = self.call(&placed, reservation.as_ref());
        let target = Target {
            instance: placed.instance.clone(),
            address: placed.address,
        };
        let connections = &self.entry.parts().connections;
        let queued_by = self.deadline_within(FIRST_TOKEN_PATIENCE);
        let stream = engine::generate(connections, &target, call.clone(), queued_by).await?;
        self.retries.may_have_run = true;
        Ok(Running {
            placed,
            _reservation: reservation,
            stream,
            call,
            target,
            first_token_seen: false,
            generated_tokens: 0,
        })
    }

    /// Memory and prefill on a group, when the prompt needs one.
    async fn prepare_group(
        &mut self,
        placed: &PlacedRequest,
    ) -> Result<Option<GroupReservation>, SendError> {
        let Some(members) = &placed.group else {
            return Ok(None);
        };
        let group = group::Preparation {
            entry: &self.entry,
            request: &self.request,
            attempt: self.made,
            members,
            priority: placed.priority,
        };
        let mut reservation = group.reserve().await?;
        self.retries.may_have_run = true;
        group.compute(&mut reservation).await?;
        Ok(Some(reservation))
    }

    fn call(&self, placed: &PlacedRequest, reservation: Option<&GroupReservation>) -> GenerateCall {
        GenerateCall {
            endpoint: self.request.endpoint,
            body: self.request.body.content.clone(),
            request: self.request.id.clone(),
            attempt: self.made,
            priority: placed.priority,
            resume_offset: self.next_offset,
            reservation: reservation.map(|reservation| reservation.id().to_owned()),
            deadline: self.request.caller.deadline,
        }
    }

    fn accept(&mut self, running: &mut Running, frame: &Frame) {
        checks::own_token(&self.request, frame, self.next_offset);
        self.next_offset = frame.offset + 1;
        if running.first_token_seen {
            running.generated_tokens += 1;
            running
                .placed
                .record_generated_tokens(running.generated_tokens);
        } else {
            running.first_token_seen = true;
            running.generated_tokens = 1;
            running.placed.record_first_token();
        }
        if frame.offset == 0 {
            self.observe_first_token();
        }
        if frame.finish_reason.is_some() {
            self.finished = true;
            let placement = &self.entry.parts().placement;
            placement.record_outcome(&running.target.instance, EngineOutcome::Success);
        }
    }

    fn observe_first_token(&mut self) {
        let time = self.request.caller.arrived.elapsed();
        self.permit.record_first_token(time);
        let length_tokens = self.request.prompt.length_tokens;
        self.progress.first_token(length_tokens, time);
    }

    /// Takes a broken or silent stream up at its engine, or leaves it for a new
    /// attempt.
    ///
    /// A silent engine may just be slow, above all before the first token of a
    /// long prompt. Taking the stream up on another connection tells it from
    /// one that is gone or frozen, and costs no work that was done.
    async fn recover(&mut self, mut running: Running, error: SendError) -> Result<(), EntryError> {
        let resumable = matches!(
            error,
            SendError::ConnectionFailed { .. } | SendError::Timeout { .. }
        );
        let stream_id = running.stream.stream_id().map(str::to_owned);
        let Some(stream_id) = stream_id.filter(|_| resumable) else {
            drop(running);
            return self.give_up_or_retry(error).await;
        };
        self.check_deadline()?;
        running.call.resume_offset = self.next_offset;
        let until = self.deadline_within(RESUME_PATIENCE);
        let connections = &self.entry.parts().connections;
        let call = running.call.clone();
        match engine::resume(connections, &running.target, &stream_id, call, until).await {
            Ok(stream) => {
                std::mem::replace(&mut running.stream, stream).detach();
                self.running = Some(running);
                Ok(())
            }
            Err(error) => {
                drop(running);
                self.give_up_or_retry(error).await
            }
        }
    }

    /// Waits a little for memory that other groups hold; holds none itself.
    async fn wait_for_group(&mut self) -> Result<(), EntryError> {
        self.entry.parts().metrics.retried();
        self.retries.pause_for_group().await;
        self.check_deadline()
    }

    /// Notes a failed attempt; an error when no other may be made.
    async fn give_up_or_retry(&mut self, error: SendError) -> Result<(), EntryError> {
        let (number, request) = (self.made, &self.request.id);
        log::debug!("entry: attempt {number} of {request} failed: {error}");
        self.retries.note(&error);
        self.check_deadline()?;
        let parts = self.entry.parts();
        let outcome = engine_outcome(&error);
        parts.placement.record_outcome(error.peer(), outcome);
        parts.metrics.upstream_error(error.step_name());
        let has_begun = self.next_offset > 0;
        if !self.retries.allowed(outcome, has_begun, &parts.admission) {
            return Err(EntryError::AttemptsFailed {
                attempts: self.made,
                last: self.retries.settle(error),
                retry_after: RETRY_AFTER_FAILURE,
            });
        }
        parts.metrics.retried();
        self.retries.pause().await;
        Ok(())
    }

    fn no_engine(&self) -> EntryError {
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

    /// The end of `time` from now, within the class's time.
    fn deadline_within(&self, time: Duration) -> Instant {
        self.request.caller.deadline.min(Instant::now() + time)
    }

    /// Until when the open attempt may stay silent before its engine is probed.
    fn patience(&self, running: &Running) -> Instant {
        let patience = if running.first_token_seen {
            TOKEN_PATIENCE
        } else {
            FIRST_TOKEN_PATIENCE
        };
        self.deadline_within(patience)
    }
}
