//! Answers that the gateway gives itself.
//!
//! A caller may take a refusal with 429 or 503 as a promise that its request
//! has not run and never will. [`Refusal`] keeps the two apart: what may have
//! run is answered with 502 or 504.

use std::time::Duration;

use http::{HeaderValue, Response, StatusCode, header};
use mangofront_http::{Body, ErrorBody, Outcome};
use mangofront_telemetry::metrics::RequestOutcome;

use crate::history::CRASHES_UPSTREAMS;

/// Why a request got no answer of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Refusal {
    /// The head can't be served.
    BadHead(String),
    /// No known key.
    UnknownKey,
    /// No route.
    NoRoute,
    /// The body is over the limit.
    BodyTooLarge,
    /// The body did not arrive whole.
    BodyBroken,
    /// The request has not run and will not.
    NotRun {
        /// Why.
        reason: &'static str,
        /// When to come back.
        retry_after: Duration,
    },
    /// It may have run, and no answer came.
    Unknown {
        /// Why.
        reason: String,
    },
    /// It may have run, and time is up.
    TimedOut,
}

impl Refusal {
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::BadHead(_) | Self::BodyBroken => StatusCode::BAD_REQUEST,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NotRun { .. } => StatusCode::SERVICE_UNAVAILABLE,
            Self::Unknown { .. } => StatusCode::BAD_GATEWAY,
            Self::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        }
    }

    /// Why, for logs and the caller.
    pub(crate) fn reason(&self) -> &str {
        match self {
            Self::BadHead(reason) | Self::Unknown { reason } => reason,
            other => other.code(),
        }
    }

    /// Why, in the caller's body: the reason, and what it can't tell by itself.
    fn message(&self) -> String {
        match self.reason() {
            CRASHES_UPSTREAMS => format!(
                "{CRASHES_UPSTREAMS}: upstreams crashed while they ran it, so it is sent to no \
                 further one; to repeat it before the time in Retry-After is of no use"
            ),
            reason => reason.to_owned(),
        }
    }

    /// Stable code, for metrics.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::BadHead(_) => "bad_head",
            Self::Unknown { .. } => "outcome_unknown",
            Self::UnknownKey => "unknown_key",
            Self::NoRoute => "no_route",
            Self::BodyTooLarge => "body_too_large",
            Self::BodyBroken => "body_broken",
            Self::NotRun { reason, .. } => reason,
            Self::TimedOut => "timed_out",
        }
    }

    /// The outcome as the metrics name it.
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
