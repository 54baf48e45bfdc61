//! Messages between daemons about rate limits.

use mangofront_limits::{
    ColdObservation, GroupName, LimitObservation, PermitDecision, PermitRequest,
};
use serde::{Deserialize, Serialize};

use crate::datagram::Nonce;

/// One message. Any may be lost, late or doubled.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub(crate) enum LimitMessage {
    /// The sender, a coordinator, asks for the receiver's share.
    AskShare {
        /// Identifies the question.
        nonce: Nonce,
        /// Group of the limits.
        group: GroupName,
        /// Number of daemons that the sender expects to be running.
        fleet: u32,
    },
    /// Reply to [`Self::AskShare`]: the sender lends its share.
    LendShare {
        /// The question.
        nonce: Nonce,
        /// Number of daemons that the sender expects to be running.
        fleet: u32,
    },
    /// The sender coordinates a group no longer, and none of its permits can be used.
    ReturnShare {
        /// The group.
        group: GroupName,
    },
    /// The sender asks for a permit.
    AskPermit {
        /// Identifies the question.
        nonce: Nonce,
        /// Group of the upstream.
        group: GroupName,
        /// The request.
        request: PermitRequest,
        /// The limit as the sender knows it.
        observation: LimitObservation,
        /// Whether the upstream is cold, as the sender knows it.
        cold: Option<ColdObservation>,
    },
    /// Reply to [`Self::AskPermit`].
    Decided {
        /// The question.
        nonce: Nonce,
        /// The decision.
        decision: PermitDecision,
        /// The limit as the sender knows it.
        observation: LimitObservation,
        /// Whether the upstream is cold, as the sender knows it.
        cold: Option<ColdObservation>,
    },
    /// The sender sent a request without a permit, which counts all the same.
    Charge {
        /// Group of the upstream.
        group: GroupName,
        /// The upstream.
        observation: LimitObservation,
        /// Whether it is cold, as the sender knows it.
        cold: Option<ColdObservation>,
    },
}
