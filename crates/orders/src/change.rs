//! Report of a sent order.

use mangofront_settings::ids::InstanceId;

use crate::message::{LoadState, Order};
use crate::token::FencingToken;

/// An order that was sent to an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderChange {
    /// Engine's instance.
    pub engine: InstanceId,
    /// The order.
    pub order: Order,
    /// Fencing token that it contained.
    pub token: FencingToken,
    /// Outcome.
    pub outcome: OrderOutcome,
}

/// Outcome of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine accepted it.
    Taken {
        /// Whether it is already in force.
        state: LoadState,
    },
    /// The engine refused it, for instance for its token.
    Refused {
        /// Error code and message of the engine.
        reason: String,
    },
    /// No answer was received; the engine may have accepted it.
    Unknown {
        /// Failed step and its cause.
        reason: String,
    },
}
