//! Starting an attempt and taking one up again.

use std::time::Instant;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use mangofront_http::headers;
use mangofront_prompt::Endpoint;

use super::cancel::CancelGuard;
use super::json::{plain, protocol, refusal};
use super::stream::EngineStream;
use crate::Target;
use crate::connection::Connections;
use crate::error::SendError;

/// Id of a request, unique in the fleet.
pub type RequestId = String;

/// Number of an attempt within its request, from 1.
pub type AttemptNumber = u32;

/// One attempt at a request, as an engine takes it.
#[derive(Debug, Clone)]
pub struct GenerateCall {
    /// Endpoint the body was sent to.
    pub endpoint: Endpoint,
    /// Caller's body, unchanged.
    pub body: Bytes,
    /// Request it belongs to.
    pub request: RequestId,
    /// Number of this attempt.
    pub attempt: AttemptNumber,
    /// 0 is the most urgent.
    pub priority: u8,
    /// First token wanted.
    pub resume_offset: u32,
    /// Memory reservation to compute under.
    pub reservation: Option<String>,
    /// Time by which the answer must have ended.
    pub deadline: Instant,
}

/// Starts one attempt; returns once the engine has queued it, which it says at
/// once and has to by `queued_by`.
///
/// The stream cancels its attempt at the engine when it is dropped unfinished.
///
/// # Errors
/// [`SendError`]; a refusal carries the engine's own error.
pub async fn generate(
    connections: &Connections,
    target: &Target,
    call: GenerateCall,
    queued_by: Instant,
) -> Result<EngineStream, SendError> {
    let guard = CancelGuard::new(connections, target, &call);
    let request = generate_request(target, &call)?;
    let answer = match connections.send(target, request, queued_by).await {
        Ok(answer) => answer,
        Err(error) => {
            guard.resolve(error.outcome());
            return Err(error);
        }
    };
    if answer.status != StatusCode::OK {
        let error = refusal(target, answer, queued_by).await;
        guard.resolve(error.outcome());
        return Err(error);
    }
    Ok(EngineStream::new(target, call, answer, guard))
}

/// Takes a stream up again at the same engine, from its next token; the
/// engine has `until` to answer.
///
/// # Errors
/// [`SendError`]; refused with 404 when the engine no longer has it.
pub async fn resume(
    connections: &Connections,
    target: &Target,
    stream: &str,
    call: GenerateCall,
    until: Instant,
) -> Result<EngineStream, SendError> {
    let guard = CancelGuard::new(connections, target, &call);
    let path = format!("/v1/streams/{stream}?offset={}", call.resume_offset);
    let request = plain(target, Method::GET, &path, Bytes::new())?;
    let answer = connections.send(target, request, until).await?;
    if answer.status != StatusCode::OK {
        return Err(refusal(target, answer, until).await);
    }
    Ok(EngineStream::new(target, call, answer, guard))
}

fn generate_request(
    target: &Target,
    call: &GenerateCall,
) -> Result<Request<Full<Bytes>>, SendError> {
    let path = match call.endpoint {
        Endpoint::Completions => "/v1/completions",
        Endpoint::ChatCompletions => "/v1/chat/completions",
    };
    let left = call.deadline.saturating_duration_since(Instant::now());
    let left_ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
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
        .header(headers::DEADLINE_MS, HeaderValue::from(left_ms))
        .header(
            headers::RESUME_OFFSET,
            HeaderValue::from(call.resume_offset),
        );
    if let Some(reservation) = &call.reservation {
        builder = builder.header(headers::RESERVATION, reservation);
    }
    builder
        .body(Full::new(call.body.clone()))
        .map_err(|error| protocol(target, &error))
}
