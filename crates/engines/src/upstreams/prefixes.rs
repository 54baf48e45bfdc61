//! Beginnings of prompts that engines hold, where they retain prompts.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_prefixes::{
    Beginning, Candidate as Engine, Engine as RetainingEngine, PrefixTable, Prompt, TableLimits,
    beginnings,
};
use mangofront_routes::EngineProfile;
use mangofront_settings::process::ChoiceOptions;

use super::Upstreams;
use crate::choose::{Candidate, Demand};
use crate::cost::prefilled_after_ms;
use crate::layout::free_tokens;
use crate::load_update::LoadUpdate;
use crate::state::State;
use crate::work::UpstreamKey;

/// An empty table, if the engines of some service retain prompts.
pub(super) fn table(options: &ChoiceOptions) -> Option<PrefixTable> {
    let is_on = !options.prompt_retention_ms.is_empty();
    is_on.then(|| PrefixTable::new(TableLimits::default()))
}

impl Upstreams {
    /// Records that an engine has read a prompt, and tells the other daemons.
    pub(crate) fn record_prefilled(&self, upstream: UpstreamKey, beginnings: Vec<Beginning>) {
        if beginnings.is_empty() {
            return;
        }
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.record_read(upstream, &beginnings, now);
        self.publish(LoadUpdate::Prefilled {
            upstream,
            beginnings,
        });
    }

    /// Beginnings of a prompt; none if the engines of the service don't retain prompts.
    pub(super) fn beginnings(&self, service: &str, demand: &Demand) -> Vec<Beginning> {
        match self.0.options.prompt_retention_ms.contains_key(service) {
            true => beginnings(service, &demand.prompt_parts),
            false => Vec::new(),
        }
    }
}

impl State {
    /// Takes over the published engines that retain prompts; forgets what others held.
    pub(super) fn set_retaining_engines(&mut self, options: &ChoiceOptions) {
        let Some(prefixes) = &mut self.prefixes else {
            return;
        };
        prefixes.set_engines(self.upstreams.iter().filter_map(|entry| {
            let service = &entry.registration.service;
            let retention_ms = options.prompt_retention_ms.get(service)?;
            Some(RetainingEngine {
                key: entry.key,
                memory_tokens: entry.profile.as_ref()?.memory_tokens,
                retention: Duration::from_millis(*retention_ms),
            })
        }));
    }

    pub(super) fn record_read(
        &mut self,
        upstream: UpstreamKey,
        beginnings: &[Beginning],
        now: Instant,
    ) {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.record_read(upstream, beginnings, now);
        }
    }

    /// Forgets what an upstream held, as it has exited.
    pub(super) fn forget_beginnings(&mut self, upstream: UpstreamKey) {
        if let Some(prefixes) = &mut self.prefixes {
            prefixes.forget_engine(upstream);
        }
    }

    /// Sets the correction of each candidate's cost for the beginning of the prompt held there.
    pub(super) fn correct_costs(
        &self,
        candidates: &mut [Candidate<'_>],
        (demand, beginnings): (&Demand, &[Beginning]),
        profile: &Rc<EngineProfile>,
        options: &ChoiceOptions,
        now: Instant,
    ) {
        let Some(prefixes) = &self.prefixes else {
            return;
        };
        if beginnings.is_empty() {
            return;
        }
        let needed_tokens = demand.prompt_tokens + demand.answer_limit_tokens;
        let engine = |candidate: &Candidate<'_>| Engine {
            engine: candidate.upstream.key,
            wait_ms: prefilled_after_ms(candidate, 0.0),
            has_room: candidate.load.running() < candidate.upstream.slots()
                && free_tokens(candidate, options) >= needed_tokens
                && !is_cold(candidate),
        };
        let engines: Vec<Engine> = candidates.iter().map(engine).collect();
        let prompt = Prompt {
            beginnings,
            tokens: demand.prompt_tokens,
            prefill_ms: &|tokens| profile.prefill_ms(tokens),
        };
        let corrections = prefixes.corrections(prompt, &engines, now);
        for (candidate, correction_ms) in candidates.iter_mut().zip(corrections) {
            candidate.prefix_correction_ms = correction_ms;
        }
    }
}

/// Whether an engine registered as cold; a saving must not draw requests to it.
fn is_cold(candidate: &Candidate<'_>) -> bool {
    let cold_left = candidate.upstream.registration.cold_left;
    cold_left.is_some_and(|left| !left.is_zero())
}
