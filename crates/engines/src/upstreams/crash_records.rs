//! Crash histories of requests, as this daemon sees them.

use std::time::Instant;

use super::Upstreams;
use crate::crashes::{CrashStatus, QUARANTINE_CRASHES, QuarantineState};
use crate::large_prompts::RequestFingerprint;
use crate::load_update::crashes_update;
use crate::state::State;
use crate::work::UpstreamKey;

impl Upstreams {
    /// Records that an upstream crashed while it ran a request of this daemon; returns the number
    /// of crashes under that request.
    pub fn record_crash(&self, request: RequestFingerprint, upstream: UpstreamKey) -> usize {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.crashes.record_crash(request, upstream, now);
        self.publish_crashes(&state, request, now);
        match state.crashes.quarantine_state(request, now) {
            QuarantineState::Open { crashes } => crashes,
            QuarantineState::Quarantined { .. } | QuarantineState::TrialAllowed => {
                QUARANTINE_CRASHES
            }
        }
    }

    /// Clears a request of its crashes so far, as an upstream answered it completely or the
    /// operator says so; returns whether there were any.
    pub fn clear_crashes(&self, request: RequestFingerprint) -> bool {
        let mut state = self.0.state.borrow_mut();
        let had_any = state.crashes.clear(request);
        if had_any {
            self.publish_crashes(&state, request, self.now());
        }
        had_any
    }

    /// Whether a request may be sent to an upstream.
    #[must_use]
    pub fn quarantine_state(&self, request: RequestFingerprint) -> QuarantineState {
        self.0
            .state
            .borrow()
            .crashes
            .quarantine_state(request, self.now())
    }

    /// Whether a request is quarantined, or would be after one more crash.
    #[must_use]
    pub fn is_near_quarantine(&self, request: RequestFingerprint) -> bool {
        match self.quarantine_state(request) {
            QuarantineState::Open { crashes } => crashes + 1 >= QUARANTINE_CRASHES,
            QuarantineState::Quarantined { .. } | QuarantineState::TrialAllowed => true,
        }
    }

    /// Prevents other trials of a request while this daemon runs one.
    pub fn begin_trial(&self, request: RequestFingerprint) {
        let now = self.now();
        self.0.state.borrow_mut().crashes.begin_trial(request, now);
    }

    /// Quarantined requests, for a status page.
    #[must_use]
    pub fn quarantined(&self) -> Vec<CrashStatus> {
        self.0.state.borrow().crashes.status(self.now())
    }

    pub(super) fn publish_crashes(&self, state: &State, request: RequestFingerprint, now: Instant) {
        if let Some(record) = state.crashes.record(request, now) {
            self.publish(crashes_update(request, record));
        }
    }
}
