//! The answer to an admitted request.
//!
//! An answer that is not a stream is read completely before any of it is sent, so that one
//! that breaks off can still become a proper error or be retried. For the same reason the
//! first event of a stream is awaited; then `relay` forwards the events as they arrive.

use std::rc::Rc;
use std::time::{Duration, Instant};

use http::Response;
use mangofront_http::{Body, full, stream_until_abort};
use mangofront_telemetry::metrics::RequestOutcome;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::history::{AttemptError, History, SharedHistory};
use crate::in_flight::{InFlight, Opening};
use crate::refusal::Refusal;
use crate::relay::Relay;
use crate::running_attempt::CompleteAnswer;
use crate::stopping;
use crate::trace::RequestSummary;

pub(crate) async fn answer(gateway: &Gateway, call: Rc<Call>) -> Response<Body> {
    gateway
        .retry_budget()
        .record_request(&call.service, Instant::now());
    let history = SharedHistory::default();
    let mut unanswered = UnansweredGuard::new(gateway, &call, &history);
    let mut in_flight = InFlight::new(gateway, &call, &history);
    let opening = gateway.drain().until_end(in_flight.open()).await;
    let opening = opening.unwrap_or(Err(AttemptError::CutOff));
    unanswered.is_answered = true;
    match opening {
        Ok(Opening::Whole(complete)) => respond(gateway, &call, complete, &history.borrow()),
        Ok(Opening::Stream {
            status,
            headers,
            first,
        }) => {
            let relay = Relay::new(gateway.clone(), call, in_flight, first);
            let mut response = Response::new(stream_until_abort(relay.chunks()));
            *response.status_mut() = status;
            *response.headers_mut() = headers;
            response
        }
        Err(error) => {
            let refusal = history.borrow().refusal(error);
            log_refused(gateway, &call, &refusal, &history.borrow());
            stopping::record_refusal(gateway, &refusal);
            refusal.into_response(&call.id)
        }
    }
}

/// Writes the summary of a request whose caller disconnects before it is answered.
struct UnansweredGuard<'a> {
    gateway: &'a Gateway,
    call: Rc<Call>,
    history: SharedHistory,
    is_answered: bool,
}

impl<'a> UnansweredGuard<'a> {
    fn new(gateway: &'a Gateway, call: &Rc<Call>, history: &SharedHistory) -> Self {
        Self {
            gateway,
            call: Rc::clone(call),
            history: Rc::clone(history),
            is_answered: false,
        }
    }
}

impl Drop for UnansweredGuard<'_> {
    fn drop(&mut self) {
        if !self.is_answered {
            let summary = RequestSummary {
                reason: "caller_gone",
                ..request_summary(&self.call, &self.history.borrow())
            };
            summary.write(&self.gateway.parts().metrics);
        }
    }
}

fn respond(
    gateway: &Gateway,
    call: &Call,
    complete: CompleteAnswer,
    history: &History,
) -> Response<Body> {
    let summary = RequestSummary {
        outcome: RequestOutcome::Answered,
        status: complete.status.as_u16(),
        upstream: &complete.upstream,
        engines: complete.engines,
        expected: complete.expected,
        ..request_summary(call, history)
    };
    summary.write(&gateway.parts().metrics);
    let mut response = Response::new(full(complete.body));
    *response.status_mut() = complete.status;
    *response.headers_mut() = complete.headers;
    response
}

fn log_refused(gateway: &Gateway, call: &Call, refusal: &Refusal, history: &History) {
    let summary = RequestSummary {
        outcome: refusal.request_outcome(),
        reason: refusal.reason(),
        status: refusal.status().as_u16(),
        ..request_summary(call, history)
    };
    summary.write(&gateway.parts().metrics);
}

/// The part of a summary that is the same for every request.
pub(crate) fn request_summary<'a>(call: &'a Call, history: &History) -> RequestSummary<'a> {
    let organisation = call.organisation.as_ref();
    RequestSummary {
        request: &call.id,
        fingerprint: call.fingerprint,
        route: &call.route.name,
        organisation: organisation.map_or("none", |organisation| &organisation.id),
        outcome: RequestOutcome::Cancelled,
        reason: "",
        status: 0,
        upstream: "",
        attempts: history.sent,
        engines: 0,
        prompt_tokens: call.tokens.map_or(0, |tokens| tokens.prompt_tokens),
        target: call.route.target,
        waited: history.waited,
        expected: Duration::ZERO,
        first_event: None,
        longest_pause: Duration::ZERO,
        took: call.arrived.elapsed(),
        version: call.version,
        lease_age: call.lease_age,
        proxy: history.proxy.clone(),
        selected: history.selected.join(" "),
    }
}
