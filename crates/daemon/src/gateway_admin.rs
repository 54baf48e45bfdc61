//! What a daemon that serves published routes answers its operators.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use mangofront_gateway::{Fingerprint, Gateway};
use mangofront_http::{Body, ErrorBody, Outcome, collect, full};
use mangofront_telemetry::metrics::Metrics;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Largest body of an operator's request, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024;

/// Asks for the end of a quarantine.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct Lift {
    /// Fingerprint of the request.
    fingerprint: String,
}

pub(crate) async fn answer(
    gateway: Gateway,
    metrics: Metrics,
    request: Request<Incoming>,
) -> Response<Body> {
    let (head, body) = request.into_parts();
    match (&head.method, head.uri.path()) {
        (_, "/metrics") => {
            gateway.record_state();
            Response::new(full(metrics.render()))
        }
        (&Method::GET, "/quarantine") => json_answer(&json!({ "requests": gateway.quarantined() })),
        (&Method::POST, "/quarantine/lift") => match collect(body, BODY_LIMIT_BYTES).await {
            Ok(body) => lift(&gateway, &body),
            Err(error) => refused(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        _ => refused(StatusCode::NOT_FOUND, "there is nothing at this path"),
    }
}

fn lift(gateway: &Gateway, body: &Bytes) -> Response<Body> {
    let lift: Lift = match serde_json::from_slice(body) {
        Ok(lift) => lift,
        Err(error) => return refused(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let fingerprint: Fingerprint = match lift.fingerprint.parse() {
        Ok(fingerprint) => fingerprint,
        Err(error) => return refused(StatusCode::BAD_REQUEST, &format!("{error}")),
    };
    match gateway.lift_quarantine(fingerprint) {
        true => json_answer(&json!({ "lifted": fingerprint.to_string() })),
        false => refused(
            StatusCode::NOT_FOUND,
            "no upstream crashed under this request",
        ),
    }
}

fn json_answer(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(full(bytes));
            let json = header::HeaderValue::from_static("application/json");
            response.headers_mut().insert(header::CONTENT_TYPE, json);
            response
        }
        Err(error) => refused(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn refused(status: StatusCode, message: &str) -> Response<Body> {
    ErrorBody::new("refused", Outcome::NotRun, "admin", message).into_response(status)
}
