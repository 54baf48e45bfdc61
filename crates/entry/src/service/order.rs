//! Orders, which must not be repeated.
//!
//! `once` decides whether this call may run the order. The single run that it
//! permits sends the call to the first instance of the service to which a
//! connection can be opened, and is not retried after the first byte was written.
//! The run has its own task, so that its outcome is recorded for a later retry even
//! if the caller disconnects.

use std::rc::Rc;

use futures_channel::oneshot;
use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use mangofront_http::Outcome;
use mangofront_once::{
    Answer, Decision, Fingerprint, NotRunReason, Order, OrderError, RunOutcome, RunPermit,
    StoredBody,
};
use mangofront_telemetry::invariants::{Invariant, check};
use mangofront_upstream::FreshConnection;
use mangofront_upstream::service::{ServiceResponse, call_once};

use super::{ServiceCall, targets};
use crate::context::{Active, Entry};
use crate::error::EntryError;

/// Header of a response that is a replay of an earlier one.
const REPLAYED_HEADER: &str = "mangofront-replayed";

/// Runs an order under `key`, or returns the outcome of its earlier run.
///
/// # Errors
/// [`EntryError::Order`] if there is no response of the service to return.
pub(crate) async fn execute(
    entry: &Entry,
    active: &Rc<Active>,
    service_call: ServiceCall,
    key: String,
) -> Result<ServiceResponse, EntryError> {
    let (sender, receiver) = oneshot::channel();
    let entry = entry.clone();
    let active = Rc::clone(active);
    compio::runtime::spawn(async move {
        let decision = decide(&entry, &service_call, key).await;
        // A caller that has disconnected gets the outcome with a later retry.
        let _ = sender.send(decision);
        drop(active);
    })
    .detach();
    match receiver.await {
        Ok(decision) => to_response(decision),
        Err(oneshot::Canceled) => Err(EntryError::Order {
            code: "outcome_unknown",
            outcome: Outcome::Unknown,
            reason: "the run was given up".to_owned(),
            retry_after: None,
        }),
    }
}

async fn decide(entry: &Entry, service_call: &ServiceCall, key: String) -> Decision {
    let order = Order {
        organisation: service_call.caller.organisation.clone(),
        key,
        fingerprint: fingerprint(service_call),
    };
    let once = &entry.parts().once;
    let run = |permit| run_once(entry, service_call, permit);
    let decision = once.execute(order, service_call.caller.deadline, run).await;
    let violations = once.counters().violations;
    check(Invariant::AtMostOnce, violations == 0, || {
        format!("{violations} claims were used for more than one run")
    });
    decision
}

/// Digest of the call, as the same key must not be used for a different call.
fn fingerprint(service_call: &ServiceCall) -> Fingerprint {
    let path = format!(
        "{}{}",
        service_call.service, service_call.call.path_and_query
    );
    let method = service_call.call.method.as_str();
    Fingerprint::of(method, &path, &service_call.call.body)
}

async fn run_once(entry: &Entry, service_call: &ServiceCall, permit: RunPermit) -> RunOutcome {
    let parts = entry.parts();
    let deadline = service_call.caller.deadline;
    let connection = match open_connection(entry, service_call).await {
        Ok(connection) => connection,
        Err(reason) => return RunOutcome::NotStarted { reason },
    };
    let _begun = match permit.begin() {
        Ok(begun) => begun,
        Err(error) => {
            let reason = error.to_string();
            return RunOutcome::NotStarted { reason };
        }
    };
    let limit_bytes = parts.limits.service_answer_limit_bytes;
    let call = service_call.call.clone();
    match call_once(connection, call, limit_bytes, deadline).await {
        Ok(response) => RunOutcome::Answered(to_stored_answer(response)),
        Err(error) => {
            parts.metrics.upstream_error(error.step_name());
            entry.instance_rotation().record_failure(&error);
            let reason = error.to_string();
            match error.outcome() {
                Outcome::NotRun => RunOutcome::NotStarted { reason },
                Outcome::Failed | Outcome::Unknown => RunOutcome::Unknown { reason },
            }
        }
    }
}

/// Opens a connection to the first instance of the service that accepts one.
async fn open_connection(
    entry: &Entry,
    service_call: &ServiceCall,
) -> Result<FreshConnection, String> {
    let parts = entry.parts();
    let mut reason = "no instance of the service takes work".to_owned();
    parts.platform.refreshed().await;
    for target in targets(entry, &service_call.service) {
        let deadline = service_call.caller.deadline;
        match parts.connections.open(&target, deadline).await {
            Ok(connection) => return Ok(connection),
            Err(error) => {
                parts.metrics.upstream_error(error.step_name());
                entry.instance_rotation().record_failure(&error);
                reason = error.to_string();
            }
        }
    }
    Err(reason)
}

fn to_stored_answer(response: ServiceResponse) -> Answer {
    let headers = response
        .headers
        .iter()
        .filter_map(|(name, value)| {
            let value = value.to_str().ok()?;
            Some((name.as_str().to_owned(), value.to_owned()))
        })
        .collect();
    Answer {
        status: response.status.as_u16(),
        headers,
        body: response.body,
    }
}

fn to_response(decision: Decision) -> Result<ServiceResponse, EntryError> {
    match decision {
        Decision::Answer(answer) => {
            let Answer {
                status,
                headers,
                body,
            } = answer;
            Ok(ServiceResponse {
                status: status_code(status),
                headers: header_map(headers),
                body,
            })
        }
        Decision::Replay {
            status,
            headers,
            body: StoredBody::Whole(body),
        } => {
            let mut headers = header_map(headers);
            headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
            Ok(ServiceResponse {
                status: status_code(status),
                headers,
                body: body.into(),
            })
        }
        Decision::Replay {
            status,
            body: StoredBody::Digest { length_bytes, xxh3 },
            ..
        } => Err(EntryError::Order {
            code: "answer_not_kept",
            outcome: Outcome::Failed,
            reason: format!(
                "the order ran once and was answered with status {status}; the answer of \
                     {length_bytes} bytes (xxh3 {xxh3:016x}) is too large to be given again"
            ),
            retry_after: None,
        }),
        Decision::NotRun {
            reason,
            retry_after,
        } => Err(EntryError::Order {
            code: not_run_code(&reason),
            outcome: Outcome::NotRun,
            reason: reason.to_string(),
            retry_after,
        }),
        Decision::Failed(error) => Err(EntryError::Order {
            code: match error {
                OrderError::Conflict => "key_conflict",
                OrderError::NeverMinted => "key_never_minted",
            },
            // The key may have been used to run another request; this one did not
            // run.
            outcome: Outcome::NotRun,
            reason: error.to_string(),
            retry_after: None,
        }),
        Decision::Unknown {
            reason,
            retry_after,
        } => Err(EntryError::Order {
            code: "outcome_unknown",
            outcome: Outcome::Unknown,
            reason: reason.to_string(),
            retry_after,
        }),
    }
}

fn not_run_code(reason: &NotRunReason) -> &'static str {
    match reason {
        NotRunReason::NotStarted(_) => "order_not_started",
        NotRunReason::Full => "too_many_records",
    }
}

fn status_code(status: u16) -> StatusCode {
    StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY)
}

fn header_map(headers: Vec<(String, String)>) -> HeaderMap {
    let mut map = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if let (Ok(name), Ok(value)) = (HeaderName::try_from(name), HeaderValue::try_from(value)) {
            map.append(name, value);
        }
    }
    map
}
