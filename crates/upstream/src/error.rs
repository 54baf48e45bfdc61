//! Errors of a call to an upstream.

use http::StatusCode;
use mangofront_http::{ErrorDetail, Outcome};
use mangofront_settings::ids::InstanceId;
use thiserror::Error;

/// Step of a call to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Opening a connection; no byte of the call was written.
    Connect,
    /// Handing the call to a connection that refused it unwritten.
    Send,
    /// Waiting for the answer's head; bytes may have been written.
    Head,
    /// Reading the answer's body.
    Body,
}

impl Step {
    /// Name for logs and error bodies.
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

/// A call that got no whole answer.
#[derive(Debug, Error)]
pub enum SendError {
    /// Connection failed.
    #[error("{} to {peer} failed: {cause}", step.name())]
    ConnectionFailed {
        /// Step at which it failed.
        step: Step,
        /// Instance called.
        peer: InstanceId,
        /// Library's words.
        cause: String,
    },
    /// Time ran out.
    #[error("{} to {peer} timed out", step.name())]
    Timeout {
        /// Step at which it happened.
        step: Step,
        /// Instance called.
        peer: InstanceId,
    },
    /// The upstream answered with an error.
    #[error("{peer} answered {status}: {}", detail.message)]
    Refused {
        /// Instance called.
        peer: InstanceId,
        /// Status of the answer.
        status: StatusCode,
        /// Error it gave.
        detail: Box<ErrorDetail>,
    },
    /// The caller wanted it no more by the time that it could be written.
    #[error("the call to {peer} was withdrawn before it was written")]
    Withdrawn {
        /// Instance that it was meant for.
        peer: InstanceId,
    },
    /// The upstream broke the protocol.
    #[error("{peer} broke the protocol: {cause}")]
    Protocol {
        /// Instance called.
        peer: InstanceId,
        /// What was wrong.
        cause: String,
    },
}

impl SendError {
    /// What is known of the call's execution.
    ///
    /// [`Outcome::NotRun`] only where no byte was written, or the upstream
    /// itself said so.
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
            Self::ConnectionFailed { .. } | Self::Timeout { .. } | Self::Protocol { .. } => {
                Outcome::Unknown
            }
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
            | Self::Protocol { peer, .. } => peer,
        }
    }

    /// Name of the step, for error bodies.
    #[must_use]
    pub fn step_name(&self) -> &'static str {
        match self {
            Self::ConnectionFailed { step, .. } | Self::Timeout { step, .. } => step.name(),
            Self::Refused { .. } => "refused",
            Self::Withdrawn { .. } => "withdrawn",
            Self::Protocol { .. } => "protocol",
        }
    }
}
