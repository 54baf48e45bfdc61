//! One attempt that runs, from its placement to the end of its answer.
//!
//! It ends with its answer, with the proof that it is lost, or with the deadline of the request;
//! dropping it closes the connection to its upstream and releases what it holds there.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, LocalBoxFuture, pending, select};
use futures_util::{FutureExt, Stream, StreamExt};
use http::{HeaderMap, StatusCode};
use mangofront_bodies::{NoRoom, Purpose, Reservation};
use mangofront_engines::{Placement, key_of};
use mangofront_routes::Upstream;
use mangofront_upstream::SendError;

use crate::attempts::{
    AttemptAnswer, AttemptPlan, AttemptProgress, attempt, until_restart, upstream_restarted,
};
use crate::body_end::BodyEnd;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::history::{AnswerProgress, AttemptError, SharedHistory};
use crate::quarantine::{record_complete_answer, record_underway};
use crate::reservations::Reservations;
use crate::silence::RunTime;
use crate::stream_race::AttemptNumber;
use crate::upstream_client::Way;
use crate::usual_times::Wait;

/// Time from the first event after which an answer is underway: an upstream that a prompt crashes
/// as its answer starts may send an event before it ends.
const START_OF_ANSWER: Duration = Duration::from_millis(200);

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, SendError>>>>;

/// Something that an attempt brought.
#[derive(Debug)]
pub(crate) enum AttemptEvent {
    /// The head of the answer.
    Head(StatusCode),
    /// A part of a stream.
    Chunk(Bytes),
    /// The orderly end of a stream.
    End,
    /// An answer that is not a stream.
    Whole(CompleteAnswer),
}

/// A complete answer that is not a stream.
#[derive(Debug)]
pub(crate) struct CompleteAnswer {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) upstream: String,
    pub(crate) engines: usize,
    pub(crate) expected: Duration,
}

enum Stage {
    /// Is placed and sent, and waits for the head of its answer.
    Starting(LocalBoxFuture<'static, Result<AttemptAnswer, AttemptError>>),
    /// Reads a stream.
    Streaming(Box<UpstreamStream>),
    /// Checks that a stream which has ended is complete.
    Confirming(
        Box<UpstreamStream>,
        LocalBoxFuture<'static, Result<(), AttemptError>>,
    ),
    /// Reads an answer that is not a stream.
    Reading(LocalBoxFuture<'static, Result<CompleteAnswer, AttemptError>>),
    /// Has brought all of its answer.
    Ended,
}

/// An attempt that runs.
pub(crate) struct RunningAttempt {
    pub(crate) number: AttemptNumber,
    gateway: Gateway,
    call: Rc<Call>,
    progress: Rc<AttemptProgress>,
    stage: Stage,
    /// When something last arrived from its upstream.
    heard_at: RunTime,
    /// When its last events arrived.
    waits_since: Option<RunTime>,
    /// When its first event arrived.
    first_event_at: Option<Instant>,
    answer_progress: AnswerProgress,
}

impl RunningAttempt {
    /// Starts an attempt.
    pub(crate) fn start(
        gateway: &Gateway,
        call: &Rc<Call>,
        history: &SharedHistory,
        plan: AttemptPlan,
    ) -> Self {
        let number = plan.number;
        let progress = Rc::new(AttemptProgress::default());
        let starting = attempt(
            gateway.clone(),
            Rc::clone(call),
            Rc::clone(history),
            plan,
            Rc::clone(&progress),
        );
        Self {
            number,
            gateway: gateway.clone(),
            call: Rc::clone(call),
            progress,
            stage: Stage::Starting(starting.boxed_local()),
            heard_at: gateway.silence().run_time(),
            waits_since: None,
            first_event_at: None,
            answer_progress: AnswerProgress::Starting,
        }
    }

    /// Waits for what the attempt brings next; must not be called again after an error or an end.
    ///
    /// Nothing is lost if the future is dropped.
    pub(crate) async fn next(&mut self) -> Result<AttemptEvent, AttemptError> {
        let event = loop {
            match &mut self.stage {
                Stage::Starting(starting) => {
                    let answer = starting.await?;
                    let status = answer.answer.status;
                    self.stage = self.stage_after_head(answer);
                    break AttemptEvent::Head(status);
                }
                Stage::Streaming(stream) => match stream.next(&self.gateway, &self.call).await? {
                    Some(chunk) => break AttemptEvent::Chunk(chunk),
                    None => self.confirm_end(),
                },
                Stage::Confirming(_, confirming) => {
                    confirming.await?;
                    break AttemptEvent::End;
                }
                Stage::Reading(reading) => {
                    let answer = reading.await?;
                    self.record_answer_time();
                    break AttemptEvent::Whole(answer);
                }
                Stage::Ended => pending::<()>().await,
            }
        };
        self.heard_at = self.gateway.silence().run_time();
        if let Some(upstream) = self.progress.upstream() {
            self.gateway.silence().hear(key_of(&upstream));
        }
        Ok(event)
    }

    fn stage_after_head(&self, answer: AttemptAnswer) -> Stage {
        let is_stream = self.call.route.safety.is_stream() && answer.answer.status.is_success();
        match is_stream {
            true => Stage::Streaming(Box::new(UpstreamStream::new(&self.gateway, answer))),
            false => {
                let reading = read_complete(self.gateway.clone(), Rc::clone(&self.call), answer);
                Stage::Reading(reading.boxed_local())
            }
        }
    }

    fn confirm_end(&mut self) {
        if let Stage::Streaming(stream) = std::mem::replace(&mut self.stage, Stage::Ended) {
            let (end, gateway, upstream) =
                (stream.end, self.gateway.clone(), stream.upstream.clone());
            let confirming = async move { end.confirm(&gateway, &upstream).await };
            self.stage = Stage::Confirming(stream, confirming.boxed_local());
        }
    }

    /// Records that the attempt completed events, which are forwarded.
    pub(crate) fn record_events(&mut self) {
        let now = Instant::now();
        self.record_wait();
        let is_first = self.first_event_at.is_none();
        let began = *self.first_event_at.get_or_insert(now);
        if is_first && let Some(stream) = self.stream_mut() {
            stream.placement.record_first_event();
        }
        let is_underway = now.saturating_duration_since(began) >= START_OF_ANSWER;
        if is_underway && self.answer_progress == AnswerProgress::Starting {
            self.answer_progress = AnswerProgress::Underway;
            record_underway(&self.gateway, &self.call);
        }
    }

    /// Records how long the upstream took for what it has just sent.
    fn record_wait(&mut self) {
        let now = self.gateway.silence().run_time();
        let since = self.waits_since.replace(now).or(self.progress.sent_at());
        let Some(since) = since else { return };
        let took = now.saturating_sub(since);
        let (wait, time) = match self.first_event_at {
            Some(_) => (Wait::NextEvent, took),
            None => (Wait::FirstEvent, took.saturating_sub(self.expected())),
        };
        let service = &self.call.service;
        self.gateway.usual_times().record(service, wait, time);
    }

    fn record_answer_time(&self) {
        if let Some(sent_at) = self.progress.sent_at() {
            let time = self.gateway.silence().run_time().saturating_sub(sent_at);
            let service = &self.call.service;
            self.gateway
                .usual_times()
                .record(service, Wait::Answer, time);
        }
    }

    /// Records that the caller got the complete stream.
    pub(crate) fn record_complete(&mut self) {
        record_complete_answer(&self.gateway, &self.call, StatusCode::OK);
        if let Some(stream) = self.stream_mut() {
            stream.placement.record_complete();
        }
    }

    /// Sets the memory that the incomplete event of its stream takes.
    pub(crate) fn set_pending_bytes(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let Some(stream) = self.stream_mut() else {
            return Ok(());
        };
        stream.pending_event.shrink_to(bytes);
        stream.pending_event.grow_to(bytes)
    }

    fn stream_mut(&mut self) -> Option<&mut UpstreamStream> {
        match &mut self.stage {
            Stage::Streaming(stream) | Stage::Confirming(stream, _) => Some(stream),
            Stage::Starting(_) | Stage::Reading(_) | Stage::Ended => None,
        }
    }

    /// The stream that it reads, once its head has arrived.
    pub(crate) fn stream(&self) -> Option<&UpstreamStream> {
        match &self.stage {
            Stage::Streaming(stream) | Stage::Confirming(stream, _) => Some(stream),
            Stage::Starting(_) | Stage::Reading(_) | Stage::Ended => None,
        }
    }

    /// The upstream that answers, once one is selected.
    pub(crate) fn upstream(&self) -> Option<Upstream> {
        self.progress.upstream()
    }

    /// How far the answer got.
    pub(crate) fn answer_progress(&self) -> AnswerProgress {
        self.answer_progress
    }

    /// Whether events of it were forwarded.
    pub(crate) fn has_events(&self) -> bool {
        self.first_event_at.is_some()
    }

    /// Predicted time from its send to its first event.
    pub(crate) fn expected(&self) -> Duration {
        self.progress.expected()
    }

    /// Time for which its upstream has sent nothing, in the time in which this daemon ran;
    /// `None` before the request was sent.
    pub(crate) fn silence(&self) -> Option<Duration> {
        let since = self.progress.sent_at()?.max(self.heard_at);
        Some(self.gateway.silence().run_time().saturating_sub(since))
    }

    /// Time since it was sent, in the time in which this daemon ran.
    pub(crate) fn age(&self) -> Option<Duration> {
        let sent_at = self.progress.sent_at()?;
        Some(self.gateway.silence().run_time().saturating_sub(sent_at))
    }

    /// Whether it goes on a connection of this daemon to its upstream.
    pub(crate) fn is_direct(&self) -> bool {
        self.progress.is_direct()
    }

    /// Whether the path on which it was sent is lost, and nothing arrives on it.
    pub(crate) fn is_on_lost_path(&self) -> bool {
        let is_silent = |upstream| {
            let paths = self.gateway.upstream_client().paths();
            paths.is_silent(key_of(&upstream))
        };
        self.progress.is_direct()
            && self.progress.sent_at().is_some()
            && self.upstream().is_some_and(is_silent)
    }
}

/// The stream of one upstream.
pub(crate) struct UpstreamStream {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) placement: Placement,
    pub(crate) upstream: Upstream,
    chunks: Chunks,
    end: BodyEnd,
    way: Way,
    /// Memory of the event that is not complete yet.
    pending_event: Reservation,
    /// Released when the stream ends.
    _reservations: Reservations,
}

impl UpstreamStream {
    fn new(gateway: &Gateway, answered: AttemptAnswer) -> Self {
        let dialect = &gateway.parts().dialect;
        Self {
            status: answered.answer.status,
            headers: dialect.answer_headers(&answered.answer.headers),
            end: BodyEnd::of(&answered.answer),
            chunks: Box::pin(answered.answer.chunks()),
            placement: answered.placement,
            upstream: answered.upstream,
            way: answered.way,
            pending_event: gateway.body_memory().reserve_growing(Purpose::Stream),
            _reservations: answered.reservations,
        }
    }

    /// The next chunk; `None` at the end.
    async fn next(
        &mut self,
        gateway: &Gateway,
        call: &Call,
    ) -> Result<Option<Bytes>, AttemptError> {
        let chunk = pin!(compio::time::timeout_at(call.deadline, self.chunks.next()));
        let next = pin!(until_restart(&mut self.placement, chunk));
        let next = match select(pin!(self.pending_event.ended()), next).await {
            Either::Left((no_room, _)) => {
                return Err(AttemptError::MayHaveRun(no_room.to_string()));
            }
            Either::Right((next, _)) => next.ok_or_else(upstream_restarted)?,
        };
        match next.map_err(|_elapsed| AttemptError::DeadlineExceeded)? {
            Some(Ok(chunk)) => {
                let key = key_of(&self.upstream);
                gateway.parts().upstreams.received_from(key);
                if matches!(self.way, Way::Direct { .. }) {
                    gateway.upstream_client().paths().receive(key);
                }
                Ok(Some(chunk))
            }
            Some(Err(error)) => Err(AttemptError::ConnectionLost(error.to_string())),
            None => Ok(None),
        }
    }
}

/// Reads an answer that is not a stream.
async fn read_complete(
    gateway: Gateway,
    call: Rc<Call>,
    answered: AttemptAnswer,
) -> Result<CompleteAnswer, AttemptError> {
    let AttemptAnswer {
        answer,
        mut placement,
        upstream,
        reservations,
        way: _way,
    } = answered;
    let status = answer.status;
    let headers = gateway.parts().dialect.answer_headers(&answer.headers);
    let end = BodyEnd::of(&answer);
    let limit_bytes = gateway.options().answer_limit_bytes;
    let body = pin!(answer.bytes(Purpose::Answer, limit_bytes, call.deadline));
    let read = until_restart(&mut placement, body).await;
    placement.record_first_event();
    drop(reservations);
    match read.ok_or_else(upstream_restarted)? {
        Ok(body) => {
            end.confirm(&gateway, &upstream).await?;
            placement.record_complete();
            record_complete_answer(&gateway, &call, status);
            Ok(CompleteAnswer {
                status,
                headers,
                body,
                upstream: upstream.id,
                engines: placement.shares.len(),
                expected: placement.expected_first_event,
            })
        }
        Err(_) if call.time_left().is_zero() => Err(AttemptError::DeadlineExceeded),
        Err(error @ SendError::ConnectionFailed { .. }) => {
            Err(AttemptError::ConnectionLost(error.to_string()))
        }
        Err(error) => Err(AttemptError::MayHaveRun(error.to_string())),
    }
}
