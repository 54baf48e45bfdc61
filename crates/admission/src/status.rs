//! The admission's state, for a status page.

use std::collections::BTreeMap;

use mangofront_settings::ids::ModelName;
use serde::Serialize;

use crate::lane::LengthLane;
use crate::request::RefusalReason;

/// The admission's state.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct AdmissionStatus {
    /// Whether everything is refused because the daemon stops.
    pub closed: bool,
    /// Permits held.
    pub outstanding: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests admitted since the start.
    pub admitted: u64,
    /// Requests refused since the start, by reason.
    pub refused: BTreeMap<RefusalReason, u64>,
    /// Retries that could be made now.
    pub retries_available: u32,
    /// Each model and range of lengths that was asked for.
    pub lanes: Vec<LaneStatus>,
}

/// State of one model and range of lengths.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct LaneStatus {
    /// Model asked for.
    pub model: ModelName,
    /// Range of lengths.
    pub length: LengthLane,
    /// Requests that may be outstanding at once, as found of late.
    pub limit: usize,
    /// Permits held.
    pub outstanding: usize,
    /// Requests that wait.
    pub waiting: usize,
    /// Requests that ended, per second.
    pub drained_per_s: f64,
    /// Factor by which predictions are stretched.
    pub stretch: f64,
}
