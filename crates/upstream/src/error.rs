//! Errors of a call to an upstream.

use std::io;

use http::StatusCode;
use mangofront_http::{ErrorDetail, Outcome};
use mangofront_settings::ids::InstanceId;
use thiserror::Error;

/// Step of a call to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Opening a connection; no byte of the call was written.
    Connect,
    /// Passing the call to a connection that returned it without writing a byte.
    Send,
    /// Waiting for the response's head; bytes may have been written.
    Head,
    /// Reading the response's body.
    Body,
}

impl Step {
    /// Name of the step in logs and error bodies.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Connect => "connect",
            Self::Send => "send",
            Self::Head => "await_head",
            Self::Body => "read_body",
        }
    }
}

/// How a connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionFault {
    /// The machine answered that nothing listens at the address.
    Refused,
    /// The other side reset it as it was opened, so something listens there.
    Reset,
    /// In another way, or after it was opened.
    Other,
}

impl From<&io::Error> for ConnectionFault {
    fn from(error: &io::Error) -> Self {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => Self::Refused,
            io::ErrorKind::ConnectionReset | io::ErrorKind::ConnectionAborted => Self::Reset,
            _ => Self::Other,
        }
    }
}

/// Reason why a call got no complete response.
#[derive(Debug, Error)]
pub enum SendError {
    /// The connection failed.
    #[error("{} to {peer} failed: {cause}", step.name())]
    ConnectionFailed {
        /// Step at which it failed.
        step: Step,
        /// How it failed.
        fault: ConnectionFault,
        /// Instance that was called.
        peer: InstanceId,
        /// Error message of the library.
        cause: String,
    },
    /// The deadline passed.
    #[error("{} to {peer} timed out", step.name())]
    Timeout {
        /// Step that was in progress.
        step: Step,
        /// Instance that was called.
        peer: InstanceId,
    },
    /// The upstream returned an error.
    #[error("{peer} answered {status}: {}", detail.message)]
    Refused {
        /// Instance that was called.
        peer: InstanceId,
        /// Status of the response.
        status: StatusCode,
        /// Error from the response body.
        detail: Box<ErrorDetail>,
    },
    /// The call was no longer wanted by the time it could be written.
    #[error("the call to {peer} was withdrawn before it was written")]
    Withdrawn {
        /// Instance to which the call was to be sent.
        peer: InstanceId,
    },
    /// This process has no memory left for the response.
    #[error("no memory is left for the response of {peer}")]
    NoRoom {
        /// Instance that was called.
        peer: InstanceId,
    },
    /// The upstream violated the protocol.
    #[error("{peer} broke the protocol: {cause}")]
    Protocol {
        /// Instance that was called.
        peer: InstanceId,
        /// Description of the violation.
        cause: String,
    },
}

impl SendError {
    /// What is known about the execution of the call.
    ///
    /// [`Outcome::NotRun`] only if no byte was written or the upstream reported
    /// so.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        match self {
            Self::ConnectionFailed {
                step: Step::Connect | Step::Send,
                ..
            }
            | Self::Timeout {
                step: Step::Connect,
                ..
            }
            | Self::Withdrawn { .. } => Outcome::NotRun,
            Self::Refused { detail, .. } => detail.outcome,
            Self::ConnectionFailed { .. }
            | Self::Timeout { .. }
            | Self::NoRoom { .. }
            | Self::Protocol { .. } => Outcome::Unknown,
        }
    }

    /// Instance that was called.
    #[must_use]
    pub fn peer(&self) -> &InstanceId {
        match self {
            Self::ConnectionFailed { peer, .. }
            | Self::Timeout { peer, .. }
            | Self::Refused { peer, .. }
            | Self::Withdrawn { peer }
            | Self::NoRoom { peer }
            | Self::Protocol { peer, .. } => peer,
        }
    }

    /// Name of the step at which the call failed, for error bodies.
    #[must_use]
    pub fn step_name(&self) -> &'static str {
        match self {
            Self::ConnectionFailed { step, .. } | Self::Timeout { step, .. } => step.name(),
            Self::Refused { .. } => "refused",
            Self::Withdrawn { .. } => "withdrawn",
            Self::NoRoom { .. } => "no_room",
            Self::Protocol { .. } => "protocol",
        }
    }
}
