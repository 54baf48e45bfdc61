//! Reasons why an order did not go out or was not taken.

use mangofront_settings::ids::InstanceId;
use mangofront_upstream::SendError;
use thiserror::Error;

use crate::token::Outdated;

/// A step of an order that failed.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The engine could not be read or reached.
    #[error("{step}: {cause}")]
    Call {
        /// What was tried.
        step: &'static str,
        /// Error of the call; it names the engine.
        cause: SendError,
    },
    /// This daemon's configuration is older than what the engine has seen.
    #[error("order to {peer}: {cause}")]
    Outdated {
        /// Engine's instance.
        peer: InstanceId,
        /// Both revisions.
        cause: Outdated,
    },
    /// The lease ended between the decision and the send; nothing was sent.
    #[error("order to {peer}: the view ran out before it was sent")]
    LeaseLost {
        /// Engine's instance.
        peer: InstanceId,
    },
    /// The order could not be written as a request.
    #[error("order to {peer}: {cause}")]
    Request {
        /// Engine's instance.
        peer: InstanceId,
        /// Library's words.
        cause: String,
    },
}
