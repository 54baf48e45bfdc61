//! Status of an admission control, for a status page.

use std::collections::BTreeMap;

use mangofront_settings::ids::ModelName;
use serde::Serialize;

use crate::lane::LengthLane;
use crate::request::RefusalReason;

/// State of an admission control.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AdmissionStatus {
    /// Whether all requests are refused because the daemon is shutting down.
    pub closed: bool,
    /// Permits held and slots granted to waiting requests.
    pub outstanding: usize,
    /// Waiting requests.
    pub waiting: usize,
    /// Requests admitted since the start.
    pub admitted: u64,
    /// Requests refused since the start, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Retries that can be made now.
    pub retries_available: u32,
    /// Lanes that have received requests.
    pub lanes: Vec<LaneStatus>,
}

/// State of one lane: a model and a range of prompt lengths.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LaneStatus {
    /// Requested model.
    pub model: ModelName,
    /// Range of prompt lengths.
    pub length: LengthLane,
    /// Current concurrency limit.
    pub limit: usize,
    /// Permits held and slots granted to waiting requests.
    pub outstanding: usize,
    /// Waiting requests.
    pub waiting: usize,
    /// Recent rate of ended requests per second.
    pub drained_per_s: f64,
    /// Factor that corrects predictions for their recent errors.
    pub stretch: f64,
}
