//! Starting and resuming of attempts.

use std::time::Instant;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use mangofront_http::headers;
use mangofront_prompt::Endpoint;

use super::cancel::CancelGuard;
use super::json::{json_request, protocol_error, refusal_error};
use super::stream::EngineStream;
use crate::Target;
use crate::connection::Connections;
use crate::error::SendError;

/// Id of a request, unique across the fleet.
pub type RequestId = String;

/// Number of an attempt within its request, starting at 1.
pub type AttemptNumber = u32;

/// One attempt at a request, as it is sent to an engine.
#[derive(Debug, Clone)]
pub struct GenerateCall {
    /// Endpoint to which the caller sent the body.
    pub endpoint: Endpoint,
    /// Body from the caller, unchanged.
    pub body: Bytes,
    /// Id of the request.
    pub request: RequestId,
    /// Number of this attempt.
    pub attempt: AttemptNumber,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Offset of the first token to return.
    pub resume_offset: u32,
    /// Id of the memory reservation to use.
    pub reservation: Option<String>,
    /// Time by which the answer must be complete.
    pub deadline: Instant,
}

/// Starts an attempt; returns once the engine has queued it. The engine confirms
/// that immediately, and must do so by `queue_deadline`.
///
/// Dropping the stream before its end cancels the attempt at the engine.
///
/// # Errors
/// [`SendError`]; a refusal contains the engine's error.
pub async fn generate(
    connections: &Connections,
    target: &Target,
    call: GenerateCall,
    queue_deadline: Instant,
) -> Result<EngineStream, SendError> {
    let guard = CancelGuard::new(connections, target, &call);
    let request = generate_request(target, &call)?;
    let response = match connections.send(target, request, queue_deadline).await {
        Ok(response) => response,
        Err(error) => {
            guard.resolve(error.outcome());
            return Err(error);
        }
    };
    if response.status != StatusCode::OK {
        let error = refusal_error(target, response, queue_deadline).await;
        guard.resolve(error.outcome());
        return Err(error);
    }
    Ok(EngineStream::new(target, call, response, guard))
}

/// Resumes a stream at the same engine from the call's `resume_offset`; the engine
/// must respond by `deadline`.
///
/// A failure does not cancel the attempt, since the stream may still arrive on the
/// connection on which it was started.
///
/// # Errors
/// [`SendError`]; refused with 404 when the engine no longer has the stream.
pub async fn resume(
    connections: &Connections,
    target: &Target,
    stream: &str,
    call: GenerateCall,
    deadline: Instant,
) -> Result<EngineStream, SendError> {
    let path = format!("/v1/streams/{stream}?offset={}", call.resume_offset);
    let request = json_request(target, Method::GET, &path, Bytes::new())?;
    let response = connections.send(target, request, deadline).await?;
    if response.status != StatusCode::OK {
        return Err(refusal_error(target, response, deadline).await);
    }
    let guard = CancelGuard::new(connections, target, &call);
    Ok(EngineStream::new(target, call, response, guard))
}

fn generate_request(
    target: &Target,
    call: &GenerateCall,
) -> Result<Request<Full<Bytes>>, SendError> {
    let path = match call.endpoint {
        Endpoint::Completions => "/v1/completions",
        Endpoint::ChatCompletions => "/v1/chat/completions",
    };
    let remaining = call.deadline.saturating_duration_since(Instant::now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    let mut builder = Request::builder()
        .method(Method::POST)
        .uri(path)
        .header(header::HOST, target.address.to_string())
        .header(header::CONTENT_TYPE, "application/json")
        .header(headers::REQUEST_ID, &call.request)
        .header(headers::ATTEMPT, HeaderValue::from(call.attempt))
        .header(
            headers::PRIORITY,
            HeaderValue::from(u16::from(call.priority)),
        )
        .header(headers::DEADLINE_MS, HeaderValue::from(remaining_ms))
        .header(
            headers::RESUME_OFFSET,
            HeaderValue::from(call.resume_offset),
        );
    if let Some(reservation) = &call.reservation {
        builder = builder.header(headers::RESERVATION, reservation);
    }
    builder
        .body(Full::new(call.body.clone()))
        .map_err(|error| protocol_error(target, &error))
}
