//! What an operator is told of the placement's view and of one decision.

use mangofront_settings::ids::{AvailabilityZone, InstanceId, ModelName};
use serde::Serialize;

use crate::demand::Estimate;

/// One decision, laid open.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Explanation {
    /// Model asked for.
    pub model: ModelName,
    /// Engine that would be taken.
    pub chosen: Option<InstanceId>,
    /// Every engine of the model, in the stable order.
    pub considered: Vec<Considered>,
}

/// One engine that was considered.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Considered {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Prediction for the request there.
    pub estimate: Estimate,
    /// Why it was taken or not.
    pub verdict: Verdict,
}

/// Why an engine was taken or not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// It was taken.
    Chosen,
    /// Another one costs less.
    CostsMore,
    /// It takes no new work.
    Leaving,
}

/// The placement's view, for a status page.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PlacementStatus {
    /// Every engine known.
    pub engines: Vec<EngineStatus>,
}

/// The view of one engine.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct EngineStatus {
    /// Engine's instance.
    pub instance: InstanceId,
    /// Model that it serves.
    pub model: ModelName,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Own requests outstanding there.
    pub outstanding: u32,
}
