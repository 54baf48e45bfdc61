//! Error responses of the engine.

use std::fmt::Display;
use std::time::Duration;

use http::{Response, StatusCode};
use mangofront_http::{Body, ErrorBody, Outcome};

use super::orders::OrderError;
use super::output::End;
use super::refusal::Refusal;
use super::transfer::TransferError;

/// Retry delay sent with temporary refusals.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Error response of the engine.
#[derive(Debug)]
pub(crate) struct ErrorResponse {
    status: StatusCode,
    body: Box<ErrorBody>,
}

impl ErrorResponse {
    fn new(status: StatusCode, body: ErrorBody) -> Self {
        let body = Box::new(body);
        Self { status, body }
    }

    /// Request that could not be parsed.
    pub(crate) fn malformed(step: &str, reason: &impl Display) -> Self {
        let body = ErrorBody::new("malformed", Outcome::NotRun, step, reason.to_string());
        Self::new(StatusCode::BAD_REQUEST, body)
    }

    /// Path or stream that does not exist.
    pub(crate) fn unknown(code: &str, step: &str, message: &str) -> Self {
        let body = ErrorBody::new(code, Outcome::NotRun, step, message);
        Self::new(StatusCode::NOT_FOUND, body)
    }

    /// Work that was refused.
    pub(crate) fn refused(refusal: &Refusal, step: &str) -> Self {
        let (status, code) = refusal.status_and_code();
        let mut body = ErrorBody::new(code, refusal.outcome(), step, refusal.to_string());
        if matches!(refusal, Refusal::Busy(_) | Refusal::Loading) {
            body = body.retry_after(RETRY_AFTER);
        }
        Self::new(status, body)
    }

    /// KV cache transfer that was refused.
    pub(crate) fn transfer(error: &TransferError) -> Self {
        let (status, code) = match error {
            TransferError::MalformedBlock(_) => (StatusCode::BAD_REQUEST, "malformed"),
            TransferError::WrongDigest => (StatusCode::UNPROCESSABLE_ENTITY, "wrong_digest"),
        };
        let body = ErrorBody::new(code, Outcome::NotRun, "transfer", error.to_string());
        Self::new(status, body)
    }

    /// Order that was refused.
    pub(crate) fn order(error: &OrderError) -> Self {
        let (status, code) = match error {
            OrderError::StaleToken => (StatusCode::CONFLICT, "stale_token"),
            OrderError::UnknownRole => (StatusCode::BAD_REQUEST, "malformed"),
        };
        let body = ErrorBody::new(code, Outcome::NotRun, "order", error.to_string());
        Self::new(status, body)
    }

    /// Segment that ended before it was complete.
    pub(crate) fn segment(end: End) -> Self {
        let message = format!("segment ended early: {}", end.code());
        let body = ErrorBody::new(end.code(), Outcome::Failed, "segment", message);
        Self::new(StatusCode::CONFLICT, body)
    }

    pub(crate) fn into_response(self) -> Response<Body> {
        self.body.into_response(self.status)
    }
}
