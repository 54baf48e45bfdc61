//! Calls of an engine that carry JSON, and its refusals.

use std::time::Instant;

use bytes::Bytes;
use http::{Method, Request, header};
use http_body_util::Full;
use mangofront_http::{ErrorBody, Outcome};

use crate::Target;
use crate::connection::{Connections, UpstreamResponse};
use crate::error::SendError;
use crate::traffic::{ControlTraffic, answer_head_bytes, request_bytes};

/// Largest JSON answer read from an engine, in bytes.
const REPORT_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Largest error answer read from an engine, in bytes.
const ERROR_LIMIT_BYTES: usize = 64 * 1024;

/// Reads a JSON report of an engine (`GET` of `path`); `None` for 204.
///
/// # Errors
/// [`SendError`]; [`SendError::Protocol`] when it is not of type `T`.
pub async fn report<T: serde::de::DeserializeOwned>(
    connections: &Connections,
    target: &Target,
    path: &str,
    deadline: Instant,
) -> Result<Option<T>, SendError> {
    call_json(connections, target, Method::GET, path, None, deadline).await
}

/// Sends JSON to an engine and reads its JSON answer; `None` for an empty one.
///
/// # Errors
/// [`SendError`]; a status outside 2xx is [`SendError::Refused`].
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
    let request = plain(target, method, path, body)?;
    let bytes_sent = request_bytes(&request, body_bytes);
    let answer = connections.send(target, request, deadline).await?;
    let mut traffic = ControlTraffic {
        calls: 1,
        bytes_sent,
        bytes_received: answer_head_bytes(answer.status, &answer.headers),
    };
    if !answer.status.is_success() {
        connections.count_control(traffic);
        return Err(refusal(target, answer, deadline).await);
    }
    let content = answer.bytes(REPORT_LIMIT_BYTES, deadline).await?;
    traffic.bytes_received += content.len() as u64;
    connections.count_control(traffic);
    if content.is_empty() {
        return Ok(None);
    }
    let value = serde_json::from_slice(&content).map_err(|error| protocol(target, &error))?;
    Ok(Some(value))
}

pub(super) fn plain(
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
        .map_err(|error| protocol(target, &error))
}

pub(super) fn protocol(target: &Target, error: &dyn std::error::Error) -> SendError {
    SendError::Protocol {
        peer: target.instance.clone(),
        cause: error.to_string(),
    }
}

/// Error that an engine gave with its answer's head.
pub(super) async fn refusal(
    target: &Target,
    answer: UpstreamResponse,
    deadline: Instant,
) -> SendError {
    let status = answer.status;
    let content = answer
        .bytes(ERROR_LIMIT_BYTES, deadline)
        .await
        .unwrap_or_default();
    let body = serde_json::from_slice::<ErrorBody>(&content).unwrap_or_else(|_| {
        // An engine that gives no error body has said nothing of the work.
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
