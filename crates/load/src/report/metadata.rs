//! Metadata of a run.

use crate::requests::RequestFactory;
use crate::scenario::Scenario;
use crate::schedule::Plan;
use crate::text::TextSalt;

/// Parameters of a run that its record does not contain.
#[derive(Debug, Clone)]
pub struct RunMetadata {
    pub(super) scenario: String,
    pub(super) plan: Plan,
    pub(super) targets: usize,
    pub(super) time_scale: f64,
    pub(super) text_salt: TextSalt,
}

impl RunMetadata {
    /// Creates the metadata of a run of `scenario` with `requests`; the times in
    /// `plan` are in wall-clock time.
    #[must_use]
    pub fn new(scenario: &Scenario, plan: Plan, requests: &RequestFactory) -> Self {
        Self {
            scenario: scenario.name.clone(),
            plan,
            targets: requests.targets(),
            time_scale: requests.time_scale(),
            text_salt: requests.text_salt(),
        }
    }
}
