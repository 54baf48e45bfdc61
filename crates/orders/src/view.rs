//! What the embedder knows: daemons, engines and the configuration in force.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId, ModelName, Revision};
use mangofront_settings::published::Model;
use mangofront_upstream::Target;
use serde::{Deserialize, Serialize};

/// View of one daemon at one moment.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct OrdersView {
    /// Instance of this daemon.
    pub own_instance: InstanceId,
    /// Life of this daemon's process.
    pub incarnation: Incarnation,
    /// Daemons that are alive and stay, this one included.
    pub daemons: Vec<OrdersDaemon>,
    /// Engines that are listed.
    pub engines: Vec<OrdersEngine>,
    /// Revision of the configuration in force.
    pub revision: Revision,
    /// Models of that configuration.
    pub models: BTreeMap<ModelName, Model>,
}

/// A daemon that is alive.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrdersDaemon {
    /// Its instance.
    pub instance: InstanceId,
    /// Where it stands.
    pub availability_zone: AvailabilityZone,
}

/// A listed engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OrdersEngine {
    /// Its instance.
    pub instance: InstanceId,
    /// Model it should serve.
    pub model: ModelName,
    /// Where it stands.
    pub availability_zone: AvailabilityZone,
    /// HTTP address.
    pub address: SocketAddr,
    /// Whether it is going; then it gets no order.
    pub leaving: bool,
    /// Role it should have; `None` leaves its role alone.
    pub role: Option<EngineRole>,
}

/// Phase that an engine works for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineRole {
    /// Prefill and decoding.
    Mixed,
    /// Prefill only.
    Prefill,
    /// Decoding only.
    Decode,
}

impl EngineRole {
    /// Name in an order.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }
}

impl OrdersView {
    pub(crate) fn engine(&self, instance: &str) -> Option<&OrdersEngine> {
        self.engines
            .iter()
            .find(|engine| engine.instance == instance)
    }
}

impl OrdersEngine {
    pub(crate) fn target(&self) -> Target {
        Target {
            instance: self.instance.clone(),
            address: self.address,
        }
    }
}
