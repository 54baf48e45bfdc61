//! Admin endpoints of a daemon that serves published routes.

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use mangofront_bodies::Purpose;
use mangofront_gateway::{Fingerprint, Gateway, PromptPartId};
use mangofront_http::{Body, ErrorBody, Outcome, full, read_body};
use mangofront_telemetry::metrics::Metrics;
use serde::{Deserialize, Serialize};
use serde_json::json;

/// Largest accepted request body, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024;

/// Body of a request that ends the quarantine of a request or of a prompt part.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields, expecting = "struct Lift")]
struct LiftRequest {
    /// Fingerprint of the quarantined request.
    fingerprint: Option<String>,
    /// Id of the quarantined prompt part, in hexadecimal.
    prompt_part: Option<String>,
    /// Service of the prompt part.
    service: Option<String>,
}

/// Answers one admin request.
pub(crate) async fn handle(
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
        (&Method::GET, "/quarantine") => json_response(&json!({
            "requests": gateway.quarantined_requests(),
            "prompt_parts": gateway.quarantined_parts(),
        })),
        (&Method::GET, "/rate-limits") => {
            json_response(&json!({ "limits": gateway.rate_limit_status() }))
        }
        (&Method::GET, "/evacuations") => {
            json_response(&json!({ "zones": gateway.evacuated_zones() }))
        }
        (&Method::POST, "/quarantine/lift") => {
            let memory = gateway.body_memory();
            match read_body(memory, Purpose::Operator, body, BODY_LIMIT_BYTES).await {
                Ok(body) => lift_quarantine(&gateway, &body),
                Err(error) => error_response(StatusCode::BAD_REQUEST, &error.to_string()),
            }
        }
        _ => error_response(StatusCode::NOT_FOUND, "there is nothing at this path"),
    }
}

fn lift_quarantine(gateway: &Gateway, body: &Bytes) -> Response<Body> {
    let request: LiftRequest = match serde_json::from_slice(body) {
        Ok(request) => request,
        Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
    };
    let (name, lifted) = match request {
        LiftRequest {
            fingerprint: Some(fingerprint),
            prompt_part: None,
            service: None,
        } => match fingerprint.parse::<Fingerprint>() {
            Ok(parsed) => (fingerprint, gateway.lift_quarantine(parsed)),
            Err(error) => return error_response(StatusCode::BAD_REQUEST, &error.to_string()),
        },
        LiftRequest {
            fingerprint: None,
            prompt_part: Some(part),
            service: Some(service),
        } => match PromptPartId::from_str_radix(&part, 16) {
            Ok(id) => (part, gateway.lift_part_quarantine(&service, id)),
            Err(error) => {
                let message = format!("prompt_part is no hexadecimal number: {error}");
                return error_response(StatusCode::BAD_REQUEST, &message);
            }
        },
        _ => {
            let message = "either fingerprint, or prompt_part and service are needed";
            return error_response(StatusCode::BAD_REQUEST, message);
        }
    };
    match lifted {
        true => json_response(&json!({ "lifted": name })),
        false => error_response(StatusCode::NOT_FOUND, "no upstream crashed under this"),
    }
}

fn json_response(value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut response = Response::new(full(bytes));
            let content_type = header::HeaderValue::from_static("application/json");
            response
                .headers_mut()
                .insert(header::CONTENT_TYPE, content_type);
            response
        }
        Err(error) => error_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

fn error_response(status: StatusCode, message: &str) -> Response<Body> {
    ErrorBody::new("refused", Outcome::NotRun, "admin", message).into_response(status)
}
