//! The typed error body that callers, daemons and stand-ins exchange.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::body::{Body, json};

/// What is known of the work behind a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request reached an upstream.
    NotRun,
    /// The work was started and ended without a whole answer.
    Failed,
    /// The work may have run.
    Unknown,
}

/// Body of every error answer: `{"error": {…}}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// Fields of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Sentence for a person.
    pub message: String,
    /// Stable code for programs, in snake case.
    pub code: String,
    /// What is known of the work.
    pub outcome: Outcome,
    /// Step at which the error arose.
    pub step: String,
    /// Peer or upstream at which it arose, when there is one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub peer: Option<String>,
    /// Id of the request, when it got one.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request_id: Option<String>,
    /// Time after which a retry makes sense, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Error with the required fields; the optional ones are unset.
    pub fn new(code: &str, outcome: Outcome, step: &str, message: impl Into<String>) -> Self {
        Self {
            error: ErrorDetail {
                message: message.into(),
                code: code.to_owned(),
                outcome,
                step: step.to_owned(),
                peer: None,
                request_id: None,
                retry_after_ms: None,
            },
        }
    }

    /// Names the peer or upstream at which the error arose.
    #[must_use]
    pub fn peer(mut self, peer: impl Into<String>) -> Self {
        self.error.peer = Some(peer.into());
        self
    }

    /// Names the request.
    #[must_use]
    pub fn request_id(mut self, request_id: impl Into<String>) -> Self {
        self.error.request_id = Some(request_id.into());
        self
    }

    /// Tells when a retry makes sense.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.error.retry_after_ms = Some(delay_ms);
        self
    }

    /// Response with `status`, and `Retry-After` in whole seconds when set.
    #[must_use]
    pub fn into_response(self, status: StatusCode) -> Response<Body> {
        let mut response = json(status, &self);
        if let Some(delay_ms) = self.error.retry_after_ms {
            let seconds = delay_ms.div_ceil(1000);
            response
                .headers_mut()
                .insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        response
    }
}
