//! Requests under which upstreams crashed, in this daemon's view.

use std::time::Instant;

use super::Upstreams;
use crate::crashes::{CRASHES_LIMIT, CrashStatus, QuarantineState};
use crate::news::crashes_news;
use crate::shares::RequestFingerprint;
use crate::state::State;
use crate::work::UpstreamKey;

impl Upstreams {
    /// Notes that an upstream crashed while it ran a request of this daemon; how many did
    /// under that request.
    pub fn record_crash(&self, request: RequestFingerprint, upstream: UpstreamKey) -> usize {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.crashes.note(request, upstream, now);
        self.tell_crashes(&state, request, now);
        match state.crashes.quarantine_state(request, now) {
            QuarantineState::Open { crashes } => crashes,
            QuarantineState::Quarantined { .. } | QuarantineState::TrialAllowed => CRASHES_LIMIT,
        }
    }

    /// Notes that a request is not at fault for crashes so far, as an upstream answered
    /// it whole or the operator says so; whether there were any.
    pub fn clear_crashes(&self, request: RequestFingerprint) -> bool {
        let mut state = self.0.state.borrow_mut();
        let had_any = state.crashes.clear(request);
        if had_any {
            self.tell_crashes(&state, request, self.now());
        }
        had_any
    }

    /// Whether a request may be sent to an upstream, after crashes under it.
    #[must_use]
    pub fn quarantine_state(&self, request: RequestFingerprint) -> QuarantineState {
        self.0
            .state
            .borrow()
            .crashes
            .quarantine_state(request, self.now())
    }

    /// Whether one more crash would keep a request from all upstreams, or it is already.
    #[must_use]
    pub fn is_near_quarantine(&self, request: RequestFingerprint) -> bool {
        match self.quarantine_state(request) {
            QuarantineState::Open { crashes } => crashes + 1 >= CRASHES_LIMIT,
            QuarantineState::Quarantined { .. } | QuarantineState::TrialAllowed => true,
        }
    }

    /// Keeps others from trying a request while this daemon does.
    pub fn begin_trial(&self, request: RequestFingerprint) {
        let now = self.now();
        self.0.state.borrow_mut().crashes.begin_trial(request, now);
    }

    /// Requests that are kept from upstreams, for a status page.
    #[must_use]
    pub fn quarantined(&self) -> Vec<CrashStatus> {
        self.0.state.borrow().crashes.status(self.now())
    }

    pub(super) fn tell_crashes(&self, state: &State, request: RequestFingerprint, now: Instant) {
        if let Some(record) = state.crashes.record(request, now) {
            self.tell(crashes_news(request, record));
        }
    }
}
