//! The attempts at one request, seen as one run of tokens.
//!
//! Invariants: at most one attempt is open; `next_offset` is the only token
//! that the caller is given next, whatever attempt it comes from; nothing
//! happens after the caller's deadline; no number of an attempt is used twice,
//! as engines refuse one that was cancelled. An attempt that fails is followed
//! by another one from the same offset, within the retry budget.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_admission::{Backoff, Permit};
use mangofront_http::Outcome;
use mangofront_placement::{EngineOutcome, Placed};
use mangofront_settings::ids::InstanceId;
use mangofront_telemetry::invariants::{Invariant, check};
use mangofront_upstream::engine::{self, EngineStream, Frame, Generate};
use mangofront_upstream::reservation::GroupReservation;
use mangofront_upstream::{SendError, Step, Target};

use super::{CompletionRequest, group};
use crate::context::Entry;
use crate::error::EntryError;
use crate::progress::InProgress;

/// Most attempts at one request, resumptions included.
const ATTEMPTS_LIMIT: u32 = 5;

/// Least time an engine gets for its first token before another is tried.
const FIRST_TOKEN_PATIENCE: Duration = Duration::from_secs(2);

/// How many times its estimate an engine gets for its first token.
const FIRST_TOKEN_FACTOR: u32 = 4;

/// Longest silence between two tokens before another engine is tried.
const TOKEN_PATIENCE: Duration = Duration::from_secs(2);

/// Longest pause before the second attempt.
const FIRST_PAUSE: Duration = Duration::from_millis(5);

/// Longest pause before any attempt.
const LONGEST_PAUSE: Duration = Duration::from_millis(200);

/// Longest first pause before a full group is asked again.
const FIRST_GROUP_PAUSE: Duration = Duration::from_millis(40);

/// Longest pause before a full group is asked again.
const LONGEST_GROUP_PAUSE: Duration = Duration::from_millis(500);

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
    backoff: Backoff,
    group_backoff: Backoff,
    /// Number of the last attempt.
    number: u32,
    /// Attempts that count against the limit: waiting for a group does not.
    made: u32,
    /// Whether an engine may have worked for the request.
    may_have_run: bool,
    next_offset: u32,
    excluded: Vec<InstanceId>,
    running: Option<Running>,
    finished: bool,
}

/// The attempt that is open.
#[derive(Debug)]
struct Running {
    placed: Placed,
    /// Held until the attempt is over.
    _reservation: Option<GroupReservation>,
    stream: EngineStream,
    call: Generate,
    target: Target,
    started: Instant,
    first_token_seen: bool,
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
            backoff: Backoff::new(FIRST_PAUSE, LONGEST_PAUSE, rand::random()),
            group_backoff: Backoff::new(FIRST_GROUP_PAUSE, LONGEST_GROUP_PAUSE, rand::random()),
            number: 0,
            made: 0,
            may_have_run: false,
            next_offset: 0,
            excluded: Vec::new(),
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
        let placed = parts
            .placement
            .place(&self.request.demand, &self.excluded)
            .map_err(|_none| self.no_engine())?;
        self.number += 1;
        self.made += 1;
        match self.start(placed).await {
            Ok(running) => return Ok(Some(running)),
            Err(error) if group::is_full(&error) => self.wait_for_group().await?,
            Err(error) => self.give_up_or_retry(error).await?,
        }
        Ok(None)
    }

    async fn start(&mut self, placed: Placed) -> Result<Running, SendError> {
        let started = Instant::now();
        let patience = self.first_token_patience(started, &placed);
        let reservation = self.prepare_group(&placed, patience).await?;
        let call = self.call(&placed, reservation.as_ref());
        let target = Target {
            instance: placed.instance.clone(),
            address: placed.address,
        };
        let connections = &self.entry.parts().connections;
        let stream = engine::generate(connections, &target, call.clone(), patience).await?;
        self.may_have_run = true;
        Ok(Running {
            placed,
            _reservation: reservation,
            stream,
            call,
            target,
            started,
            first_token_seen: false,
        })
    }

    /// Memory and prefill on a group, when the prompt needs one.
    async fn prepare_group(
        &mut self,
        placed: &Placed,
        patience: Instant,
    ) -> Result<Option<GroupReservation>, SendError> {
        let Some(members) = &placed.group else {
            return Ok(None);
        };
        let share = group::Preparation {
            entry: &self.entry,
            request: &self.request,
            attempt: self.number,
            members,
            priority: placed.priority,
        };
        let reservation = share.reserve().await?;
        self.may_have_run = true;
        share.compute(patience).await?;
        Ok(Some(reservation))
    }

    fn call(&self, placed: &Placed, reservation: Option<&GroupReservation>) -> Generate {
        Generate {
            endpoint: self.request.endpoint,
            body: self.request.body.clone(),
            request: self.request.id.clone(),
            attempt: self.number,
            priority: placed.priority,
            resume_offset: self.next_offset,
            reservation: reservation.map(|reservation| reservation.id().to_owned()),
            deadline: self.request.caller.deadline,
        }
    }

    fn accept(&mut self, running: &mut Running, frame: &Frame) {
        let own = frame.request == self.request.id && frame.offset == self.next_offset;
        check(Invariant::OwnAnswerOnly, own, || {
            let (request, offset) = (&frame.request, frame.offset);
            format!("token {offset} of {request} came for {}", self.request.id)
        });
        self.next_offset = frame.offset + 1;
        if running.first_token_seen {
            running.placed.tokens(1);
        } else {
            running.first_token_seen = true;
            running.placed.first_token();
        }
        if frame.offset == 0 {
            self.observe_first_token();
        }
        if frame.finish_reason.is_some() {
            self.finished = true;
            self.permit.succeeded();
            let placement = &self.entry.parts().placement;
            placement.outcome(&running.target.instance, EngineOutcome::Success);
        }
    }

    fn observe_first_token(&mut self) {
        let time = self.request.caller.arrived.elapsed();
        self.permit.first_token(time);
        let length_tokens = self.request.prompt.length_tokens;
        self.progress.first_token(length_tokens, time);
    }

    /// Takes a broken stream up where it broke, or leaves it for a new attempt.
    async fn recover(&mut self, mut running: Running, error: SendError) -> Result<(), EntryError> {
        let resumable = matches!(error, SendError::Broken { .. }) && running.first_token_seen;
        let stream_id = running.stream.stream_id().map(str::to_owned);
        let Some(stream_id) = stream_id.filter(|_| resumable) else {
            drop(running);
            return self.give_up_or_retry(error).await;
        };
        running.call.resume_offset = self.next_offset;
        let connections = &self.entry.parts().connections;
        let call = running.call.clone();
        let answered_by = self.patience(&running);
        let target = &running.target;
        match engine::resume(connections, target, &stream_id, call, answered_by).await {
            Ok(stream) => {
                self.entry.parts().metrics.retried();
                std::mem::replace(&mut running.stream, stream).keep();
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
        self.made -= 1;
        compio::time::sleep(self.group_backoff.next_wait()).await;
        self.check_deadline()
    }

    /// Notes a failed attempt; an error when no other may be made.
    async fn give_up_or_retry(&mut self, error: SendError) -> Result<(), EntryError> {
        log::debug!(
            "entry: attempt {} of {} failed: {error}",
            self.made,
            self.request.id
        );
        self.may_have_run |= error.outcome() != Outcome::NotRun;
        self.check_deadline()?;
        let parts = self.entry.parts();
        let outcome = engine_outcome(&error);
        parts.placement.outcome(error.peer(), outcome);
        parts.metrics.upstream_error(error.step_name());
        self.excluded.push(error.peer().clone());
        if self.made >= ATTEMPTS_LIMIT || !self.may_retry(outcome) {
            return Err(EntryError::AttemptsFailed {
                attempts: self.made,
                last: self.settle(error),
                retry_after: RETRY_AFTER_FAILURE,
            });
        }
        self.entry.parts().metrics.retried();
        compio::time::sleep(self.backoff.next_wait()).await;
        Ok(())
    }

    /// Whether the retry budget allows another attempt.
    ///
    /// It is not asked where an attempt put no load on anyone, nor for an
    /// answer that has begun: those are no more than the streams in progress,
    /// and giving them up would waste what was computed.
    fn may_retry(&self, outcome: EngineOutcome) -> bool {
        let is_free = outcome == EngineOutcome::Unreachable || self.next_offset > 0;
        is_free || self.entry.parts().admission.retry_budget().try_take()
    }

    /// Error of the last attempt, telling also of the earlier ones.
    ///
    /// Not run is said only when no attempt may have run.
    fn settle(&self, error: SendError) -> SendError {
        if self.may_have_run && error.outcome() == Outcome::NotRun {
            let cause = format!("{error}, after earlier attempts that may have run");
            return SendError::Protocol {
                peer: error.peer().clone(),
                cause,
            };
        }
        error
    }

    fn no_engine(&self) -> EntryError {
        EntryError::NoUpstream {
            kind: "engine",
            outcome: self.outcome(),
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

    /// What is known of the work if the request ends now without its answer.
    fn outcome(&self) -> Outcome {
        if self.may_have_run {
            Outcome::Failed
        } else {
            Outcome::NotRun
        }
    }

    /// Until when the open attempt may stay silent.
    fn patience(&self, running: &Running) -> Instant {
        if running.first_token_seen {
            let until = Instant::now() + TOKEN_PATIENCE;
            until.min(self.request.caller.deadline)
        } else {
            self.first_token_patience(running.started, &running.placed)
        }
    }

    /// Until when an attempt begun at `started` may show no token.
    fn first_token_patience(&self, started: Instant, placed: &Placed) -> Instant {
        let estimate = placed.estimate.time_to_first_token;
        let until = started + FIRST_TOKEN_PATIENCE + estimate * FIRST_TOKEN_FACTOR;
        until.min(self.request.caller.deadline)
    }
}

fn engine_outcome(error: &SendError) -> EngineOutcome {
    match error {
        SendError::Broken { step, .. } | SendError::Timeout { step, .. }
            if *step == Step::Connect =>
        {
            EngineOutcome::Unreachable
        }
        SendError::Timeout { .. } => EngineOutcome::Timeout,
        SendError::Refused { detail, .. } if detail.outcome == Outcome::NotRun => {
            match detail.code.as_str() {
                "leaving" | "loading" => EngineOutcome::Leaving,
                _ => EngineOutcome::Busy,
            }
        }
        _ => EngineOutcome::Error,
    }
}
