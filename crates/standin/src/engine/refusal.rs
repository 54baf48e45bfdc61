//! Reasons for refusing work.

use http::StatusCode;
use mangofront_http::Outcome;
use thiserror::Error;

use super::sequence::ReservationId;

/// Reason for refusing work.
#[derive(Debug, Error)]
pub(crate) enum Refusal {
    #[error("{0}")]
    Malformed(String),
    #[error("no model or adapter {0} is loaded")]
    UnknownModel(String),
    #[error("reservation {0} is unknown or expired")]
    UnknownReservation(ReservationId),
    #[error("{wanted_tokens} tokens can never fit into {room_tokens}")]
    NoMemory {
        wanted_tokens: u64,
        room_tokens: u64,
    },
    #[error("attempt was cancelled before it arrived")]
    Cancelled,
    #[error("attempt was already received")]
    Duplicate,
    #[error("{0} requests wait already")]
    Busy(usize),
    #[error("engine takes no new work")]
    Leaving,
    #[error("engine loads a model")]
    Loading,
}

impl Refusal {
    /// HTTP status and error code.
    pub(crate) fn status_and_code(&self) -> (StatusCode, &'static str) {
        match self {
            Self::Malformed(_) => (StatusCode::BAD_REQUEST, "malformed"),
            Self::UnknownModel(_) => (StatusCode::NOT_FOUND, "unknown_model"),
            Self::UnknownReservation(_) => (StatusCode::NOT_FOUND, "unknown_reservation"),
            Self::NoMemory { .. } => (StatusCode::CONFLICT, "no_memory"),
            Self::Cancelled => (StatusCode::CONFLICT, "cancelled"),
            Self::Duplicate => (StatusCode::CONFLICT, "duplicate"),
            Self::Busy(_) => (StatusCode::TOO_MANY_REQUESTS, "busy"),
            Self::Leaving => (StatusCode::SERVICE_UNAVAILABLE, "leaving"),
            Self::Loading => (StatusCode::SERVICE_UNAVAILABLE, "loading"),
        }
    }

    /// Whether the work may have run, as is possible for a duplicate attempt.
    pub(crate) fn outcome(&self) -> Outcome {
        match self {
            Self::Duplicate => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }
}
