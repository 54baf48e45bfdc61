//! Errors of calls to the platform's service.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use thiserror::Error;

use crate::document::Kind;

/// Call that failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadStep {
    /// A plain read of a value.
    Read(Kind),
    /// A watch of a value.
    Watch(Kind),
}

impl fmt::Display for ReadStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Read(kind) => write!(f, "read of the {kind}"),
            Self::Watch(kind) => write!(f, "watch of the {kind}"),
        }
    }
}

/// Reason why a call had no usable answer; each message names the call and the address.
#[derive(Debug, Error)]
pub enum ReadError {
    /// There was no answer in time.
    #[error("{step} at {peer}: no answer within {timeout:?}")]
    TimedOut {
        /// Call that failed.
        step: ReadStep,
        /// Address of the service.
        peer: SocketAddr,
        /// Time limit of the call.
        timeout: Duration,
    },
    /// The connection could not be established or was lost.
    #[error("{step} at {peer}: {reason}")]
    Connection {
        /// Call that failed.
        step: ReadStep,
        /// Address of the service.
        peer: SocketAddr,
        /// Error from the HTTP library.
        reason: String,
    },
    /// The status of the answer is an error.
    #[error("{step} at {peer}: status {status}")]
    Status {
        /// Call that failed.
        step: ReadStep,
        /// Address of the service.
        peer: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// The answer contains no revision.
    #[error("{step} at {peer}: answer has no revision")]
    NoRevision {
        /// Call that failed.
        step: ReadStep,
        /// Address of the service.
        peer: SocketAddr,
    },
}
