//! Failures of a call to the platform's service.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use thiserror::Error;

use crate::document::Kind;

/// Which call failed.
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

/// Why a call brought no answer; each names its step and peer.
#[derive(Debug, Error)]
pub enum ReadError {
    /// Nothing came in time.
    #[error("{step} at {peer}: no answer within {timeout:?}")]
    TimedOut {
        /// Which call.
        step: ReadStep,
        /// The service's address.
        peer: SocketAddr,
        /// Time that the call had.
        timeout: Duration,
    },
    /// The connection could not be made or broke.
    #[error("{step} at {peer}: {reason}")]
    Connection {
        /// Which call.
        step: ReadStep,
        /// The service's address.
        peer: SocketAddr,
        /// The library's reason.
        reason: String,
    },
    /// An answer that says that the service can't serve.
    #[error("{step} at {peer}: status {status}")]
    Status {
        /// Which call.
        step: ReadStep,
        /// The service's address.
        peer: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// An answer without so much as a revision.
    #[error("{step} at {peer}: answer has no revision")]
    NoRevision {
        /// Which call.
        step: ReadStep,
        /// The service's address.
        peer: SocketAddr,
    },
}
