//! How a run was made.

use crate::scenario::Scenario;
use crate::schedule::Plan;
use crate::text::TextSalt;

/// What the record does not say about its run.
#[derive(Debug, Clone)]
pub struct RunFacts {
    pub(super) scenario: String,
    pub(super) plan: Plan,
    pub(super) targets: usize,
    pub(super) time_scale: f64,
    pub(super) text_salt: TextSalt,
}

impl RunFacts {
    /// Facts of a run of `scenario` under `plan`, which is in the wall clock's
    /// time.
    #[must_use]
    pub fn new(scenario: &Scenario, plan: Plan) -> Self {
        Self {
            scenario: scenario.name.clone(),
            plan,
            targets: 1,
            time_scale: 1.0,
            text_salt: 0,
        }
    }

    /// Number of target addresses; 1 by default.
    #[must_use]
    pub const fn targets(mut self, targets: usize) -> Self {
        self.targets = targets;
        self
    }

    /// Factor on the durations of the scenario; 1 by default.
    #[must_use]
    pub const fn time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Salt of the texts; 0 by default.
    #[must_use]
    pub const fn text_salt(mut self, text_salt: TextSalt) -> Self {
        self.text_salt = text_salt;
        self
    }
}
