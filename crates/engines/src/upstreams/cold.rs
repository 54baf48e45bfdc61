//! Preference for warm upstreams, and spreading over cold ones.
//!
//! The load that this answers: a zone returns and all of its upstreams are cold at once. They are
//! idle, hence cheapest, and every daemon would choose the first ones of the shared order.

use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Among, Upstreams};
use crate::choose::{Choice, Demand, NoUpstream};
use crate::large_prompts::SizeClass;
use crate::state::State;
use crate::upstream_state::{Load, UpstreamState};
use crate::work::UpstreamKey;

/// Cold upstreams that a short prompt is offered: the less loaded of two evens load out far better
/// than one that is drawn blindly.
const DRAWN_UPSTREAMS: usize = 2;

/// Which cold upstreams may be chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ColdChoice {
    /// None.
    Excluded,
    /// A few that are drawn for each request.
    Drawn,
    /// All.
    Included,
}

impl Upstreams {
    /// Records that an upstream stays cold for `left`, which may be zero.
    pub fn set_cold(&self, upstream: UpstreamKey, left: Duration) {
        let now = self.now();
        let cold_until = &mut self.0.state.borrow_mut().cold_until;
        if left.is_zero() {
            cold_until.remove(&upstream);
        } else {
            cold_until.retain(|_, until| now < *until);
            cold_until.insert(upstream, now + left);
        }
    }

    /// Chooses among warm upstreams, and among cold ones too if no warm one takes the request or
    /// its first event would be late.
    pub(super) fn choose_warm_first(
        &self,
        state: &State,
        service: &str,
        demand: &Demand,
        size: Option<SizeClass>,
        among: Among<'_>,
        now: Instant,
    ) -> Result<Choice, NoUpstream> {
        let choose = |cold| {
            let among = Among { cold, ..among };
            self.choose(state, service, demand, size, among, now)
        };
        if !state.has_cold(service, now) {
            return choose(ColdChoice::Included);
        }
        let is_in_time = |choice: &Choice| {
            let first_event = Duration::from_secs_f64(choice.first_event_ms / 1_000.0);
            demand.elapsed + first_event <= demand.target
        };
        let warm = choose(ColdChoice::Excluded);
        if warm.as_ref().is_ok_and(is_in_time) {
            return warm;
        }
        if !self.may_be_split(state, service, demand) {
            let with_drawn = choose(ColdChoice::Drawn);
            if with_drawn.is_ok() {
                return with_drawn;
            }
        }
        choose(ColdChoice::Included)
    }

    /// Whether several engines may prefill a prompt.
    fn may_be_split(&self, state: &State, service: &str, demand: &Demand) -> bool {
        let mut of_service = state.upstreams.iter();
        let entry = of_service.find(|entry| entry.registration.service == service);
        let profile = entry.and_then(|entry| entry.profile.as_ref());
        profile.is_some_and(|profile| {
            profile.prefill_ms(demand.prompt_tokens) > self.0.options.unsplit_read_ms
        })
    }

    /// Leaves those of `open` that the request may go to, as far as that depends on cold ones.
    pub(super) fn retain_by_warmth(
        &self,
        state: &State,
        open: &mut Vec<(&UpstreamState, &Load)>,
        choice: ColdChoice,
        now: Instant,
    ) {
        let drawn = match choice {
            ColdChoice::Included => return,
            ColdChoice::Excluded => Vec::new(),
            ColdChoice::Drawn => {
                let keys = open.iter().map(|(entry, _)| entry.key);
                let cold = keys.filter(|key| state.is_cold(*key, now));
                // Differs between requests and between daemons.
                let seed = state.next_work ^ self.0.salt;
                let mut cold: Vec<UpstreamKey> = cold.collect();
                cold.sort_by_key(|key| xxh3_64_with_seed(&key.to_le_bytes(), seed));
                cold.truncate(DRAWN_UPSTREAMS);
                cold
            }
        };
        open.retain(|(entry, _)| !state.is_cold(entry.key, now) || drawn.contains(&entry.key));
    }
}

impl State {
    fn is_cold(&self, upstream: UpstreamKey, now: Instant) -> bool {
        let until = self.cold_until.get(&upstream);
        until.is_some_and(|until| now < *until)
    }

    fn has_cold(&self, service: &str, now: Instant) -> bool {
        let mut of_service = self.upstreams.iter();
        !self.cold_until.is_empty()
            && of_service
                .any(|entry| entry.registration.service == service && self.is_cold(entry.key, now))
    }
}
