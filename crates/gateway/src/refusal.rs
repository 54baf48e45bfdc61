//! Answers that the gateway produces itself.
//!
//! A refusal with status 429 or 503 guarantees the caller that its request has not run and
//! never will. [`Refusal`] maintains this distinction: a request that may have run is
//! answered with 502 or 504.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use mangofront_http::{Body, ErrorBody, Outcome};
use mangofront_telemetry::metrics::RequestOutcome;

use crate::history::{CRASHES_UPSTREAMS, PROMPT_PART_CRASHES_UPSTREAMS};

/// Why no organisation is known by the key of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum KeyFault {
    /// There is none, and the route needs one.
    Missing,
    /// No organisation holds it.
    Unknown,
    /// The credentials name no single key.
    Unreadable,
}

impl KeyFault {
    fn reason(self) -> &'static str {
        match self {
            Self::Missing => "key_missing",
            Self::Unknown => "unknown_key",
            Self::Unreadable => "unreadable_credentials",
        }
    }
}

/// Why a request did not get an upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The head of the request is malformed.
    BadHead(String),
    /// No organisation is known by what the request carries.
    NotIdentified(KeyFault),
    /// No route matches.
    NoRoute,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The body did not arrive completely.
    BodyBroken,
    /// The body was not complete by the time at which the answer was due.
    BodyLate,
    /// The request has not run and will not.
    NotRun {
        /// Code of the reason.
        reason: &'static str,
        /// Time after which the caller may retry.
        retry_after: Duration,
    },
    /// The request may have run, and no answer arrived.
    Unknown {
        /// Description of the failure.
        reason: String,
    },
    /// The request may have run, and its deadline passed.
    TimedOut,
}

impl Refusal {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::BadHead(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::NotIdentified(_) => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyLate => StatusCode::REQUEST_TIMEOUT,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown { .. } => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// The reason, for logs and the caller.
    pub(crate) fn reason(&self) -> &str {
        match self {
            Self::BadHead(reason) | Self::Unknown { reason } => reason,
            Self::NotIdentified(fault) => fault.reason(),
            other => other.code(),
        }
    }

    /// The message in the caller's body: the reason, with an explanation where the code
    /// alone does not say enough.
    fn message(&self) -> String {
        match self.reason() {
            CRASHES_UPSTREAMS => format!(
                "{CRASHES_UPSTREAMS}: upstreams crashed while they ran it, so it is sent to no \
                 further one; to repeat it before the time in Retry-After is of no use"
            ),
            PROMPT_PART_CRASHES_UPSTREAMS => format!(
                "{PROMPT_PART_CRASHES_UPSTREAMS}: upstreams crashed as they began to answer prompts \
                 with a part of this one, so it is sent to none; to repeat it before the time in \
                 Retry-After is of no use"
            ),
            reason => reason.to_owned(),
        }
    }

    /// Code in metrics; it must not change.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::BadHead(_) => "bad_head",
            Self::Unknown { .. } => "outcome_unknown",
            Self::NotIdentified(_) => "unknown_key",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::BodyLate => "body_late",
            Self::NotRun { reason, .. } => reason,
            Self::TimedOut => "timed_out",
        }
    }

    /// The outcome in metrics.
    pub(crate) fn request_outcome(&self) -> RequestOutcome {
        match self.outcome() {
            Outcome::NotRun => RequestOutcome::NotRun,
            Outcome::Failed => RequestOutcome::Failed,
            Outcome::Unknown => RequestOutcome::Unknown,
        }
    }

    fn outcome(&self) -> Outcome {
        match self {
            Self::Unknown { .. } | Self::TimedOut => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    pub(crate) fn into_response(self, request_id: &str) -> Response<Body> {
        let status = self.status();
        let body = ErrorBody::new("refused", self.outcome(), "gateway", self.message())
            .request_id(request_id);
        let mut response = body.into_response(status);
        if let Self::NotRun { retry_after, .. } = self {
            let seconds = format!("{:.2}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::try_from(seconds) {
                response.headers_mut().insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
