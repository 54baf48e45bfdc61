//! What a request finds at a service among those of others.

use std::time::Instant;

use mangofront_settings::process::ChoiceOptions;

use crate::choose::{Candidate, Demand};
use crate::decision::ServedShare;
use crate::large_prompts::SizeClass;
use crate::organisation_shares::{OrganisationShares, Supply, Use};
use crate::precedence::Contention;
use crate::state::State;
use crate::upstream_state::loads;
use crate::upstreams::Upstreams;
use crate::work::{UpstreamKey, Work};

impl Upstreams {
    /// Whether it matters whose a request is while engines are contended.
    #[must_use]
    pub fn shares_engines(&self) -> bool {
        self.0.options.shares_engines()
    }

    /// Whether the organisation of a request is above its fair share of a contended service.
    #[must_use]
    pub fn is_above_share(&self, service: &str, demand: &Demand) -> bool {
        let now = self.now();
        let state = self.0.state.borrow();
        let loads = loads(&state.upstreams, state.work.values(), now);
        let entries = state.upstreams.iter().zip(&loads);
        let of_service = entries.filter(|(entry, _)| entry.registration.service == service);
        let candidates: Vec<Candidate<'_>> = of_service
            .map(|(upstream, load)| Candidate {
                upstream,
                load: *load,
                rank: 0,
                prefix_correction_ms: 0.0,
                is_connected: false,
            })
            .collect();
        let found = contention(&state, service, demand, &self.0.options, &candidates, now);
        found.over_share.is_some()
    }
}

/// What a request finds among those of others at the candidates of its service.
///
/// The work of organisations is summed up only if it matters and while something is contended.
pub(super) fn contention(
    state: &State,
    service: &str,
    demand: &Demand,
    options: &ChoiceOptions,
    candidates: &[Candidate<'_>],
    now: Instant,
) -> Contention {
    let first = candidates.first();
    let profile = first.and_then(|first| first.upstream.profile.as_ref());
    let Some(profile) = profile.filter(|_| options.shares_engines()) else {
        return Contention::default();
    };
    let supply = supply(demand, candidates);
    if !supply.is_contended() {
        return Contention::default();
    }
    let is_candidate = |key| is_candidate(candidates, key);
    let work = state.work.values();
    let demands = &state.recent_demand;
    let shares = OrganisationShares::new(service, demands, work, is_candidate, now);
    let request = Use {
        slots: 1.0,
        prefill_ms: profile.prefill_ms(demand.prompt_tokens),
    };
    let priority = demand.caller.priority;
    Contention {
        over_share: shares.over_share(demand.caller.organisation, request, &supply, options),
        owes_slot: supply.is_short_of_slots() && shares.has_more_urgent(priority),
        is_owed_slot: supply.is_short_of_slots() && shares.has_less_urgent(priority),
    }
}

/// Served share of the prompt's size class if this prompt is not served.
///
/// A prompt is not refused for its size while less urgent work runs.
pub(super) fn served_share(
    state: &State,
    demand: &Demand,
    size: Option<SizeClass>,
    options: &ChoiceOptions,
    candidates: &[Candidate<'_>],
) -> ServedShare {
    let is_here = |work: &Work| {
        let mut shares = work.shares.iter();
        shares.any(|share| is_candidate(candidates, share.upstream))
    };
    let is_less_urgent =
        |work: &Work| work.caller.priority > demand.caller.priority && is_here(work);
    match size {
        Some(_) if options.shares_engines() && state.work.values().any(is_less_urgent) => {
            ServedShare::NotCounted
        }
        _ => state.served_share(demand, size, options),
    }
}

/// Whether an upstream is among `candidates`, which are in the order of their keys.
fn is_candidate(candidates: &[Candidate<'_>], key: UpstreamKey) -> bool {
    let found = candidates.binary_search_by_key(&key, |candidate| candidate.upstream.key);
    found.is_ok()
}

fn supply(demand: &Demand, candidates: &[Candidate<'_>]) -> Supply {
    let slots = candidates.iter().map(|one| one.upstream.slots());
    let running = candidates.iter().map(|one| one.load.running());
    // Lateness is no work that others wait for.
    let backlog_ms = candidates
        .iter()
        .map(|one| one.load.backlog_ms - one.load.lateness_ms);
    let target_ms = demand.target.as_secs_f64() * 1_000.0;
    Supply {
        slots: slots.sum(),
        running: running.sum(),
        prefill_ms: target_ms * candidates.len() as f64,
        backlog_ms: backlog_ms.sum(),
    }
}
