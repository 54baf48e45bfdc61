//! Errors of requests and their representation towards callers.

use std::time::Duration;

use http::{Method, Response, StatusCode};
use mangofront_bodies::ReadError;
use mangofront_http::{Body, ErrorBody, Outcome};
use mangofront_prompt::PromptError;
use mangofront_settings::ids::InstanceId;
use mangofront_upstream::SendError;
use thiserror::Error;

/// Reason why a request failed or was refused.
#[derive(Debug, Error)]
pub(crate) enum EntryError {
    #[error("no such path: {path}")]
    UnknownPath { path: String },
    #[error("this path takes {allowed}")]
    WrongMethod { allowed: Method },
    #[error("header {name} is missing")]
    MissingHeader { name: &'static str },
    #[error("header {name} is not readable text")]
    BadHeader { name: &'static str },
    #[error("unknown class {class}")]
    UnknownClass { class: String },
    #[error("unknown organisation {organisation}")]
    UnknownOrganisation { organisation: String },
    #[error("unknown model {model}")]
    UnknownModel { model: String },
    #[error("unknown service {service}")]
    UnknownService { service: String },
    #[error("{0}")]
    Body(#[from] ReadError),
    #[error("body did not arrive in time")]
    BodyTimeout,
    #[error("{0}")]
    Prompt(#[from] PromptError),
    #[error("no configuration is known yet")]
    NoConfiguration,
    #[error("this daemon is stopping")]
    Stopping { retry_after: Duration },
    #[error("{reason}")]
    Refused {
        code: &'static str,
        reason: String,
        retry_after: Duration,
    },
    #[error("no {kind} takes work now")]
    NoUpstream {
        kind: &'static str,
        outcome: Outcome,
        retry_after: Duration,
    },
    #[error("the class's time is over")]
    DeadlineExceeded { outcome: Outcome },
    #[error("the daemon stopped before the request was answered")]
    CutOff {
        outcome: Outcome,
        retry_after: Duration,
    },
    #[error("gave up after {attempts} attempts: {last}")]
    AttemptsFailed {
        attempts: u32,
        last: SendError,
        retry_after: Duration,
    },
    #[error("the answer needs more memory than is left")]
    AnswerTooLarge,
    #[error("{0}")]
    Service(SendError),
    #[error("this call may not be repeated and needs the header idempotency-key")]
    KeyRequired,
    #[error("{reason}")]
    Order {
        code: &'static str,
        outcome: Outcome,
        reason: String,
        retry_after: Option<Duration>,
    },
}

impl EntryError {
    /// Stable code for programs.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::UnknownPath { .. } => "unknown_path",
            Self::WrongMethod { .. } => "wrong_method",
            Self::MissingHeader { .. } => "missing_header",
            Self::BadHeader { .. } => "bad_header",
            Self::UnknownClass { .. } => "unknown_class",
            Self::UnknownOrganisation { .. } => "unknown_organisation",
            Self::UnknownModel { .. } => "unknown_model",
            Self::UnknownService { .. } => "unknown_service",
            Self::Body(ReadError::TooLarge { .. }) => "body_too_large",
            Self::Body(ReadError::Interrupted(_)) => "body_broken",
            Self::Body(ReadError::NoRoom(_)) => "bodies_full",
            Self::BodyTimeout => "body_timeout",
            Self::Prompt(_) => "malformed_request",
            Self::NoConfiguration => "no_configuration",
            Self::Stopping { .. } => "stopping",
            Self::CutOff { .. } => "stopped",
            Self::Refused { code, .. } | Self::Order { code, .. } => code,
            Self::NoUpstream { .. } => "no_upstream",
            Self::DeadlineExceeded { .. } => "deadline_exceeded",
            Self::AttemptsFailed { .. } | Self::Service(_) => "upstream_failed",
            Self::AnswerTooLarge => "answer_too_large",
            Self::KeyRequired => "idempotency_key_required",
        }
    }

    /// What is known about the execution of the request.
    ///
    /// A model's answer has no effect unless the caller receives it, so an attempt
    /// with an unknown outcome counts as failed. A service call may have had side
    /// effects.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::DeadlineExceeded { outcome }
            | Self::CutOff { outcome, .. }
            | Self::NoUpstream { outcome, .. }
            | Self::Order { outcome, .. } => *outcome,
            Self::AttemptsFailed { last, .. } => match last.outcome() {
                Outcome::NotRun => Outcome::NotRun,
                Outcome::Failed | Outcome::Unknown => Outcome::Failed,
            },
            Self::Service(error) => error.outcome(),
            Self::AnswerTooLarge => Outcome::Failed,
            _ => Outcome::NotRun,
        }
    }

    /// Whether the request did not run and the caller may retry it later.
    pub(crate) fn is_refusal(&self) -> bool {
        self.outcome() == Outcome::NotRun && self.retry_after().is_some()
    }

    /// Whether the request had been read when the error occurred.
    pub(crate) fn was_in_progress(&self) -> bool {
        matches!(
            self,
            Self::Refused { .. }
                | Self::NoUpstream { .. }
                | Self::DeadlineExceeded { .. }
                | Self::CutOff { .. }
                | Self::AttemptsFailed { .. }
                | Self::AnswerTooLarge
                | Self::Service(_)
                | Self::KeyRequired
                | Self::Order { .. }
        )
    }

    fn status(&self) -> StatusCode {
        match self {
            Self::UnknownPath { .. } | Self::UnknownModel { .. } | Self::UnknownService { .. } => {
                StatusCode::NOT_FOUND
            }
            Self::WrongMethod { .. } => StatusCode::METHOD_NOT_ALLOWED,
            Self::UnknownOrganisation { .. } => StatusCode::FORBIDDEN,
            Self::MissingHeader { .. }
            | Self::BadHeader { .. }
            | Self::UnknownClass { .. }
            | Self::Body(ReadError::Interrupted(_))
            | Self::Prompt(_)
            | Self::KeyRequired => StatusCode::BAD_REQUEST,
            Self::Body(ReadError::TooLarge { .. }) => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            // Another daemon can serve it, unlike a request that is refused as excessive.
            Self::Refused {
                code: "stopping", ..
            } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Refused { .. } | Self::Body(ReadError::NoRoom(_)) => {
                StatusCode::TOO_MANY_REQUESTS
            }
            Self::NoConfiguration
            | Self::Stopping { .. }
            | Self::CutOff { .. }
            | Self::NoUpstream { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::DeadlineExceeded { .. } => StatusCode::GATEWAY_TIMEOUT,
            Self::AttemptsFailed { .. } | Self::Service(_) | Self::AnswerTooLarge => {
                StatusCode::BAD_GATEWAY
            }
            Self::Order {
                outcome: Outcome::NotRun,
                code: "key_conflict",
                ..
            } => StatusCode::UNPROCESSABLE_ENTITY,
            Self::Order {
                outcome: Outcome::NotRun,
                ..
            } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Order {
                outcome: Outcome::Failed,
                ..
            } => StatusCode::BAD_GATEWAY,
            Self::Order {
                outcome: Outcome::Unknown,
                ..
            } => StatusCode::CONFLICT,
        }
    }

    /// Processing step at which the error occurred.
    fn step(&self) -> &'static str {
        match self {
            Self::Body(_) | Self::BodyTimeout => "read_body",
            Self::NoConfiguration => "configuration",
            Self::Stopping { .. } | Self::Refused { .. } => "admission",
            Self::CutOff { .. } => "stop",
            Self::NoUpstream { .. } => "placement",
            Self::DeadlineExceeded { .. } => "deadline",
            Self::AttemptsFailed { last, .. } | Self::Service(last) => last.step_name(),
            Self::Order { .. } => "once",
            _ => "read_request",
        }
    }

    fn peer(&self) -> Option<&InstanceId> {
        match self {
            Self::AttemptsFailed { last, .. } | Self::Service(last) => Some(last.peer()),
            _ => None,
        }
    }

    fn retry_after(&self) -> Option<Duration> {
        match self {
            Self::Stopping { retry_after }
            | Self::Refused { retry_after, .. }
            | Self::NoUpstream { retry_after, .. }
            | Self::AttemptsFailed { retry_after, .. } => Some(*retry_after),
            Self::CutOff {
                outcome,
                retry_after,
            } => (*outcome != Outcome::Unknown).then_some(*retry_after),
            Self::Order { retry_after, .. } => *retry_after,
            Self::NoConfiguration => Some(Duration::from_secs(1)),
            _ => None,
        }
    }

    /// Error body for the caller.
    pub(crate) fn body(&self, request_id: &str) -> ErrorBody {
        let mut body = ErrorBody::new(self.code(), self.outcome(), self.step(), self.to_string())
            .request_id(request_id);
        if let Some(peer) = self.peer() {
            body = body.peer(peer.as_str());
        }
        if let Some(delay) = self.retry_after() {
            body = body.retry_after(delay);
        }
        body
    }

    /// Response for the caller.
    pub(crate) fn into_response(self, request_id: &str) -> Response<Body> {
        self.body(request_id).into_response(self.status())
    }
}
