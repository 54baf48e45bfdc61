//! What the orders tell an operator.

use std::collections::BTreeMap;

use mangofront_settings::ids::{InstanceId, Revision};
use serde::Serialize;

/// Orders of this daemon now.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrdersStatus {
    /// Configuration that is carried out.
    pub revision: Revision,
    /// Whether the view may be acted upon.
    pub view_fresh: bool,
    /// Engines that this daemon is responsible for.
    pub engines: BTreeMap<InstanceId, EngineStatus>,
}

/// One engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineStatus {
    /// What its task is at.
    pub phase: Phase,
    /// Order that is missing, or was sent and isn't in force.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub order: Option<String>,
}

/// What an engine's task is at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// Not read yet.
    New,
    /// The engine is in its desired state.
    Settled,
    /// The engine does not answer.
    Unreachable,
    /// The engine loads.
    Loading,
    /// The former daemon's time has to pass.
    WaitingForPredecessor,
    /// Other engines load first.
    WaitingForTurn,
    /// The same order was sent a short while ago.
    BackingOff,
    /// The engine has seen a later configuration.
    Outdated,
    /// The order was sent.
    Sent,
    /// The order failed or was refused.
    Failed,
    /// The own view is too old to act upon.
    ViewStale,
}
