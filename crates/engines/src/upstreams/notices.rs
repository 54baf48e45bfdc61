//! What upstreams say of themselves, and what follows for new work.

use std::time::{Duration, Instant};

use mangofront_routes::AllowedRegions;

use super::Upstreams;
use crate::load_update::LoadUpdate;
use crate::notices::Source;
use crate::state::State;
use crate::upstream_state::UpstreamState;
use crate::work::UpstreamKey;

impl Upstreams {
    /// Records that an upstream told this daemon that it leaves, and tells the other daemons;
    /// returns whether that was unknown.
    pub fn record_leaving(&self, upstream: UpstreamKey) -> bool {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        let is_new = state.notices.record_leaving(upstream, Source::Answer, now);
        if is_new {
            self.publish(LoadUpdate::Leaving { upstream });
        }
        is_new
    }

    /// Records that an upstream asked this daemon for `rest`.
    ///
    /// An earlier answer may have asked for more; only another incarnation ends it sooner.
    pub fn record_rest(&self, upstream: UpstreamKey, rest: Duration) {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.notices.record_rest(upstream, now + rest, now);
    }

    /// Time until an upstream takes requests of this daemon again, if it rests.
    #[must_use]
    pub fn rest(&self, upstream: UpstreamKey) -> Option<Duration> {
        self.0.state.borrow().notices.rest(upstream, self.now())
    }

    /// Time until the first of the resting upstreams of a service, except those in `tried`, takes
    /// requests of this daemon again.
    #[must_use]
    pub fn soonest_rest_end(
        &self,
        service: &str,
        allowed: &AllowedRegions,
        tried: &[UpstreamKey],
    ) -> Option<Duration> {
        let now = self.now();
        let state = self.0.state.borrow();
        let untried = state.upstreams.iter().filter(|entry| {
            entry.registration.service == service
                && state.eligibility(entry, allowed, now).is_open()
                && !tried.contains(&entry.key)
        });
        let rests = untried.filter_map(|entry| state.notices.rest(entry.key, now));
        rests.min()
    }

    /// Whether an upstream is registered as leaving, or told this daemon so.
    #[must_use]
    pub fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        let state = self.0.state.borrow();
        let entry = state.upstreams.iter().find(|entry| entry.key == upstream);
        entry.is_some_and(|entry| state.is_leaving(entry))
    }

    /// Tells the other daemons again of upstreams that began to leave.
    pub(super) fn repeat_notices(&self, state: &State, now: Instant) {
        for upstream in state.notices.newly_leaving(now) {
            self.publish(LoadUpdate::Leaving { upstream });
        }
    }
}

impl State {
    /// Whether an upstream is registered as leaving, or told this daemon so.
    pub(crate) fn is_leaving(&self, entry: &UpstreamState) -> bool {
        entry.registration.leaving || self.notices.is_leaving(entry.key)
    }
}
