//! Relays a stream of events to its caller.
//!
//! Only complete events are forwarded. If the upstream breaks off, or is silent for much
//! longer than its usual pauses, another upstream resumes after the last event if the route
//! allows it; the caller sees a single answer. Otherwise the caller's connection is
//! aborted, so that the caller can tell that the answer is incomplete. Dropping the relay,
//! as happens when the caller disconnects, also drops the connection to the upstream.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::time::Elapsed;
use futures_util::future::{Either, LocalBoxFuture, pending, select};
use futures_util::{FutureExt, Stream, StreamExt};
use http::{HeaderMap, StatusCode};
use mangofront_engines::{Failure, Placement, key_of};
use mangofront_http::Aborted;
use mangofront_routes::{RetrySafety, Upstream};
use mangofront_telemetry::metrics::RequestOutcome;
use mangofront_upstream::SendError;

use crate::answer::request_summary;
use crate::attempts::{
    AttemptAnswer, FailedAttempt, OUTCOME_BROKEN_OFF, attempt, record_failed_attempt,
    until_restart, upstream_restarted,
};
use crate::body_end::BodyEnd;
use crate::call::Call;
use crate::events::EventFramer;
use crate::gateway::Gateway;
use crate::history::{AnswerProgress, AttemptError, History};
use crate::quarantine::{record_complete_answer, record_underway};
use crate::reservations::Reservations;
use crate::trace::RequestSummary;
use crate::upstream_client::Way;

/// Multiple of the usual gap between events after which a silent upstream is given up.
const SILENCE_TIMEOUT_GAPS: u32 = 4;

/// Minimum silence before an upstream is given up: the time in which engines detect that a
/// helper, which holds a part of the prompt, is gone.
const MIN_SILENCE_TIMEOUT: Duration = Duration::from_millis(1_300);

/// Time from the first event after which an answer is underway: an upstream that a prompt crashes
/// as its answer starts may send an event before it ends.
const START_OF_ANSWER: Duration = Duration::from_millis(200);

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, SendError>>>>;

/// A chunk, the end of the stream, or the expired deadline.
type NextChunk = Result<Option<Result<Bytes, SendError>>, Elapsed>;

/// The stream of one upstream.
struct UpstreamStream {
    chunks: Chunks,
    end: BodyEnd,
    placement: Placement,
    upstream: Upstream,
    way: Way,
    /// Completes when the direct path is lost and silent.
    path_lost: LocalBoxFuture<'static, ()>,
    /// Released when the stream ends.
    _reservations: Reservations,
}

impl UpstreamStream {
    fn new(gateway: &Gateway, attempt_answer: AttemptAnswer) -> Self {
        let paths = gateway.upstream_client().paths().clone();
        let key = key_of(&attempt_answer.upstream);
        let path_lost = match attempt_answer.way {
            Way::Direct { .. } => paths.wait_until_silent(key).boxed_local(),
            Way::Proxied { .. } => pending().boxed_local(),
        };
        Self {
            path_lost,
            end: BodyEnd::of(&attempt_answer.answer),
            chunks: Box::pin(attempt_answer.answer.chunks()),
            placement: attempt_answer.placement,
            upstream: attempt_answer.upstream,
            way: attempt_answer.way,
            _reservations: attempt_answer.reservations,
        }
    }

    /// The next chunk; waits until `deadline` at most.
    ///
    /// It also ends once the direct path is lost and silent, if `may_resend` then returns true.
    async fn next(
        &mut self,
        gateway: &Gateway,
        deadline: Instant,
        may_resend: impl Fn() -> bool,
    ) -> Result<NextChunk, AttemptError> {
        let chunk = pin!(compio::time::timeout_at(deadline, self.chunks.next()));
        let next = pin!(until_restart(&mut self.placement, chunk));
        let next = match select(next, &mut self.path_lost).await {
            Either::Left((next, _)) => next,
            Either::Right(_) if may_resend() => return Err(AttemptError::PathLost),
            Either::Right((_, next)) => {
                self.path_lost = pending().boxed_local();
                next.await
            }
        };
        let next = next.ok_or_else(upstream_restarted)?;
        if matches!((&self.way, &next), (Way::Direct { .. }, Ok(Some(Ok(_))))) {
            let paths = gateway.upstream_client().paths();
            paths.receive(key_of(&self.upstream));
        }
        Ok(next)
    }
}

/// A stream whose first event has arrived.
pub(crate) struct OpenedStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    stream: UpstreamStream,
    framer: EventFramer,
    first: Bytes,
    is_finished: bool,
}

impl OpenedStream {
    /// Waits for the first event.
    pub(crate) async fn read(
        gateway: &Gateway,
        call: &Call,
        attempt_answer: AttemptAnswer,
        history: &History,
    ) -> Result<Self, AttemptError> {
        let status = attempt_answer.answer.status;
        let headers = gateway
            .parts()
            .dialect
            .answer_headers(&attempt_answer.answer.headers);
        let mut opened = Self {
            status,
            headers,
            stream: UpstreamStream::new(gateway, attempt_answer),
            framer: EventFramer::after(call.last_event_id),
            first: Bytes::new(),
            is_finished: false,
        };
        let timeout = first_event_timeout(gateway, call, history, &opened.stream.placement);
        let deadline = Instant::now() + timeout;
        while opened.first.is_empty() && !opened.is_finished {
            opened.read_chunk(gateway, call, history, deadline).await?;
        }
        opened.stream.placement.record_first_event();
        Ok(opened)
    }

    async fn read_chunk(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        history: &History,
        deadline: Instant,
    ) -> Result<(), AttemptError> {
        let may_resend = || call.route.safety.may_retry() && history.may_resend(gateway, call);
        let next = self.stream.next(gateway, deadline, may_resend).await?;
        let client = gateway.upstream_client();
        match next {
            Ok(Some(Ok(chunk))) => {
                let framed = self.framer.push(&chunk);
                let framed = framed
                    .ok_or_else(|| AttemptError::MayHaveRun("an endless event".to_owned()))?;
                self.first = framed.bytes;
                Ok(())
            }
            Ok(None) if !self.framer.is_mid_event() => {
                let stream = &self.stream;
                stream.end.confirm(gateway, &stream.upstream).await?;
                self.is_finished = true;
                Ok(())
            }
            Ok(None) => Err(AttemptError::ConnectionLost(
                "ended within an event".to_owned(),
            )),
            Ok(Some(Err(error))) => {
                client.suspect(&self.stream.upstream, Failure::Unreachable, &call.id);
                Err(AttemptError::ConnectionLost(error.to_string()))
            }
            Err(_) if call.time_left().is_zero() => Err(AttemptError::DeadlineExceeded),
            Err(_) => {
                client.suspect(&self.stream.upstream, Failure::Silent, &call.id);
                Err(AttemptError::MayHaveRun("no first event".to_owned()))
            }
        }
    }
}

/// Time to wait for the first event.
fn first_event_timeout(
    gateway: &Gateway,
    call: &Call,
    history: &History,
    placement: &Placement,
) -> Duration {
    let left = call.time_left();
    if !call.route.safety.may_retry() || !history.has_attempts_left(call) {
        return left;
    }
    let predicted = placement.expected_first_event * 3 + gateway.stall_timeout();
    left.min(predicted + Duration::from_millis(500))
}

/// State of a stream that is being relayed.
pub(crate) struct Relay {
    gateway: Gateway,
    call: Rc<Call>,
    history: History,
    stream: Option<UpstreamStream>,
    framer: EventFramer,
    /// Events that were read but not forwarded yet.
    pending_events: Option<Bytes>,
    is_finished: bool,
    first_event: Duration,
    /// When the current attempt sent its first event.
    attempt_began: Option<Instant>,
    /// How far the current attempt got.
    progress: AnswerProgress,
    last_event_at: Instant,
    longest_pause: Duration,
    outcome: RequestOutcome,
    reason: String,
}

impl Relay {
    pub(crate) fn new(
        gateway: Gateway,
        call: Rc<Call>,
        opened: OpenedStream,
        history: History,
    ) -> Self {
        let pending_events = Some(opened.first).filter(|first| !first.is_empty());
        Self {
            first_event: call.arrived.elapsed(),
            gateway,
            call,
            history,
            stream: Some(opened.stream),
            framer: opened.framer,
            pending_events,
            is_finished: opened.is_finished,
            attempt_began: Some(Instant::now()),
            progress: AnswerProgress::Starting,
            last_event_at: Instant::now(),
            longest_pause: Duration::ZERO,
            outcome: RequestOutcome::Cancelled,
            reason: String::new(),
        }
    }

    /// The events as they arrive.
    pub(crate) fn chunks(self) -> impl Stream<Item = Result<Bytes, Aborted>> {
        futures_util::stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        loop {
            if let Some(pending_events) = self.pending_events.take() {
                return Some(Ok(pending_events));
            }
            if self.is_finished {
                if self.outcome == RequestOutcome::Cancelled {
                    self.outcome = RequestOutcome::Answered;
                    record_complete_answer(&self.gateway, &self.call, StatusCode::OK);
                    if let Some(stream) = self.stream.as_mut() {
                        stream.placement.record_complete();
                    }
                }
                return None;
            }
            let Err(error) = self.read().await else {
                continue;
            };
            if let Err(error) = self.resume(error).await {
                return Some(Err(self.abort(&error)));
            }
        }
    }

    /// Reads one chunk from the upstream.
    async fn read(&mut self) -> Result<(), AttemptError> {
        let Some(stream) = self.stream.as_mut() else {
            return Err(AttemptError::DeadlineExceeded);
        };
        let silence_timeout = silence_timeout(&self.call, &self.history);
        let deadline = self.call.deadline.min(Instant::now() + silence_timeout);
        let is_resumable = matches!(
            self.call.route.safety,
            RetrySafety::Stream {
                resumable: true,
                ..
            }
        );
        let may_resend = || is_resumable && self.history.may_resend(&self.gateway, &self.call);
        let next = stream.next(&self.gateway, deadline, may_resend).await?;
        match next {
            Ok(Some(Ok(chunk))) => {
                let key = key_of(&stream.upstream);
                self.gateway.parts().upstreams.received_from(key);
                let framed = self.framer.push(&chunk);
                let framed = framed
                    .ok_or_else(|| AttemptError::MayHaveRun("an endless event".to_owned()))?;
                self.pending_events = Some(framed.bytes).filter(|bytes| !bytes.is_empty());
                if self.pending_events.is_some() {
                    let now = Instant::now();
                    let pause = now.saturating_duration_since(self.last_event_at);
                    self.longest_pause = self.longest_pause.max(pause);
                    self.last_event_at = now;
                    self.record_events(now);
                }
                Ok(())
            }
            Ok(None) if !self.framer.is_mid_event() => {
                stream.end.confirm(&self.gateway, &stream.upstream).await?;
                self.is_finished = true;
                Ok(())
            }
            Ok(None) => Err(AttemptError::ConnectionLost(
                "ended within an event".to_owned(),
            )),
            Ok(Some(Err(error))) => Err(AttemptError::ConnectionLost(error.to_string())),
            Err(_) if self.call.time_left().is_zero() => Err(AttemptError::DeadlineExceeded),
            // Without budget for a retry only the upstream itself can continue, and it may
            // merely be slow.
            Err(_) if !self.may_resume_elsewhere() => Ok(()),
            Err(_) => Err(AttemptError::MayHaveRun("silent".to_owned())),
        }
    }

    /// Records that the current attempt sent events.
    fn record_events(&mut self, now: Instant) {
        let began = *self.attempt_began.get_or_insert(now);
        let is_underway = now.saturating_duration_since(began) >= START_OF_ANSWER;
        if is_underway && self.progress == AnswerProgress::Starting {
            self.progress = AnswerProgress::Underway;
            record_underway(&self.gateway, &self.call);
        }
    }

    /// Whether the retry budget allows another upstream to resume the stream.
    fn may_resume_elsewhere(&self) -> bool {
        let budget = self.gateway.retry_budget();
        budget.has_room(&self.call.service, Instant::now())
    }

    /// Has another upstream resume the stream after the last event.
    async fn resume(&mut self, error: AttemptError) -> Result<(), AttemptError> {
        let mut error = error;
        if let Some(broken) = self.stream.take() {
            let upstream = &broken.upstream;
            if !matches!(error, AttemptError::PathLost) {
                let client = self.gateway.upstream_client();
                client.suspect(upstream, Failure::Unreachable, &self.call.id);
            }
            let failed = FailedAttempt {
                upstream,
                outcome: OUTCOME_BROKEN_OFF,
                progress: self.progress,
            };
            record_failed_attempt(&self.gateway, &self.call, &self.history, &failed, &error).await;
        }
        let last_id = self.framer.last_id();
        while last_id.is_some() && self.history.may_retry(&self.gateway, &self.call, &error) {
            let resumed = attempt(&self.gateway, &self.call, &mut self.history, last_id).await;
            match resumed {
                Ok(attempt_answer) if attempt_answer.answer.status.is_success() => {
                    let mut stream = UpstreamStream::new(&self.gateway, attempt_answer);
                    stream.placement.record_first_event();
                    self.stream = Some(stream);
                    self.framer = EventFramer::after(last_id);
                    self.attempt_began = None;
                    self.progress = AnswerProgress::Starting;
                    return Ok(());
                }
                Ok(attempt_answer) => {
                    error = AttemptError::MayHaveRun(format!(
                        "answered {}",
                        attempt_answer.answer.status
                    ));
                }
                Err(next) => error = next,
            }
        }
        Err(error)
    }

    fn abort(&mut self, error: &AttemptError) -> Aborted {
        self.outcome = RequestOutcome::Failed;
        self.reason = error.to_string();
        self.is_finished = true;
        self.stream = None;
        Aborted
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let (upstream, engines, expected) = match &self.stream {
            Some(stream) => (
                stream.upstream.id.as_str(),
                stream.placement.shares.len(),
                stream.placement.expected_first_event,
            ),
            None => ("", 0, Duration::ZERO),
        };
        let summary = RequestSummary {
            outcome: self.outcome,
            reason: &self.reason,
            status: 200,
            upstream,
            engines,
            expected,
            first_event: Some(self.first_event),
            longest_pause: self.longest_pause,
            ..request_summary(&self.call, &self.history)
        };
        summary.write(&self.gateway.parts().metrics);
    }
}

/// Silence after which the upstream is given up, if another one may resume the stream.
fn silence_timeout(call: &Call, history: &History) -> Duration {
    let RetrySafety::Stream { resumable, gap } = call.route.safety else {
        return call.time_left();
    };
    if !resumable || !history.has_attempts_left(call) {
        return call.time_left();
    }
    (gap * SILENCE_TIMEOUT_GAPS).max(MIN_SILENCE_TIMEOUT)
}
