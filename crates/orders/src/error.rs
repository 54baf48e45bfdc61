//! Errors of reading an engine's state and of sending an order.

use mangofront_settings::ids::InstanceId;
use mangofront_upstream::SendError;
use thiserror::Error;

use crate::token::Outdated;

/// A failed step of an order.
#[derive(Debug, Error)]
pub enum OrderError {
    /// The engine's state could not be read, or no connection could be opened.
    #[error("{step}: {cause}")]
    Call {
        /// Step that failed.
        step: &'static str,
        /// Error of the call, which names the engine.
        cause: SendError,
    },
    /// The engine has seen an order under a newer configuration than this daemon's.
    #[error("order to {peer}: {cause}")]
    Outdated {
        /// Engine's instance.
        peer: InstanceId,
        /// The revisions.
        cause: Outdated,
    },
    /// The lease of the view or the responsibility ended before the order was sent.
    #[error("order to {peer}: the lease of the view ended before the order was sent")]
    LeaseLost {
        /// Engine's instance.
        peer: InstanceId,
    },
    /// The order could not be encoded as a request.
    #[error("order to {peer}: {cause}")]
    Request {
        /// Engine's instance.
        peer: InstanceId,
        /// Error message of the library.
        cause: String,
    },
}
