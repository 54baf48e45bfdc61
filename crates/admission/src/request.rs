//! Requests to be admitted and their refusals.

use std::time::{Duration, Instant};

use mangofront_settings::ids::{ClassName, ModelName, OrganisationId};
use serde::Serialize;
use thiserror::Error;

/// A request to be admitted.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Request class.
    pub class: ClassName,
    /// Organisation to which the request is charged.
    pub organisation: OrganisationId,
    /// Requested model.
    pub model: ModelName,
    /// Length of the prompt, in tokens.
    pub length_tokens: u64,
    /// Time of arrival.
    pub arrived: Instant,
    /// Time at which the request fails if it has not completed.
    pub deadline: Instant,
}

/// Refusal of a request, which has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("admission: {reason}")]
pub struct Refusal {
    /// Why the request was refused.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed.
    pub retry_after: Duration,
}

/// Why a request was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The class is not published.
    #[error("unknown class")]
    UnknownClass,
    /// No engine can take the request.
    #[error("no engine can take it")]
    NoEngine,
    /// The request would complete too late for its class or deadline.
    #[error("its class's time cannot be met")]
    TooLate,
    /// Too many requests are waiting.
    #[error("too many requests wait")]
    QueueFull,
    /// The daemon is shutting down.
    #[error("stopping")]
    Closed,
}
