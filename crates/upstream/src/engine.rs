//! The engine's dialect: start, frames, resume, cancel, load and cache reports.
//!
//! Every frame names its request, attempt and token offset. [`EngineStream`]
//! passes on only frames of its own attempt at the next offset: a repeated
//! token is dropped, another attempt's frame is dropped, a gap is an error.

use std::pin::Pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{HeaderValue, Method, Request, StatusCode, header};
use http_body_util::Full;
use mangofront_http::{ErrorBody, Event, Outcome, events, headers};
use mangofront_prompt::Endpoint;
use mangofront_settings::ids::InstanceId;
use serde::{Deserialize, Serialize};

use crate::Target;
use crate::connection::{Answer, Connections, within};
use crate::error::{SendError, Step};
use crate::traffic::{ControlTraffic, answer_head_bytes, request_bytes};

/// Id of a request, unique in the fleet.
pub type RequestId = String;

/// Number of an attempt within its request, from 1.
pub type Attempt = u32;

/// Largest JSON answer read from an engine, in bytes.
const REPORT_LIMIT_BYTES: usize = 8 * 1024 * 1024;

/// Largest error answer read from an engine, in bytes.
const ERROR_LIMIT_BYTES: usize = 64 * 1024;

/// Time for an engine to take a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Tries of a cancel, so that one lost packet does not hold memory.
const CANCEL_TRIES: u32 = 3;

/// One attempt at a request, as an engine takes it.
#[derive(Debug, Clone)]
pub struct Generate {
    /// Endpoint the body was sent to.
    pub endpoint: Endpoint,
    /// Caller's body, unchanged.
    pub body: Bytes,
    /// Request it belongs to.
    pub request: RequestId,
    /// Number of this attempt.
    pub attempt: Attempt,
    /// 0 is the most urgent.
    pub priority: u8,
    /// First token wanted.
    pub resume_offset: u32,
    /// Memory reservation to compute under.
    pub reservation: Option<String>,
    /// Time by which the answer must have ended.
    pub deadline: Instant,
}

/// One token of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Frame {
    /// Request it belongs to.
    pub request: RequestId,
    /// Attempt it belongs to.
    pub attempt: Attempt,
    /// Index of the token.
    pub offset: u32,
    /// Text of the token.
    pub text: String,
    /// Set on the last token.
    #[serde(default)]
    pub finish_reason: Option<FinishReason>,
    /// Set on the last token.
    #[serde(default)]
    pub usage: Option<Usage>,
}

/// Why an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// Engine came to its own end.
    Stop,
    /// Longest answer reached.
    Length,
}

/// Tokens that a request took.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt found in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
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
    call: Generate,
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
    call: Generate,
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

/// Cancels an attempt; idempotent, and binding also for one that arrives later.
///
/// # Errors
/// [`SendError`] when the engine did not confirm.
pub async fn cancel(
    connections: &Connections,
    target: &Target,
    request: &str,
    attempt: Attempt,
) -> Result<(), SendError> {
    let path = format!("/v1/requests/{request}/attempts/{attempt}");
    let deadline = Instant::now() + CANCEL_TIMEOUT;
    call_json::<()>(connections, target, Method::DELETE, &path, None, deadline).await?;
    Ok(())
}

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

/// Frames of one attempt, in order and without gaps.
///
/// Invariant: `next_offset` is the only offset that is passed on.
pub struct EngineStream {
    target: Target,
    call: Generate,
    stream: Option<String>,
    next_offset: u32,
    events: Pin<Box<dyn Stream<Item = Result<Event, mangofront_http::EventsError>>>>,
    guard: CancelGuard,
}

impl std::fmt::Debug for EngineStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineStream")
            .field("target", &self.target)
            .field("request", &self.call.request)
            .field("next_offset", &self.next_offset)
            .finish_non_exhaustive()
    }
}

impl EngineStream {
    fn new(target: &Target, call: Generate, answer: Answer, guard: CancelGuard) -> Self {
        let stream = answer
            .headers
            .get(headers::STREAM_ID)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        Self {
            target: target.clone(),
            stream,
            next_offset: call.resume_offset,
            events: Box::pin(events(answer.chunks())),
            guard,
            call,
        }
    }

    /// Id to resume by, when the engine gave one.
    #[must_use]
    pub fn stream_id(&self) -> Option<&str> {
        self.stream.as_deref()
    }

    /// Next token of the answer; the last one has a finish reason.
    ///
    /// # Errors
    /// [`SendError`] when the stream breaks off, skips a token, or shows no
    /// token until `deadline`.
    pub async fn next(&mut self, deadline: Instant) -> Result<Frame, SendError> {
        loop {
            let waiting = self.events.next();
            let event = match within(deadline, &self.target, Step::Body, waiting).await? {
                Some(Ok(event)) => event,
                Some(Err(error)) => return Err(self.broken(error.to_string())),
                None => return Err(self.broken("ended without its last token".to_owned())),
            };
            let frame = self.read(&event)?;
            if !self.is_own(&frame) || frame.offset < self.next_offset {
                continue;
            }
            if frame.offset > self.next_offset {
                let cause = format!("token {} came for {}", frame.offset, self.next_offset);
                return Err(self.protocol(cause));
            }
            self.next_offset += 1;
            if frame.finish_reason.is_some() {
                self.guard.finished();
                self.read_end().await;
            }
            return Ok(frame);
        }
    }

    /// Leaves the attempt running at the engine, to be resumed.
    pub fn keep(mut self) {
        self.guard.finished();
    }

    fn read(&self, event: &Event) -> Result<Frame, SendError> {
        if let Ok(frame) = serde_json::from_str::<Frame>(&event.data) {
            return Ok(frame);
        }
        match serde_json::from_str::<ErrorBody>(&event.data) {
            Ok(body) => Err(SendError::Refused {
                peer: self.target.instance.clone(),
                status: StatusCode::INTERNAL_SERVER_ERROR,
                detail: Box::new(body.error),
            }),
            Err(error) => Err(self.protocol(error.to_string())),
        }
    }

    fn is_own(&self, frame: &Frame) -> bool {
        frame.request == self.call.request && frame.attempt == self.call.attempt
    }

    /// Reads past `[DONE]`, so that the connection can be used again.
    async fn read_end(&mut self) {
        let deadline = Instant::now() + CANCEL_TIMEOUT;
        let end = async { while let Some(Ok(_)) = self.events.next().await {} };
        // A connection that does not end is closed instead of kept.
        let _ = compio::time::timeout_at(deadline, end).await;
    }

    fn broken(&self, cause: String) -> SendError {
        SendError::Broken {
            step: Step::Body,
            peer: self.target.instance.clone(),
            cause,
        }
    }

    fn protocol(&self, cause: String) -> SendError {
        SendError::Protocol {
            peer: self.target.instance.clone(),
            cause,
        }
    }
}

/// Cancels an attempt when dropped, unless it is known to be over.
#[derive(Debug)]
struct CancelGuard {
    connections: Connections,
    target: Target,
    request: RequestId,
    attempt: Attempt,
    armed: bool,
}

impl CancelGuard {
    fn new(connections: &Connections, target: &Target, call: &Generate) -> Self {
        Self {
            connections: connections.clone(),
            target: target.clone(),
            request: call.request.clone(),
            attempt: call.attempt,
            armed: true,
        }
    }

    fn finished(&mut self) {
        self.armed = false;
    }

    /// Ends the guard of an attempt that failed with `outcome`.
    fn resolve(mut self, outcome: Outcome) {
        if outcome == Outcome::NotRun {
            self.finished();
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let connections = self.connections.clone();
        let target = self.target.clone();
        let request = std::mem::take(&mut self.request);
        let attempt = self.attempt;
        compio::runtime::spawn(async move {
            cancel_persistently(&connections, &target, &request, attempt).await;
        })
        .detach();
    }
}

async fn cancel_persistently(
    connections: &Connections,
    target: &Target,
    request: &str,
    attempt: Attempt,
) {
    for _ in 0..CANCEL_TRIES {
        match cancel(connections, target, request, attempt).await {
            Ok(()) => return,
            Err(error) => log::debug!("upstream: cancel of {request} failed: {error}"),
        }
    }
    // The engine's own resume window ends an attempt that nobody reads.
    let peer: &InstanceId = &target.instance;
    log::warn!("upstream: cancel of {request} at {peer} was not confirmed");
}

fn generate_request(target: &Target, call: &Generate) -> Result<Request<Full<Bytes>>, SendError> {
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

fn plain(
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

fn protocol(target: &Target, error: &dyn std::error::Error) -> SendError {
    SendError::Protocol {
        peer: target.instance.clone(),
        cause: error.to_string(),
    }
}

/// Error that an engine gave with its answer's head.
async fn refusal(target: &Target, answer: Answer, deadline: Instant) -> SendError {
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
