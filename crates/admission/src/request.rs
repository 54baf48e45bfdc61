//! What is asked of the admission, and how it refuses.

use std::time::{Duration, Instant};

use mangofront_settings::ids::{ClassName, ModelName, OrganisationId};
use serde::Serialize;
use thiserror::Error;

/// One request that wants to be admitted.
#[derive(Debug, Clone)]
pub struct AdmissionRequest {
    /// Class of work.
    pub class: ClassName,
    /// Customer that pays.
    pub organisation: OrganisationId,
    /// Model asked for.
    pub model: ModelName,
    /// Length of the prompt, in tokens.
    pub length_tokens: u64,
    /// Time at which it came in.
    pub arrived: Instant,
    /// Time at which it fails if it has not finished.
    pub deadline: Instant,
}

/// A request was not admitted, so it has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("admission: {reason}")]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which a retry makes sense.
    pub retry_after: Duration,
}

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Error)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The class is not published.
    #[error("unknown class")]
    UnknownClass,
    /// No engine can take it.
    #[error("no engine can take it")]
    NoEngine,
    /// It would start or finish too late for its class.
    #[error("its class's time cannot be met")]
    TooLate,
    /// Too many requests wait already.
    #[error("too many requests wait")]
    QueueFull,
    /// The daemon stops.
    #[error("stopping")]
    Closed,
}
