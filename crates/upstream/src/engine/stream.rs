//! Stream of the frames of one attempt.
//!
//! Only frames of the stream's own attempt at the next offset are returned:
//! repeated tokens and frames of other attempts are discarded, a gap is an error.

use std::pin::Pin;
use std::time::{Duration, Instant};

use futures_util::{Stream, StreamExt};
use http::StatusCode;
use mangofront_bodies::Purpose;
use mangofront_http::{ErrorBody, Event, events_within, headers};
use serde::{Deserialize, Serialize};

use super::attempt::{AttemptNumber, GenerateCall, RequestId};
use super::cancel::CancelGuard;
use crate::Target;
use crate::connection::{UpstreamResponse, with_deadline};
use crate::error::{SendError, Step};

/// Time limit for an engine to end its stream after the last token.
const END_TIMEOUT: Duration = Duration::from_secs(2);

/// One token of an answer, as the engine sends it.
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
    /// The model ended the answer.
    Stop,
    /// The answer reached its maximum length.
    Length,
}

/// Token counts of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Tokens of the prompt that were in the prefix cache.
    #[serde(default)]
    pub cached_tokens: u64,
    /// Tokens of the answer.
    pub completion_tokens: u64,
}

/// Frames of one attempt, in order and without gaps.
///
/// Invariant: only a frame at `next_offset` is returned.
pub struct EngineStream {
    target: Target,
    call: GenerateCall,
    stream: Option<String>,
    next_offset: u32,
    events: Pin<Box<dyn Stream<Item = Result<Event, mangofront_http::EventsError>>>>,
    /// Last token, while the end of the body is read.
    last_token: Option<Frame>,
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
        response: UpstreamResponse,
        guard: CancelGuard,
    ) -> Self {
        let pending_event = response.body_memory().reserve_growing(Purpose::Stream);
        let stream = response
            .headers
            .get(headers::STREAM_ID)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned);
        Self {
            target: target.clone(),
            stream,
            next_offset: call.resume_offset,
            events: Box::pin(events_within(response.chunks(), pending_event)),
            last_token: None,
            guard,
            call,
        }
    }

    /// Id with which the stream can be resumed, if the engine returned one.
    #[must_use]
    pub fn stream_id(&self) -> Option<&str> {
        self.stream.as_deref()
    }

    /// Next token of the answer; the last one has a finish reason. No token is lost if
    /// the future is dropped.
    ///
    /// # Errors
    /// [`SendError`] when the stream is interrupted, skips a token, or yields no
    /// token by `deadline`.
    pub async fn next(&mut self, deadline: Instant) -> Result<Frame, SendError> {
        loop {
            if self.last_token.is_some() {
                self.read_to_end().await;
            }
            if let Some(frame) = self.last_token.take() {
                return Ok(frame);
            }
            let frame = self.next_frame(deadline).await?;
            if frame.finish_reason.is_none() {
                return Ok(frame);
            }
            self.guard.disarm();
            self.last_token = Some(frame);
        }
    }

    async fn next_frame(&mut self, deadline: Instant) -> Result<Frame, SendError> {
        loop {
            let next_event = self.events.next();
            let event = match with_deadline(deadline, &self.target, Step::Body, next_event).await? {
                Some(Ok(event)) => event,
                Some(Err(error)) => return Err(self.connection_failed(error.to_string())),
                None => {
                    return Err(self.connection_failed("ended without its last token".to_owned()));
                }
            };
            let frame = self.parse(&event)?;
            if !self.belongs_to_attempt(&frame) || frame.offset < self.next_offset {
                continue;
            }
            if frame.offset > self.next_offset {
                let cause = format!("token {} came for {}", frame.offset, self.next_offset);
                return Err(self.protocol(cause));
            }
            self.next_offset += 1;
            return Ok(frame);
        }
    }

    /// Drops the stream without cancelling the attempt, so that it can be resumed.
    pub fn detach(mut self) {
        self.guard.disarm();
    }

    fn parse(&self, event: &Event) -> Result<Frame, SendError> {
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

    fn belongs_to_attempt(&self, frame: &Frame) -> bool {
        frame.request == self.call.request && frame.attempt == self.call.attempt
    }

    /// Reads to the end of the body, past `[DONE]`, so that the connection can be
    /// reused.
    async fn read_to_end(&mut self) {
        let deadline = Instant::now() + END_TIMEOUT;
        let end = async { while let Some(Ok(_)) = self.events.next().await {} };
        // If the body does not end in time, the connection is closed instead of
        // reused.
        let _ = compio::time::timeout_at(deadline, end).await;
    }

    fn connection_failed(&self, cause: String) -> SendError {
        SendError::ConnectionFailed {
            step: Step::Body,
            fault: crate::ConnectionFault::Other,
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
