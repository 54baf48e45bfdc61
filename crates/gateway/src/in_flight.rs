//! The attempts in flight of one request, and which of them is forwarded.
//!
//! An attempt ends only by its answer, by the proof that it is lost, by the deadline, or by the
//! first event of another one. Silence proves nothing: it starts another attempt beside the silent
//! one, within the attempts of the route and the retry budget, and whichever brings the next event
//! first is forwarded from then on, while the other is cancelled. A replacement that is refused,
//! fails or is silent too changes nothing for the attempt that it was to replace.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::{Either, pending, select, select_all};
use http::{HeaderMap, StatusCode};
use mangofront_bodies::NoRoom;
use mangofront_engines::{NoUpstream, key_of};
use mangofront_telemetry::metrics::ReplacementOutcome;

use crate::attempts::{AttemptPlan, FailedAttempt, OUTCOME_BROKEN_OFF};
use crate::call::Call;
use crate::gateway::Gateway;
use crate::hedging::{HedgeTrigger, SilenceLimit};
use crate::history::{
    AttemptError, History, MIN_ATTEMPT_TIME, Resend, SendLeave, SharedHistory, is_near_quarantine,
};
use crate::quarantine::record_lost_connection;
use crate::running_attempt::{AttemptEvent, CompleteAnswer, RunningAttempt};
use crate::silence::RunTime;
use crate::stream_race::{AttemptNumber, ResumePoint, StreamRace};
use crate::trace;

/// Time until a replacement that was not to be had is tried again.
const REPLACEMENT_PAUSE: Duration = Duration::from_millis(250);

/// Time until the retry budget is asked again for a stream that would otherwise break off.
const BUDGET_PAUSE: Duration = Duration::from_millis(500);

/// Shortest time between two looks at an attempt that may need a replacement.
const MIN_CHECK_PERIOD: Duration = Duration::from_millis(10);

/// Longest time between two looks: the loss of a path is found out elsewhere.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Start of the answer to a request.
pub(crate) enum Opening {
    /// A complete answer.
    Whole(CompleteAnswer),
    /// A stream, of which the first events have arrived, or the end.
    Stream {
        status: StatusCode,
        headers: HeaderMap,
        first: Bytes,
    },
}

/// The attempts in flight of one request.
pub(crate) struct InFlight {
    gateway: Gateway,
    call: Rc<Call>,
    history: SharedHistory,
    /// The oldest first.
    running: Vec<RunningAttempt>,
    race: StreamRace,
    next_number: AttemptNumber,
    /// Whether the caller has the head of the answer.
    is_open: bool,
    is_finished: bool,
    /// When the next replacement may be started.
    next_replacement_at: RunTime,
    /// The attempt whose upstream was last found to be silent.
    silent_attempt: Option<AttemptNumber>,
    /// The attempt for which its upstream was last avoided.
    avoided_attempt: Option<AttemptNumber>,
    /// The last answer with a server error, which the caller gets if no other attempt succeeds.
    server_error: Option<CompleteAnswer>,
}

/// What is forwarded next.
enum Step {
    Whole(CompleteAnswer),
    Events(Bytes),
    Finished,
}

/// What happened first.
enum Occurrence {
    Event(usize, Result<AttemptEvent, AttemptError>),
    Check,
}

impl InFlight {
    /// A request of which nothing was sent yet.
    pub(crate) fn new(gateway: &Gateway, call: &Rc<Call>, history: &SharedHistory) -> Self {
        Self {
            gateway: gateway.clone(),
            call: Rc::clone(call),
            history: Rc::clone(history),
            running: Vec::new(),
            race: StreamRace::new(call.last_event_id),
            next_number: 0,
            is_open: false,
            is_finished: false,
            next_replacement_at: RunTime::ZERO,
            silent_attempt: None,
            avoided_attempt: None,
            server_error: None,
        }
    }

    /// Sends the request and waits for the start of its answer.
    ///
    /// # Errors
    /// The error of the last attempt, after which no other may follow.
    pub(crate) async fn open(&mut self) -> Result<Opening, AttemptError> {
        self.begin(SendLeave::First);
        let first = match self.advance().await {
            Ok(Step::Whole(answer)) => return Ok(Opening::Whole(answer)),
            Ok(Step::Events(events)) => events,
            Ok(Step::Finished) => Bytes::new(),
            Err(error) => {
                return match self.server_error.take() {
                    Some(answer) => Ok(Opening::Whole(answer)),
                    None => Err(error),
                };
            }
        };
        let Some(stream) = self.running.first().and_then(RunningAttempt::stream) else {
            return Err(AttemptError::MayHaveRun("no stream".to_owned()));
        };
        let (status, headers) = (stream.status, stream.headers.clone());
        self.is_open = true;
        Ok(Opening::Stream {
            status,
            headers,
            first,
        })
    }

    /// The next events of the stream; `None` once it is complete.
    ///
    /// # Errors
    /// The error of the last attempt, after which no other may follow.
    pub(crate) async fn next_events(&mut self) -> Result<Option<Bytes>, AttemptError> {
        if self.is_finished {
            return Ok(None);
        }
        match self.advance().await? {
            Step::Events(events) => Ok(Some(events)),
            Step::Finished => Ok(None),
            Step::Whole(answer) => Err(AttemptError::MayHaveRun(format!(
                "answered {}",
                answer.status
            ))),
        }
    }

    /// The attempt that is forwarded, if one runs.
    pub(crate) fn forwarded(&self) -> Option<&RunningAttempt> {
        self.running.first()
    }

    /// Attempts made so far.
    pub(crate) fn history(&self) -> std::cell::Ref<'_, History> {
        self.history.borrow()
    }

    /// Runs the attempts until there is something to forward.
    async fn advance(&mut self) -> Result<Step, AttemptError> {
        loop {
            match self.occurrence().await {
                Occurrence::Event(index, Ok(event)) => {
                    if let Some(step) = self.handle_event(index, event).await? {
                        return Ok(step);
                    }
                }
                Occurrence::Event(index, Err(error)) => self.lose(index, error).await?,
                Occurrence::Check => self.replace_if_due(),
            }
        }
    }

    /// Waits for an event of an attempt, or until a replacement may be due.
    async fn occurrence(&mut self) -> Occurrence {
        let time = self.time_to_check();
        let check = async {
            match time {
                Some(time) => compio::time::sleep(time).await,
                None => pending().await,
            }
        };
        let attempts = self.running.iter_mut();
        let events = select_all(attempts.map(|attempt| attempt.next().boxed_local()));
        let check = std::pin::pin!(check);
        match select(events, check).await {
            Either::Left(((event, index, _), _)) => Occurrence::Event(index, event),
            Either::Right(_) => Occurrence::Check,
        }
    }

    async fn handle_event(
        &mut self,
        index: usize,
        event: AttemptEvent,
    ) -> Result<Option<Step>, AttemptError> {
        let number = self.running[index].number;
        self.record_end_of_silence(index);
        match event {
            AttemptEvent::Head(status) if self.is_open && !status.is_success() => {
                let error = AttemptError::MayHaveRun(format!("answered {status}"));
                self.lose(index, error).await?;
                Ok(None)
            }
            AttemptEvent::Head(_) => Ok(None),
            AttemptEvent::Chunk(chunk) => match self.race.push(number, &chunk) {
                Ok(events) if events.is_empty() => {
                    if let Err(no_room) = self.keep_pending_event(index) {
                        let error = AttemptError::MayHaveRun(no_room.to_string());
                        self.lose(index, error).await?;
                    }
                    Ok(None)
                }
                Ok(events) => {
                    // Without room for the event that follows, its next chunk ends the stream.
                    let _ = self.keep_pending_event(index);
                    self.forward(index);
                    self.running[0].record_events();
                    Ok(Some(Step::Events(events)))
                }
                Err(fault) => {
                    let error = AttemptError::MayHaveRun(fault.to_string());
                    self.lose(index, error).await?;
                    Ok(None)
                }
            },
            AttemptEvent::End => match self.race.finish(number) {
                Ok(()) => {
                    self.forward(index);
                    self.running[0].record_complete();
                    self.is_finished = true;
                    Ok(Some(Step::Finished))
                }
                Err(fault) => {
                    let error = AttemptError::ConnectionLost(fault.to_string());
                    self.lose(index, error).await?;
                    Ok(None)
                }
            },
            AttemptEvent::Whole(answer) if self.may_be_answered_better(answer.status) => {
                let error = AttemptError::MayHaveRun(format!("answered {}", answer.status));
                self.server_error = Some(answer);
                self.lose(index, error).await?;
                Ok(None)
            }
            AttemptEvent::Whole(answer) => {
                self.forward(index);
                Ok(Some(Step::Whole(answer)))
            }
        }
    }

    /// Keeps memory for the incomplete event of an attempt.
    fn keep_pending_event(&mut self, index: usize) -> Result<(), NoRoom> {
        let attempt = &mut self.running[index];
        attempt.set_pending_bytes(self.race.pending_bytes(attempt.number))
    }

    /// Whether another upstream may answer a repeated request better.
    fn may_be_answered_better(&self, status: StatusCode) -> bool {
        self.call.route.safety.may_retry() && status.is_server_error()
    }

    /// Keeps one attempt and cancels the others.
    fn forward(&mut self, index: usize) {
        if self.running.len() == 1 {
            return;
        }
        let winner = self.running.swap_remove(index);
        for loser in std::mem::take(&mut self.running) {
            let by_replacement = loser.number < winner.number;
            trace::attempt_overtaken(
                &self.call,
                winner.upstream(),
                loser.upstream(),
                by_replacement,
            );
            let metrics = &self.gateway.parts().metrics;
            metrics.replacement(match by_replacement {
                true => ReplacementOutcome::Won,
                false => ReplacementOutcome::Overtaken,
            });
            if by_replacement && loser.is_direct() && !loser.is_on_lost_path() {
                self.record_overtaken(&loser);
            }
            self.race.discard(loser.number);
        }
        self.running.push(winner);
    }

    fn record_overtaken(&self, loser: &RunningAttempt) {
        if let (Some(upstream), Some(age)) = (loser.upstream(), loser.age()) {
            let client = self.gateway.upstream_client();
            client.record_overtaken(&upstream, age, &self.call.id);
        }
    }

    /// Records that an attempt went on, if its upstream was found to be silent.
    fn record_end_of_silence(&mut self, index: usize) {
        let attempt = &self.running[index];
        if self.silent_attempt != Some(attempt.number) {
            return;
        }
        self.silent_attempt = None;
        if self.avoided_attempt == Some(attempt.number) {
            self.avoided_attempt = None;
        }
        if let Some(upstream) = attempt.upstream() {
            let upstreams = &self.gateway.parts().upstreams;
            upstreams.record_sign_of_life(key_of(&upstream));
        }
    }

    /// Ends an attempt that is lost; an error if no other runs and none may follow.
    async fn lose(&mut self, index: usize, error: AttemptError) -> Result<(), AttemptError> {
        let lost = self.running.remove(index);
        self.race.discard(lost.number);
        self.record_failure(&error);
        self.record_failed_attempt(&lost, &error).await;
        drop(lost);
        if matches!(error, AttemptError::DeadlineExceeded) {
            self.running.clear();
            return Err(error);
        }
        if !self.running.is_empty() {
            self.postpone_replacement();
            return Ok(());
        }
        self.follow(error).await
    }

    fn record_failure(&self, error: &AttemptError) {
        let other = self.running.first().and_then(RunningAttempt::upstream);
        let mut history = self.history.borrow_mut();
        match other {
            Some(running) => history.record_failure_beside(key_of(&running), error),
            None => history.record_failure(&self.gateway, error),
        }
    }

    /// Makes another attempt after the last one that ran has ended.
    ///
    /// A caller that has a part of its answer waits for what is not to be had at the moment: to
    /// break off would cost it that part too. Any other is told at once, as it may go elsewhere.
    async fn follow(&mut self, error: AttemptError) -> Result<(), AttemptError> {
        let mut resend = match self.race.resume_point() {
            ResumePoint::None => Resend::Never,
            ResumePoint::After(_) => {
                let history = self.history.borrow();
                history.resend_after(&self.gateway, &self.call, &error)
            }
        };
        loop {
            match resend {
                Resend::Allowed(leave) => {
                    self.begin(leave);
                    return Ok(());
                }
                Resend::NoBudget if self.is_open => {}
                Resend::Never if self.is_open && self.is_temporary(&error) => {}
                Resend::NoBudget | Resend::Never => return Err(error),
            }
            if self.call.time_left() < MIN_ATTEMPT_TIME + BUDGET_PAUSE {
                return Err(error);
            }
            compio::time::sleep(BUDGET_PAUSE).await;
            let mut history = self.history.borrow_mut();
            if let AttemptError::NoUpstream(NoUpstream::AllTried) = error {
                history.tried.clear();
            }
            resend = history.resend(&self.gateway, &self.call);
        }
    }

    /// Whether an attempt that failed with `error` may be had a little later.
    fn is_temporary(&self, error: &AttemptError) -> bool {
        let is_temporary = match error {
            AttemptError::NoUpstream(reason) => *reason != NoUpstream::TooLarge,
            AttemptError::RateLimited { .. }
            | AttemptError::Resting { .. }
            | AttemptError::NoPath
            | AttemptError::Unreachable(_) => true,
            AttemptError::NotRun(_)
            | AttemptError::MayHaveRun(_)
            | AttemptError::ConnectionLost(_)
            | AttemptError::Quarantined { .. }
            | AttemptError::Stopping
            | AttemptError::CutOff
            | AttemptError::DeadlineExceeded => false,
        };
        is_temporary && self.may_be_sent_again()
    }

    /// Whether the route allows another attempt, from where the answer stands.
    fn may_be_sent_again(&self) -> bool {
        self.call.route.safety.may_retry()
            && self.race.resume_point() != ResumePoint::None
            && self.history.borrow().has_attempts_left(&self.call)
    }

    /// Starts an attempt.
    fn begin(&mut self, leave: SendLeave) {
        let ResumePoint::After(last_event_id) = self.race.resume_point() else {
            return;
        };
        let number = self.next_number;
        self.next_number += 1;
        self.race.begin(number, last_event_id);
        let plan = AttemptPlan {
            number,
            last_event_id,
            leave,
        };
        let attempt = RunningAttempt::start(&self.gateway, &self.call, &self.history, plan);
        self.running.push(attempt);
    }

    /// Time until the attempt that runs may need a replacement; `None` if it can have none.
    fn time_to_check(&self) -> Option<Duration> {
        let [attempt] = &self.running[..] else {
            return None;
        };
        if !self.may_be_sent_again() {
            return None;
        }
        let Some(silence) = attempt.silence() else {
            return Some(CHECK_PERIOD);
        };
        let limit = SilenceLimit::of(&self.gateway, &self.call, attempt);
        let pause = self.next_replacement_at.saturating_sub(self.run_time());
        let time = limit.own.saturating_sub(silence).max(pause);
        Some(time.clamp(MIN_CHECK_PERIOD, CHECK_PERIOD))
    }

    /// Starts a replacement beside the attempt that runs, if it needs one.
    fn replace_if_due(&mut self) {
        let [attempt] = &self.running[..] else {
            return;
        };
        let (Some(silence), Some(upstream)) = (attempt.silence(), attempt.upstream()) else {
            return;
        };
        let limit = SilenceLimit::of(&self.gateway, &self.call, attempt);
        let trigger = match attempt.is_on_lost_path() {
            true => HedgeTrigger::PathLost,
            false if silence >= limit.own => HedgeTrigger::Silence,
            false => return,
        };
        if self.run_time() < self.next_replacement_at || !self.may_be_sent_again() {
            return;
        }
        let number = attempt.number;
        self.postpone_replacement();
        let summary = self
            .gateway
            .silence()
            .summary(&self.call.service, limit.own * 3 / 4);
        let is_common = trigger == HedgeTrigger::Silence && summary.is_common();
        let is_new = self.silent_attempt.replace(number) != Some(number);
        if is_new {
            let silent = trace::SilentAttempt {
                upstream: &upstream,
                trigger,
                silence,
                limit: limit.own,
                summary,
                lateness: self.gateway.silence().lateness(),
            };
            trace::attempt_silent(&self.call, &silent);
        }
        let metrics = &self.gateway.parts().metrics;
        if is_common && silence < limit.common {
            metrics.replacement(ReplacementOutcome::CommonSilence);
            return;
        }
        let is_avoided = self.avoided_attempt.replace(number) == Some(number);
        if !is_avoided && trigger == HedgeTrigger::Silence {
            self.gateway
                .upstream_client()
                .avoid_silent(&upstream, &self.call.id);
        }
        if self.call.time_left() < MIN_ATTEMPT_TIME || is_near_quarantine(&self.gateway, &self.call)
        {
            return;
        }
        let resend = self.history.borrow().resend(&self.gateway, &self.call);
        let Resend::Allowed(leave) = resend else {
            metrics.replacement(ReplacementOutcome::RefusedByBudget);
            self.next_replacement_at = self.run_time() + BUDGET_PAUSE;
            return;
        };
        metrics.replacement(ReplacementOutcome::Started);
        self.begin(leave);
    }

    fn postpone_replacement(&mut self) {
        self.next_replacement_at = self.run_time() + REPLACEMENT_PAUSE;
    }

    fn run_time(&self) -> RunTime {
        self.gateway.silence().run_time()
    }

    /// Records an attempt that failed in metrics and logs, and checks whether its upstream crashed.
    async fn record_failed_attempt(&self, lost: &RunningAttempt, error: &AttemptError) {
        let has_other_attempt = !self.running.is_empty();
        let has_sent_attempt = self.running.iter().any(|other| other.age().is_some());
        if has_other_attempt {
            let metrics = &self.gateway.parts().metrics;
            metrics.replacement(replacement_failure(error));
        }
        let Some(upstream) = lost.upstream() else {
            return;
        };
        let failed = FailedAttempt {
            upstream: &upstream,
            outcome: match lost.stream() {
                Some(_) => OUTCOME_BROKEN_OFF,
                None => error.code(),
            },
            progress: lost.answer_progress(),
        };
        let zone = &upstream.availability_zone;
        let metrics = &self.gateway.parts().metrics;
        metrics.attempt_ended(zone, failed.outcome);
        trace::attempt_failed(&self.call, &failed, &error.to_string(), has_other_attempt);
        if let AttemptError::ConnectionLost(_) = error {
            if lost.stream().is_some() && lost.is_direct() {
                self.gateway
                    .upstream_client()
                    .suspect(&upstream, &self.call.id);
            }
            record_lost_connection(
                &self.gateway,
                &self.call,
                &self.history,
                &failed,
                has_sent_attempt,
            )
            .await;
        }
    }
}

/// How an attempt failed beside another one.
fn replacement_failure(error: &AttemptError) -> ReplacementOutcome {
    match error {
        AttemptError::NoUpstream(_)
        | AttemptError::RateLimited { .. }
        | AttemptError::Resting { .. }
        | AttemptError::Quarantined { .. }
        | AttemptError::Stopping
        | AttemptError::NoPath
        | AttemptError::Unreachable(_) => ReplacementOutcome::NotPlaced,
        AttemptError::NotRun(_) => ReplacementOutcome::RefusedByUpstream,
        AttemptError::MayHaveRun(_)
        | AttemptError::ConnectionLost(_)
        | AttemptError::CutOff
        | AttemptError::DeadlineExceeded => ReplacementOutcome::Failed,
    }
}
