//! Error body that callers, daemons and emulated services exchange.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use serde::{Deserialize, Serialize};

use crate::body::{Body, json};

/// What is known about the execution of a failed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request reached an upstream.
    NotRun,
    /// The work was started and ended without a complete answer.
    Failed,
    /// The work may have been executed.
    Unknown,
}

/// Body of every error response: `{"error": {…}}`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error itself.
    pub error: ErrorDetail,
}

/// Fields of an error response.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Human-readable description.
    pub message: String,
    /// Stable code for programs, in snake case.
    pub code: String,
    /// What is known about the execution of the request.
    pub outcome: Outcome,
    /// Processing step at which the error occurred.
    pub step: String,
    /// Peer or upstream at which it occurred, if any.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub peer: Option<String>,
    /// Id of the request, if one was assigned.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub request_id: Option<String>,
    /// Time after which the request may be retried, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl ErrorBody {
    /// Error with the required fields set and the optional ones unset.
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

    /// Sets the peer or upstream at which the error occurred.
    #[must_use]
    pub fn peer(mut self, peer: impl Into<String>) -> Self {
        self.error.peer = Some(peer.into());
        self
    }

    /// Sets the id of the request.
    #[must_use]
    pub fn request_id(mut self, request_id: impl Into<String>) -> Self {
        self.error.request_id = Some(request_id.into());
        self
    }

    /// Sets the time after which the request may be retried.
    #[must_use]
    pub fn retry_after(mut self, delay: Duration) -> Self {
        let delay_ms = u64::try_from(delay.as_millis()).unwrap_or(u64::MAX);
        self.error.retry_after_ms = Some(delay_ms);
        self
    }

    /// Response with `status`, and with `Retry-After` in seconds, rounded up, if
    /// a retry time is set.
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
