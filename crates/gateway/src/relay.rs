//! Forwards a stream of events to its caller.
//!
//! The caller sees a single answer, whichever attempts it comes from. If no attempt is left that
//! could complete it, the caller's connection is aborted, so that the caller can tell that the
//! answer is incomplete. Dropping the relay, as happens when the caller disconnects, also drops
//! the connections to the upstreams.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::Stream;
use mangofront_http::Aborted;
use mangofront_telemetry::metrics::RequestOutcome;

use crate::answer::request_summary;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::history::AttemptError;
use crate::in_flight::InFlight;
use crate::running_attempt::RunningAttempt;
use crate::trace::RequestSummary;

/// State of a stream that is being forwarded.
pub(crate) struct Relay {
    gateway: Gateway,
    call: Rc<Call>,
    in_flight: InFlight,
    /// Events that were read but not forwarded yet.
    pending_events: Option<Bytes>,
    has_ended: bool,
    first_event: Duration,
    last_event_at: Instant,
    longest_pause: Duration,
    outcome: RequestOutcome,
    reason: String,
}

impl Relay {
    /// Forwards a stream whose `first` events have arrived.
    pub(crate) fn new(gateway: Gateway, call: Rc<Call>, in_flight: InFlight, first: Bytes) -> Self {
        Self {
            first_event: call.arrived.elapsed(),
            gateway,
            call,
            in_flight,
            pending_events: Some(first).filter(|first| !first.is_empty()),
            has_ended: false,
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
        if let Some(events) = self.pending_events.take() {
            return Some(Ok(events));
        }
        if self.has_ended {
            return None;
        }
        let next = self.gateway.drain().until_end(self.in_flight.next_events());
        match next.await.unwrap_or(Err(AttemptError::CutOff)) {
            Ok(Some(events)) => {
                let now = Instant::now();
                let pause = now.saturating_duration_since(self.last_event_at);
                self.longest_pause = self.longest_pause.max(pause);
                self.last_event_at = now;
                Some(Ok(events))
            }
            Ok(None) => {
                self.has_ended = true;
                self.outcome = RequestOutcome::Answered;
                None
            }
            Err(error) => Some(Err(self.abort(&error))),
        }
    }

    fn abort(&mut self, error: &AttemptError) -> Aborted {
        if matches!(error, AttemptError::CutOff) {
            self.gateway.drain().record_cut_off();
        }
        self.outcome = RequestOutcome::Failed;
        self.reason = error.to_string();
        self.has_ended = true;
        Aborted
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        // A caller that reads nothing gets neither further events nor the abort.
        let is_dropped = self.outcome == RequestOutcome::Cancelled;
        if is_dropped && self.gateway.drain().has_ended() {
            self.abort(&AttemptError::CutOff);
        }
        let forwarded = self.in_flight.forwarded();
        let stream = forwarded.and_then(RunningAttempt::stream);
        let (upstream, engines, expected) = match stream {
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
            ..request_summary(&self.call, &self.in_flight.history())
        };
        summary.write(&self.gateway.parts().metrics);
    }
}
