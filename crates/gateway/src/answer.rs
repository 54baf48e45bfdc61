//! The answer of a request that is served.
//!
//! An answer of one piece is read whole before any of it goes out, so that one
//! that breaks off can still be a proper error or be asked for again. Of a
//! stream, the first event is awaited for the same reason; then `relay` passes
//! it on as it comes.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{HeaderMap, Response, StatusCode};
use mangofront_http::{Body, full, stream_until_abort};
use mangofront_telemetry::metrics::RequestOutcome;
use mangofront_upstream::SendError;

use crate::attempts::{Answering, BROKEN_OFF, attempt, note_failed, restarted, until_restart};
use crate::call::Call;
use crate::gateway::Gateway;
use crate::history::{Failed, History};
use crate::quarantine::note_answered;
use crate::refusal::Refusal;
use crate::relay::{Opening, Relay};
use crate::trace::Ended;

/// An answer of one piece.
struct Whole {
    status: StatusCode,
    headers: HeaderMap,
    body: bytes::Bytes,
    upstream: String,
    readers: usize,
    expected: Duration,
}

/// Answers `call`.
pub(crate) async fn answer(gateway: &Gateway, call: Rc<Call>) -> Response<Body> {
    gateway
        .budget()
        .record_request(&call.service, Instant::now());
    let mut unanswered = Unanswered::new(gateway, &call);
    let response = try_upstreams(gateway, &call, &mut unanswered.history).await;
    unanswered.is_answered = true;
    response
}

async fn try_upstreams(
    gateway: &Gateway,
    call: &Rc<Call>,
    history: &mut History,
) -> Response<Body> {
    // The last answer that tells of a fault of the upstream itself.
    let mut fault: Option<Whole> = None;
    loop {
        let attempted = attempt(gateway, call, history, call.last_event_id).await;
        let failed = match attempted {
            Ok(answering) if is_stream(call, &answering) => {
                let upstream = answering.upstream.clone();
                match Opening::read(gateway, call, answering, history).await {
                    Ok(opening) => return stream(gateway, call, opening, std::mem::take(history)),
                    Err(failed) => {
                        note_failed(gateway, call, &upstream, BROKEN_OFF, &failed).await;
                        failed
                    }
                }
            }
            Ok(answering) => {
                let upstream = answering.upstream.clone();
                match whole(gateway, call, answering).await {
                    Ok(whole) if is_fault(call, whole.status) => {
                        let reason = format!("answered {}", whole.status);
                        fault = Some(whole);
                        Failed::MayHaveRun(reason)
                    }
                    Ok(whole) => return respond(gateway, call, whole, history),
                    Err(failed) => {
                        note_failed(gateway, call, &upstream, BROKEN_OFF, &failed).await;
                        failed
                    }
                }
            }
            Err(failed) => failed,
        };
        if history.may_go_on(gateway, call, &failed) {
            continue;
        }
        if let Some(whole) = fault {
            return respond(gateway, call, whole, history);
        }
        if let Failed::MayHaveRun(_) | Failed::Broken(_) | Failed::OutOfTime = failed {
            history.may_have_run = true;
        }
        let refusal = history.refusal(failed);
        log_refused(gateway, call, &refusal, history);
        return refusal.into_response(&call.id);
    }
}

/// A request without an answer; one whose caller leaves before leaves a line.
struct Unanswered<'a> {
    gateway: &'a Gateway,
    call: Rc<Call>,
    history: History,
    is_answered: bool,
}

impl<'a> Unanswered<'a> {
    fn new(gateway: &'a Gateway, call: &Rc<Call>) -> Self {
        Self {
            gateway,
            call: Rc::clone(call),
            history: History::default(),
            is_answered: false,
        }
    }
}

impl Drop for Unanswered<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let ended = Ended {
                reason: "caller_gone",
                ..ended(&self.call, &self.history)
            };
            ended.write(&self.gateway.parts().metrics);
        }
    }
}

/// Whether the answer is a stream that is passed on as it comes.
fn is_stream(call: &Call, answering: &Answering) -> bool {
    call.route.safety.is_stream() && answering.answer.status.is_success()
}

/// Whether a repeated request may fare better elsewhere.
fn is_fault(call: &Call, status: StatusCode) -> bool {
    call.route.safety.may_retry() && status.is_server_error()
}

/// Reads an answer of one piece.
async fn whole(gateway: &Gateway, call: &Call, answering: Answering) -> Result<Whole, Failed> {
    let Answering {
        answer,
        mut placed,
        upstream,
        reservations,
    } = answering;
    let status = answer.status;
    let headers = gateway.parts().dialect.answer_headers(&answer.headers);
    let limit_bytes = gateway.options().answer_limit_bytes;
    let reading = pin!(answer.bytes(limit_bytes, call.deadline));
    let read = until_restart(&mut placed, reading).await;
    placed.record_first_event();
    drop(reservations);
    match read.ok_or_else(restarted)? {
        Ok(body) => {
            placed.record_complete();
            if !status.is_server_error() {
                note_answered(gateway, call);
            }
            Ok(Whole {
                status,
                headers,
                body,
                upstream: upstream.id,
                readers: placed.shares.len(),
                expected: placed.expected_first_event,
            })
        }
        Err(_) if call.time_left().is_zero() => Err(Failed::OutOfTime),
        Err(error @ SendError::ConnectionFailed { .. }) => Err(Failed::Broken(error.to_string())),
        Err(error) => Err(Failed::MayHaveRun(error.to_string())),
    }
}

fn respond(gateway: &Gateway, call: &Call, whole: Whole, history: &History) -> Response<Body> {
    let ended = Ended {
        outcome: RequestOutcome::Answered,
        status: whole.status.as_u16(),
        upstream: &whole.upstream,
        readers: whole.readers,
        expected: whole.expected,
        ..ended(call, history)
    };
    ended.write(&gateway.parts().metrics);
    let mut response = Response::new(full(whole.body));
    *response.status_mut() = whole.status;
    *response.headers_mut() = whole.headers;
    response
}

fn stream(
    gateway: &Gateway,
    call: &Rc<Call>,
    opening: Opening,
    history: History,
) -> Response<Body> {
    let status = opening.status;
    let headers = opening.headers.clone();
    let relay = Relay::new(gateway.clone(), Rc::clone(call), opening, history);
    let mut response = Response::new(stream_until_abort(relay.chunks()));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

fn log_refused(gateway: &Gateway, call: &Call, refusal: &Refusal, history: &History) {
    let ended = Ended {
        outcome: refusal.request_outcome(),
        reason: refusal.reason(),
        status: refusal.status().as_u16(),
        ..ended(call, history)
    };
    ended.write(&gateway.parts().metrics);
}

/// What is the same in the log line of every request.
pub(crate) fn ended<'a>(call: &'a Call, history: &History) -> Ended<'a> {
    let organisation = call.organisation.as_ref();
    Ended {
        request: &call.id,
        fingerprint: call.fingerprint,
        route: &call.route.name,
        organisation: organisation.map_or("none", |organisation| &organisation.id),
        outcome: RequestOutcome::Cancelled,
        reason: "",
        status: 0,
        upstream: "",
        attempts: history.sent,
        readers: 0,
        prompt_tokens: call.tokens.map_or(0, |tokens| tokens.prompt_tokens),
        target: call.route.target,
        waited: history.waited,
        expected: Duration::ZERO,
        first_event: None,
        longest_pause: Duration::ZERO,
        took: call.arrived.elapsed(),
        version: call.version,
        lease_age: call.lease_age,
    }
}
