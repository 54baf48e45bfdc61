//! What crashes upstreams, as this daemon knows it.

use std::time::{Duration, Instant};

use mangofront_quarantine::{
    BLAMED_CRASHES, LostRequest, OrganisationKey, QuarantineState, Suspect, SuspectStatus,
};

use super::Upstreams;
use crate::load_update::LoadUpdate;
use crate::state::State;
use crate::work::UpstreamKey;

impl Upstreams {
    /// Records that an upstream crashed while it ran a request of this daemon.
    pub fn record_crash(&self, lost: LostRequest<'_>, upstream: UpstreamKey) {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.crashes.record_crash(lost, upstream, now);
        for suspect in lost.suspects {
            self.publish_crashes(&state, *suspect, now);
        }
    }

    /// Clears a suspect of its crashes so far, as an upstream answered it or the operator says so;
    /// returns whether there were any.
    pub fn clear_crashes(&self, suspect: Suspect) -> bool {
        let mut state = self.0.state.borrow_mut();
        let had_any = state.crashes.clear(suspect);
        if had_any {
            self.publish_crashes(&state, suspect, self.now());
        }
        had_any
    }

    /// Whether requests of an organisation with a suspect may be sent to an upstream.
    #[must_use]
    pub fn quarantine_state(
        &self,
        suspect: Suspect,
        organisation: OrganisationKey,
    ) -> QuarantineState {
        let now = self.now();
        let state = self.0.state.borrow();
        state.crashes.quarantine_state(suspect, organisation, now)
    }

    /// Whether a suspect is quarantined, or would be after one more crash.
    #[must_use]
    pub fn is_near_quarantine(&self, suspect: Suspect, organisation: OrganisationKey) -> bool {
        match self.quarantine_state(suspect, organisation) {
            QuarantineState::Open { crashes } => crashes + 1 >= BLAMED_CRASHES,
            QuarantineState::Quarantined { .. } | QuarantineState::TrialAllowed => true,
        }
    }

    /// Whether a suspect is quarantined and no trial has shown yet that it is at fault.
    #[must_use]
    pub fn awaits_first_trial(&self, suspect: Suspect) -> bool {
        self.0.state.borrow().crashes.awaits_first_trial(suspect)
    }

    /// Begins the trial of suspects, if one is allowed for all of them.
    ///
    /// # Errors
    /// The time until a trial may begin.
    pub fn begin_trial(&self, suspects: &[Suspect]) -> Result<(), Duration> {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.crashes.begin_trial(suspects, now)
    }

    /// Ends the trial of suspects, whatever it showed.
    pub fn end_trial(&self, suspects: &[Suspect]) {
        self.0.state.borrow_mut().crashes.end_trial(suspects);
    }

    /// Lets no trial of suspects begin for some time, as another daemon has one.
    pub fn block_trials(&self, suspects: &[Suspect], time: Duration) {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.crashes.block_trials(suspects, time, now);
    }

    /// Quarantined suspects, for a status page.
    #[must_use]
    pub fn quarantined(&self) -> Vec<SuspectStatus> {
        self.0.state.borrow().crashes.quarantined(self.now())
    }

    /// Number of prompt parts with crashes of which they were not cleared.
    #[must_use]
    pub fn suspected_parts(&self) -> usize {
        self.0.state.borrow().crashes.suspected_parts()
    }

    pub(super) fn publish_crashes(&self, state: &State, suspect: Suspect, now: Instant) {
        if let Some(record) = state.crashes.record(suspect, now) {
            self.publish(LoadUpdate::Crashes { suspect, record });
        }
    }
}
