//! What happened to an order.

use mangofront_settings::ids::InstanceId;

use crate::message::{LoadState, Order};
use crate::token::FencingToken;

/// One order that was written towards an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrderChange {
    /// Engine's instance.
    pub engine: InstanceId,
    /// What was ordered.
    pub order: Order,
    /// Token it carried.
    pub token: FencingToken,
    /// What came of it.
    pub outcome: OrderOutcome,
}

/// What came of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The engine took it.
    Taken {
        /// Whether it is in force yet.
        state: LoadState,
    },
    /// The engine refused it, for instance for its token.
    Refused {
        /// Code and words of the engine.
        reason: String,
    },
    /// No answer came; the engine may have taken it.
    Unknown {
        /// Step that failed, with its cause.
        reason: String,
    },
}
