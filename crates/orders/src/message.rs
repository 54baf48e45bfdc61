//! What goes to engines and what they report.

use std::fmt;

use mangofront_settings::ids::{Incarnation, ModelName};
use serde::{Deserialize, Serialize};

use crate::token::FencingToken;
use crate::view::EngineRole;

/// Body of `GET /v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Life of the engine's process.
    pub incarnation: Incarnation,
    /// Model in force.
    pub model: ModelName,
    /// Version in force.
    pub version: String,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Role in force.
    pub role: EngineRole,
    /// Whether anything is being loaded.
    pub state: LoadState,
    /// Greatest token taken; `None` of an engine that ignores them.
    pub highest_token: Option<FencingToken>,
}

/// Whether what was ordered is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Still fetched or loaded.
    Loading,
    /// In force.
    Ready,
}

/// What an order is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Serve another model.
    Model,
    /// Load an adapter besides.
    Adapter,
    /// Serve another version of the model.
    Version,
    /// Work for another phase.
    Role,
}

impl OrderKind {
    /// Name in the order's path.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Model => "model",
            Self::Adapter => "adapter",
            Self::Version => "version",
            Self::Role => "role",
        }
    }

    /// Whether it fetches weights.
    #[must_use]
    pub fn loads(self) -> bool {
        match self {
            Self::Model | Self::Adapter | Self::Version => true,
            Self::Role => false,
        }
    }
}

/// One order.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// What it is about.
    pub kind: OrderKind,
    /// Value desired.
    pub value: String,
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}", self.kind.name(), self.value)
    }
}

/// Body of `PUT /v1/orders/{kind}`.
#[derive(Debug, Serialize)]
pub(crate) struct OrderBody<'a> {
    pub(crate) token: FencingToken,
    pub(crate) value: &'a str,
}

/// Answer to an order that was taken.
#[derive(Debug, Deserialize)]
pub(crate) struct OrderAnswer {
    pub(crate) state: LoadState,
}
