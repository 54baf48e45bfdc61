//! Orders to engines and reports of engines.

use std::fmt;

use mangofront_settings::ids::{Incarnation, ModelName};
use serde::{Deserialize, Serialize};

use crate::token::FencingToken;
use crate::view::EngineRole;

/// Body of `GET /v1/state`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the engine's process.
    pub incarnation: Incarnation,
    /// Model in force.
    pub model: ModelName,
    /// Version in force.
    pub version: String,
    /// Adapters that are loaded.
    pub adapters: Vec<String>,
    /// Role in force.
    pub role: EngineRole,
    /// Whether the engine is loading.
    pub state: LoadState,
    /// Greatest accepted token; `None` if the engine ignores tokens.
    pub highest_token: Option<FencingToken>,
}

/// Whether an order is in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LoadState {
    /// Weights are being fetched or loaded.
    Loading,
    /// In force.
    Ready,
}

/// Property that an order sets.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Serve another model.
    Model,
    /// Load an additional adapter.
    Adapter,
    /// Serve another version of the model.
    Version,
    /// Work for another phase of requests.
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

    /// Whether an order of this kind makes the engine fetch weights.
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
    /// Property that it sets.
    pub kind: OrderKind,
    /// Desired value.
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

/// Answer to an accepted order.
#[derive(Debug, Deserialize)]
pub(crate) struct OrderAnswer {
    pub(crate) state: LoadState,
}
