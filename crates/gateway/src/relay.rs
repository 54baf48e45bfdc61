//! A stream of events on its way to its caller.
//!
//! Only whole events are passed on. When the upstream breaks off, or says
//! nothing for much longer than its pauses, another one goes on after the last
//! event, if the route allows it; the caller sees one answer. Where that is not
//! possible the caller's connection is broken off, so that it can tell that the
//! answer is not whole. Dropping the relay, as happens when the caller leaves,
//! drops the connection to the upstream with it.

use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::time::Elapsed;
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, StatusCode};
use mangofront_engines::{Failure, Placement, key_of};
use mangofront_http::Aborted;
use mangofront_routes::{RetrySafety, Upstream};
use mangofront_telemetry::metrics::RequestOutcome;
use mangofront_upstream::SendError;

use crate::answer::ended;
use crate::attempts::{Answering, BROKEN_OFF, attempt, note_failed, restarted, until_restart};
use crate::call::Call;
use crate::events::EventFramer;
use crate::gateway::Gateway;
use crate::history::{Failed, History};
use crate::quarantine::note_answered;
use crate::reservations::Reservations;
use crate::trace::Ended;

/// Silence, in usual pauses, after which an upstream is given up.
const SILENT_PAUSES: u32 = 4;

/// Least silence after which an upstream is given up: the time in which engines
/// notice that one that holds a part of the prompt is gone.
const LEAST_SILENCE: Duration = Duration::from_millis(1_300);

type Chunks = Pin<Box<dyn Stream<Item = Result<Bytes, SendError>>>>;

/// A chunk, the end of the stream, or the end of the time for it.
type NextChunk = Result<Option<Result<Bytes, SendError>>, Elapsed>;

/// An upstream's stream.
struct Running {
    chunks: Chunks,
    placed: Placement,
    upstream: Upstream,
    /// Held until the stream ends.
    _reservations: Reservations,
}

impl Running {
    fn new(answering: Answering) -> Self {
        Self {
            chunks: Box::pin(answering.answer.chunks()),
            placed: answering.placed,
            upstream: answering.upstream,
            _reservations: answering.reservations,
        }
    }

    /// The next chunk, until `deadline` at the latest.
    async fn next(&mut self, deadline: Instant) -> Result<NextChunk, Failed> {
        let chunk = pin!(compio::time::timeout_at(deadline, self.chunks.next()));
        let next = until_restart(&mut self.placed, chunk).await;
        next.ok_or_else(restarted)
    }
}

/// A stream whose first event has come.
pub(crate) struct Opening {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    running: Running,
    framer: EventFramer,
    first: Bytes,
    is_over: bool,
}

impl Opening {
    /// Waits for the first event.
    pub(crate) async fn read(
        gateway: &Gateway,
        call: &Call,
        answering: Answering,
        history: &History,
    ) -> Result<Self, Failed> {
        let status = answering.answer.status;
        let headers = gateway
            .parts()
            .dialect
            .answer_headers(&answering.answer.headers);
        let mut opening = Self {
            status,
            headers,
            running: Running::new(answering),
            framer: EventFramer::after(call.last_event_id),
            first: Bytes::new(),
            is_over: false,
        };
        let patience = first_patience(gateway, call, history, &opening.running.placed);
        let deadline = Instant::now() + patience;
        while opening.first.is_empty() && !opening.is_over {
            opening.read_chunk(gateway, call, deadline).await?;
        }
        opening.running.placed.record_first_event();
        Ok(opening)
    }

    async fn read_chunk(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        deadline: Instant,
    ) -> Result<(), Failed> {
        let key = key_of(&self.running.upstream);
        let next = self.running.next(deadline).await?;
        match next {
            Ok(Some(Ok(chunk))) => {
                let framed = self.framer.push(&chunk);
                let framed =
                    framed.ok_or_else(|| Failed::MayHaveRun("an endless event".to_owned()))?;
                self.first = framed.bytes;
                Ok(())
            }
            Ok(None) if !self.framer.is_mid_event() => {
                self.is_over = true;
                Ok(())
            }
            Ok(None) => Err(Failed::Broken("ended within an event".to_owned())),
            Ok(Some(Err(error))) => {
                gateway.leave_out(key, Failure::Unreachable, &call.id);
                Err(Failed::Broken(error.to_string()))
            }
            Err(_) if call.time_left().is_zero() => Err(Failed::OutOfTime),
            Err(_) => {
                gateway.leave_out(key, Failure::Silent, &call.id);
                Err(Failed::MayHaveRun("no first event".to_owned()))
            }
        }
    }
}

/// How long to wait for the first event.
fn first_patience(
    gateway: &Gateway,
    call: &Call,
    history: &History,
    placed: &Placement,
) -> Duration {
    let left = call.time_left();
    if !call.route.safety.may_retry() || !history.may_send_again(call) {
        return left;
    }
    let predicted = placed.expected_first_event * 3 + gateway.stall_timeout();
    left.min(predicted + Duration::from_millis(500))
}

/// A stream that is passed on.
pub(crate) struct Relay {
    gateway: Gateway,
    call: Rc<Call>,
    history: History,
    running: Option<Running>,
    framer: EventFramer,
    /// Events that were read and not yet passed on.
    ready: Option<Bytes>,
    is_over: bool,
    first_event: Duration,
    last_event_at: Instant,
    longest_pause: Duration,
    outcome: RequestOutcome,
    reason: String,
}

impl Relay {
    pub(crate) fn new(
        gateway: Gateway,
        call: Rc<Call>,
        opening: Opening,
        history: History,
    ) -> Self {
        let ready = Some(opening.first).filter(|first| !first.is_empty());
        Self {
            first_event: call.arrived.elapsed(),
            gateway,
            call,
            history,
            running: Some(opening.running),
            framer: opening.framer,
            ready,
            is_over: opening.is_over,
            last_event_at: Instant::now(),
            longest_pause: Duration::ZERO,
            outcome: RequestOutcome::Cancelled,
            reason: String::new(),
        }
    }

    /// The events as they come.
    pub(crate) fn chunks(self) -> impl Stream<Item = Result<Bytes, Aborted>> {
        futures_util::stream::unfold(self, |mut relay| async move {
            let next = relay.next().await?;
            Some((next, relay))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, Aborted>> {
        loop {
            if let Some(ready) = self.ready.take() {
                return Some(Ok(ready));
            }
            if self.is_over {
                if self.outcome == RequestOutcome::Cancelled {
                    self.outcome = RequestOutcome::Answered;
                    note_answered(&self.gateway, &self.call);
                    if let Some(running) = self.running.as_mut() {
                        running.placed.record_complete();
                    }
                }
                return None;
            }
            let Err(failed) = self.read().await else {
                continue;
            };
            if let Err(failed) = self.resume(failed).await {
                return Some(Err(self.abort(&failed)));
            }
        }
    }

    /// Reads one chunk of the upstream.
    async fn read(&mut self) -> Result<(), Failed> {
        let Some(running) = self.running.as_mut() else {
            return Err(Failed::OutOfTime);
        };
        let silence = silence(&self.call, &self.history);
        let deadline = self.call.deadline.min(Instant::now() + silence);
        let next = running.next(deadline).await?;
        match next {
            Ok(Some(Ok(chunk))) => {
                let key = key_of(&running.upstream);
                self.gateway.parts().upstreams.received_from(key);
                let framed = self.framer.push(&chunk);
                let framed =
                    framed.ok_or_else(|| Failed::MayHaveRun("an endless event".to_owned()))?;
                self.ready = Some(framed.bytes).filter(|bytes| !bytes.is_empty());
                if self.ready.is_some() {
                    let now = Instant::now();
                    let pause = now.saturating_duration_since(self.last_event_at);
                    self.longest_pause = self.longest_pause.max(pause);
                    self.last_event_at = now;
                }
                Ok(())
            }
            Ok(None) if !self.framer.is_mid_event() => {
                self.is_over = true;
                Ok(())
            }
            Ok(None) => Err(Failed::Broken("ended within an event".to_owned())),
            Ok(Some(Err(error))) => Err(Failed::Broken(error.to_string())),
            Err(_) if self.call.time_left().is_zero() => Err(Failed::OutOfTime),
            // Without room for another send, the only one that can still go on is
            // the upstream itself, which may only be slow.
            Err(_) if !self.may_be_taken_up() => Ok(()),
            Err(_) => Err(Failed::MayHaveRun("silent".to_owned())),
        }
    }

    /// Whether the budget leaves room for another upstream to go on.
    fn may_be_taken_up(&self) -> bool {
        let daemons = self.gateway.daemons();
        let budget = self.gateway.budget();
        budget.has_room(&self.call.service, daemons, Instant::now())
    }

    /// Has another upstream go on after the last event.
    async fn resume(&mut self, failed: Failed) -> Result<(), Failed> {
        let mut failed = failed;
        if let Some(broken) = self.running.take() {
            let key = key_of(&broken.upstream);
            self.gateway
                .leave_out(key, Failure::Unreachable, &self.call.id);
            let upstream = &broken.upstream;
            note_failed(&self.gateway, &self.call, upstream, BROKEN_OFF, &failed).await;
        }
        let last_id = self.framer.last_id();
        while last_id.is_some() && self.history.may_go_on(&self.gateway, &self.call, &failed) {
            let resumed = attempt(&self.gateway, &self.call, &mut self.history, last_id).await;
            match resumed {
                Ok(answering) if answering.answer.status.is_success() => {
                    let mut running = Running::new(answering);
                    running.placed.record_first_event();
                    self.running = Some(running);
                    self.framer = EventFramer::after(last_id);
                    return Ok(());
                }
                Ok(answering) => {
                    failed = Failed::MayHaveRun(format!("answered {}", answering.answer.status));
                }
                Err(next) => failed = next,
            }
        }
        Err(failed)
    }

    fn abort(&mut self, failed: &Failed) -> Aborted {
        self.outcome = RequestOutcome::Failed;
        self.reason = failed.to_string();
        self.is_over = true;
        self.running = None;
        Aborted
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let (upstream, readers, expected) = match &self.running {
            Some(running) => (
                running.upstream.id.as_str(),
                running.placed.shares.len(),
                running.placed.expected_first_event,
            ),
            None => ("", 0, Duration::ZERO),
        };
        let ended = Ended {
            outcome: self.outcome,
            reason: &self.reason,
            status: 200,
            upstream,
            readers,
            expected,
            first_event: Some(self.first_event),
            longest_pause: self.longest_pause,
            ..ended(&self.call, &self.history)
        };
        ended.write(&self.gateway.parts().metrics);
    }
}

/// Silence after which the upstream is given up, if another one may go on.
fn silence(call: &Call, history: &History) -> Duration {
    let RetrySafety::Stream { resumable, gap } = call.route.safety else {
        return call.time_left();
    };
    if !resumable || !history.may_send_again(call) {
        return call.time_left();
    }
    (gap * SILENT_PAUSES).max(LEAST_SILENCE)
}
