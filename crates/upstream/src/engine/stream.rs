//! The frames of one attempt, as its reader may see them.
//!
//! Of what the engine sends, only frames of the own attempt at the next offset
//! are passed on: a repeated token and a frame of another attempt are dropped,
//! a gap is an error.

use std::pin::Pin;
use std::time::{Duration, Instant};

use futures_util::{Stream, StreamExt};
use http::StatusCode;
use mangofront_http::{ErrorBody, Event, events, headers};
use serde::{Deserialize, Serialize};

use super::attempt::{AttemptNumber, GenerateCall, RequestId};
use super::cancel::CancelGuard;
use crate::Target;
use crate::connection::{UpstreamResponse, within};
use crate::error::{SendError, Step};

/// Time for an engine to end its stream after the last token.
const END_TIMEOUT: Duration = Duration::from_secs(2);

/// One token of an answer.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Frame {
    /// Request it belongs to.
    pub request: RequestId,
    /// Attempt it belongs to.
    pub attempt: AttemptNumber,
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

/// Frames of one attempt, in order and without gaps.
///
/// Invariant: `next_offset` is the only offset that is passed on.
pub struct EngineStream {
    target: Target,
    call: GenerateCall,
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
    pub(super) fn new(
        target: &Target,
        call: GenerateCall,
        answer: UpstreamResponse,
        guard: CancelGuard,
    ) -> Self {
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
    pub fn detach(mut self) {
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
        let deadline = Instant::now() + END_TIMEOUT;
        let end = async { while let Some(Ok(_)) = self.events.next().await {} };
        // A connection that does not end is closed instead of kept.
        let _ = compio::time::timeout_at(deadline, end).await;
    }

    fn broken(&self, cause: String) -> SendError {
        SendError::ConnectionFailed {
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
