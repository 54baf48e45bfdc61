//! The admission's state, for a status page.

use std::collections::BTreeMap;

use serde::Serialize;

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
}
