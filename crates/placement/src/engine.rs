//! What this daemon knows of one engine.

use crate::demand::EngineInfo;
use crate::report::{EngineState, LoadReport};

/// State kept for one engine.
///
/// Invariant: `outstanding` is the number of live [`Placed`](crate::Placed)
/// guards that name the engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) info: EngineInfo,
    pub(crate) report: Option<LoadReport>,
    pub(crate) outstanding: u32,
}

impl Engine {
    pub(crate) fn new(info: EngineInfo) -> Self {
        Self {
            info,
            report: None,
            outstanding: 0,
        }
    }

    pub(crate) fn is_leaving(&self) -> bool {
        let reported = self.report.as_ref().map(|report| report.state);
        self.info.leaving || reported == Some(EngineState::Leaving)
    }
}
