//! How a run was made.

use crate::requests::RequestFactory;
use crate::scenario::Scenario;
use crate::schedule::Plan;
use crate::text::TextSalt;

/// What the record does not say about its run.
#[derive(Debug, Clone)]
pub struct RunMetadata {
    pub(super) scenario: String,
    pub(super) plan: Plan,
    pub(super) targets: usize,
    pub(super) time_scale: f64,
    pub(super) text_salt: TextSalt,
}

impl RunMetadata {
    /// Facts of a run of `scenario` under `plan`, which is in the wall clock's
    /// time, with `requests`.
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
