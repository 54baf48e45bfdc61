//! State shown on the status page.

use std::collections::BTreeMap;

use mangofront_settings::ids::{InstanceId, Revision};
use serde::Serialize;

/// Current state of this daemon's orders.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OrdersStatus {
    /// Revision of the configuration that is applied.
    pub revision: Revision,
    /// Whether the lease of the view is valid.
    pub view_fresh: bool,
    /// Engines that this daemon is responsible for.
    pub engines: BTreeMap<InstanceId, EngineStatus>,
}

/// State of one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EngineStatus {
    /// Phase of its task.
    pub phase: Phase,
    /// Order that is still needed, or was sent and is not in force yet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub order: Option<String>,
}

/// Phase of an engine's task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Phase {
    /// The engine's state has not been read yet.
    New,
    /// The engine is in its desired state.
    Settled,
    /// The engine does not answer.
    Unreachable,
    /// The engine is loading.
    Loading,
    /// Waits until the previously responsible daemon can't send orders any more.
    WaitingForPredecessor,
    /// Waits for other engines to load first.
    WaitingForTurn,
    /// The same order was sent recently.
    BackingOff,
    /// The engine has seen an order of a newer configuration.
    Outdated,
    /// The order was sent.
    Sent,
    /// The order failed or was refused.
    Failed,
    /// The lease of this daemon's view has expired.
    ViewStale,
}
