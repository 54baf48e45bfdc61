//! Settings of a path table.

use std::time::Duration;

/// Settings of a [`crate::PathTable`].
#[derive(Debug, Clone)]
pub struct PathOptions {
    pub(crate) silence: Duration,
    pub(crate) silence_pause: Duration,
    pub(crate) first_probe_pause: Duration,
    pub(crate) longest_probe_pause: Duration,
    pub(crate) flap_window: Duration,
    pub(crate) max_proofs: u32,
    pub(crate) survey_limit: usize,
    pub(crate) probes_at_once: usize,
}

impl Default for PathOptions {
    fn default() -> Self {
        Self {
            silence: Duration::from_millis(500),
            silence_pause: Duration::from_secs(2),
            first_probe_pause: Duration::from_millis(500),
            longest_probe_pause: Duration::from_secs(2),
            flap_window: Duration::from_secs(10),
            max_proofs: 4,
            survey_limit: 32,
            probes_at_once: 16,
        }
    }
}

impl PathOptions {
    /// Time without a byte from any upstream after which paths with pending attempts are
    /// probed; 500 ms by default.
    #[must_use]
    pub fn silence(mut self, time: Duration) -> Self {
        self.silence = time;
        self
    }

    /// Time between two probes of a lost path at first; 500 ms by default.
    #[must_use]
    pub fn first_probe_pause(mut self, time: Duration) -> Self {
        self.first_probe_pause = time;
        self
    }

    /// Longest time between two probes of a lost path; 2 s by default.
    #[must_use]
    pub fn longest_probe_pause(mut self, time: Duration) -> Self {
        self.longest_probe_pause = time;
        self
    }

    /// Maximum number of other paths that are probed after one was lost; 32 by default.
    #[must_use]
    pub fn survey_limit(mut self, paths: usize) -> Self {
        self.survey_limit = paths;
        self
    }

    /// Maximum number of probes that [`crate::PathTable::due_probes`] returns at once; 16 by
    /// default.
    #[must_use]
    pub fn probes_at_once(mut self, probes: usize) -> Self {
        self.probes_at_once = probes;
        self
    }
}
