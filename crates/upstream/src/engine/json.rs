//! JSON calls to engines, and the errors that engines return.

use std::time::Instant;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use mangofront_bodies::Purpose;
use mangofront_http::{ErrorBody, Outcome};

use crate::Target;
use crate::connection::{Connections, UpstreamResponse};
use crate::error::SendError;
use crate::traffic::{ControlTraffic, request_bytes, response_head_bytes};

/// Maximum size of a JSON response of an engine, in bytes.
const RESPONSE_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Maximum size of an error response of an engine, in bytes.
const ERROR_LIMIT_BYTES: usize = 64 * 1024;

/// Reads a JSON report of an engine with a `GET` of `path`; `None` for an empty
/// response, such as 204.
///
/// # Errors
/// [`SendError`]; [`SendError::Protocol`] when the report is not of type `T`.
pub async fn report<T: serde::de::DeserializeOwned>(
    connections: &Connections,
    target: &Target,
    path: &str,
    deadline: Instant,
) -> Result<Option<T>, SendError> {
    call_json(connections, target, Method::GET, path, None, deadline).await
}

/// Sends JSON to an engine and reads its JSON response; `None` for an empty one.
///
/// # Errors
/// [`SendError`]; [`SendError::Refused`] for a status other than 2xx.
pub async fn call_json<T: serde::de::DeserializeOwned>(
    connections: &Connections,
    target: &Target,
    method: Method,
    path: &str,
    body: Option<Bytes>,
    deadline: Instant,
) -> Result<Option<T>, SendError> {
    let body = body.unwrap_or_default();
    let body_bytes = body.len();
    let request = json_request(target, method, path, body)?;
    let bytes_sent = request_bytes(&request, body_bytes);
    let response = connections.send(target, request, deadline).await?;
    let mut traffic = ControlTraffic {
        calls: 1,
        bytes_sent,
        bytes_received: response_head_bytes(response.status, &response.headers),
    };
    if !response.status.is_success() {
        connections.count_control(traffic);
        return Err(refusal_error(target, response, deadline).await);
    }
    let content = response
        .bytes(Purpose::Answer, RESPONSE_LIMIT_BYTES, deadline)
        .await?;
    traffic.bytes_received += content.len() as u64;
    connections.count_control(traffic);
    if content.is_empty() {
        return Ok(None);
    }
    let value = serde_json::from_slice(&content).map_err(|error| protocol_error(target, &error))?;
    Ok(Some(value))
}

pub(super) fn json_request(
    target: &Target,
    method: Method,
    path: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, SendError> {
    Request::builder()
        .method(method)
        .uri(path)
        .header(header::HOST, target.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| protocol_error(target, &error))
}

pub(super) fn protocol_error(target: &Target, error: &dyn std::error::Error) -> SendError {
    SendError::Protocol {
        peer: target.instance.clone(),
        cause: error.to_string(),
    }
}

/// Error for a response of an engine with a status other than success.
pub(super) async fn refusal_error(
    target: &Target,
    response: UpstreamResponse,
    deadline: Instant,
) -> SendError {
    let status = response.status;
    let content = response
        .bytes(Purpose::Answer, ERROR_LIMIT_BYTES, deadline)
        .await
        .unwrap_or_default();
    let body = serde_json::from_slice::<ErrorBody>(&content).unwrap_or_else(|_| {
        // Without an error body nothing is known about the execution.
        ErrorBody::new(
            "upstream_error",
            Outcome::Failed,
            "engine",
            status.to_string(),
        )
    });
    SendError::Refused {
        peer: target.instance.clone(),
        status,
        detail: Box::new(body.error),
    }
}
