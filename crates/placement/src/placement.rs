//! [`Placement`], the public handle of this crate.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::choose::{Candidate, Choice, choose, evaluate_all};
use crate::eligibility::needed_tokens;
use crate::estimate::DecisionContext;
use crate::explain::{CandidateEngine, EngineStatus, Explanation, PlacementStatus};
use crate::length_class::length_class;
use crate::model::{Model, SharedEngine};
use crate::options::{PlacementOptions, Policy};
use crate::own_work::band;
use crate::placed::{PlacedRequest, RequestGuard};
use crate::priority::BASELINE_PRIORITY;
use crate::report::{CacheEvents, CacheSnapshot, CacheSync, LoadReport};
use crate::request::{
    EngineInfo, EngineOutcome, Estimate, GroupMember, NoEngine, PlacementRequest,
};
use crate::state::PlacementState;

/// Work of a generated token relative to a prompt token when demand is recorded:
/// a decoding step serves a whole batch but yields only one token of each
/// request.
const DECODE_WEIGHT: f64 = 4.0;

/// Deviations above the mean answer length at which an answer's length is
/// predicted.
const ANSWER_DEVIATIONS: f64 = 2.0;

/// Selects engines for requests; clones share one state.
#[derive(Debug, Clone)]
pub struct Placement {
    options: Rc<PlacementOptions>,
    state: Rc<RefCell<PlacementState>>,
}

impl Placement {
    /// Creates a placement without engines.
    #[must_use]
    pub fn new(options: PlacementOptions) -> Self {
        Self {
            options: Rc::new(options),
            state: Rc::default(),
        }
    }

    /// Replaces the list of engines.
    ///
    /// The state of an engine is kept while it is listed or this daemon has
    /// outstanding requests there.
    pub fn set_engines(&self, listed: Vec<EngineInfo>) {
        self.state.borrow_mut().set_engines(listed, self.now());
    }

    /// Applies an engine's load report.
    pub fn apply_load_report(&self, instance: &InstanceId, report: LoadReport) {
        let mut state = self.state.borrow_mut();
        let Some(engine) = state.engines.get(instance).cloned() else {
            return;
        };
        let mut engine = engine.borrow_mut();
        let is_first = engine.report.is_none();
        engine.apply_load_report(report, self.now());
        if let Some(model) = state
            .models
            .get_mut(&engine.info.model)
            .filter(|_| is_first)
        {
            model.request_refresh();
        }
    }

    /// Records that an engine's load report could not be fetched.
    pub fn record_report_failure(&self, instance: &InstanceId) {
        if let Some(engine) = self.engine(instance) {
            engine.borrow_mut().health.record_report_failure();
        }
    }

    /// Records how a request ended on an engine.
    pub fn record_outcome(&self, instance: &InstanceId, outcome: EngineOutcome) {
        let Some(engine) = self.engine(instance) else {
            return;
        };
        let now = self.now();
        if !engine.borrow_mut().health.record_outcome(outcome, now) {
            return;
        }
        let state = self.state.borrow();
        let model = state.models.get(&engine.borrow().info.model);
        if let Some(model) = model {
            model.eject(&engine, "failed several times in a row", now);
        }
    }

    /// Replaces the known content of an engine's prefix cache.
    pub fn apply_cache_snapshot(&self, instance: &InstanceId, snapshot: CacheSnapshot) {
        if let Some(engine) = self.engine(instance) {
            engine.borrow_mut().cache.apply_snapshot(&snapshot);
        }
    }

    /// Applies changes of an engine's prefix cache.
    pub fn apply_cache_events(&self, instance: &InstanceId, events: CacheEvents) -> CacheSync {
        match self.engine(instance) {
            Some(engine) => engine.borrow_mut().cache.apply_events(&events),
            None => CacheSync::InSync {
                next_sequence: events.next_sequence,
            },
        }
    }

    /// Predicts the times of `request` on the engine that would be selected.
    ///
    /// # Errors
    /// [`NoEngine`] when no engine can take it.
    pub fn estimate(&self, request: &PlacementRequest) -> Result<Estimate, NoEngine> {
        let choice = self.decide(request, &[])?;
        Ok(choice.evaluation.estimate)
    }

    /// Selects an engine that is not in `excluded` and records the request there.
    ///
    /// # Errors
    /// [`NoEngine`] when no engine can take it.
    pub fn place(
        &self,
        request: &PlacementRequest,
        excluded: &[InstanceId],
    ) -> Result<PlacedRequest, NoEngine> {
        let choice = self.decide(request, excluded)?;
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let Some(model) = state.models.get_mut(&request.model) else {
            return Err(NoEngine::UnknownModel);
        };
        record_demand(model, request, &choice, now);
        let mut guard = RequestGuard::new(
            self.options.clock.clone(),
            choice.evaluation,
            Rc::clone(&model.learned),
            request,
        );
        if choice.group.is_empty() {
            let tokens = choice.evaluation.uncached_tokens;
            let work = choice.evaluation.work(tokens, needed_tokens(request), now);
            let id = choice.engine.borrow_mut().own.add(work);
            guard.work_entries.push((Rc::clone(&choice.engine), id));
        }
        for (engine, tokens) in &choice.group {
            let work = choice.evaluation.work(*tokens, *tokens, now);
            let id = engine.borrow_mut().own.add(work);
            guard.work_entries.push((Rc::clone(engine), id));
        }
        let info = &choice.engine.borrow().info;
        Ok(PlacedRequest {
            instance: info.instance.clone(),
            address: info.address,
            priority: sent_priority(self.options.policy, choice.evaluation.priority),
            estimate: choice.evaluation.estimate,
            group: group_members(&choice),
            guard,
        })
    }

    /// Encodes this daemon's placements for its peers.
    #[must_use]
    pub fn own_view(&self) -> Bytes {
        let view = self.state.borrow_mut().own_view(self.now());
        view.encode()
    }

    /// Applies a peer's encoded placements.
    pub fn apply_peer_view(&self, daemon: &InstanceId, incarnation: Incarnation, view: Bytes) {
        if *daemon == self.options.daemon {
            return;
        }
        let mut state = self.state.borrow_mut();
        state.apply_peer_view(daemon, incarnation, &view, self.now());
    }

    /// Explains how `request` would be placed, without placing it.
    #[must_use]
    pub fn explain(&self, request: &PlacementRequest) -> Explanation {
        let decision = self.evaluate(request, &[], |model, candidates, choice| {
            let considered = candidates.iter().map(|candidate| {
                CandidateEngine::of(&model.order[candidate.index], candidate, choice)
            });
            considered.collect()
        });
        let (choice, considered) = match decision {
            Ok((choice, considered)) => (choice, considered),
            Err(refused) => (Err(refused), Vec::new()),
        };
        let chosen = choice.as_ref().ok();
        Explanation {
            model: request.model.clone(),
            chosen: chosen.map(|choice| choice.engine.borrow().info.instance.clone()),
            group: chosen.and_then(group_members),
            refused: choice.as_ref().err().copied(),
            considered,
        }
    }

    /// State of all engines, for a status page.
    #[must_use]
    pub fn status(&self) -> PlacementStatus {
        let state = self.state.borrow();
        let now = self.now();
        let engines = state.engines.values();
        PlacementStatus {
            peers: state.peers.len(),
            engines: engines
                .map(|engine| EngineStatus::of(&engine.borrow(), &state, now))
                .collect(),
        }
    }

    fn now(&self) -> Instant {
        self.options.clock.now()
    }

    fn engine(&self, instance: &InstanceId) -> Option<SharedEngine> {
        self.state.borrow().engines.get(instance).cloned()
    }

    fn decide(
        &self,
        request: &PlacementRequest,
        excluded: &[InstanceId],
    ) -> Result<Choice, NoEngine> {
        let (choice, ()) = self.evaluate(request, excluded, |_, _, _| ())?;
        choice
    }

    /// Selects an engine for `request` and calls `inspect` with the model, the
    /// candidates and the result.
    fn evaluate<T>(
        &self,
        request: &PlacementRequest,
        excluded: &[InstanceId],
        inspect: impl FnOnce(&Model, &[Candidate], &Result<Choice, NoEngine>) -> T,
    ) -> Result<(Result<Choice, NoEngine>, T), NoEngine> {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        state.expire_peers(now);
        let model = state.models.get_mut(&request.model);
        let model = model.ok_or(NoEngine::UnknownModel)?;
        model.refresh(now);
        let context = DecisionContext {
            request,
            now,
            availability_zone: &self.options.availability_zone,
            zone_penalty: self.options.zone_penalty,
            intervals: model.demand.intervals(now),
            ahead_share: model.ahead_share(now),
            medians: model.medians,
            expected_answer_tokens: expected_answer_tokens(model, request),
            interference_s: model.learned.borrow().interference_s.mean(),
        };
        let candidates = evaluate_all(model, &context, excluded);
        let choice = choose(model, &context, &candidates, &self.options);
        let inspected = inspect(model, &candidates, &choice);
        Ok((choice, inspected))
    }
}

/// Predicted length of the answer, in tokens.
fn expected_answer_tokens(model: &Model, request: &PlacementRequest) -> f64 {
    let learned = model.learned.borrow();
    let share = learned.answer_share.upper(ANSWER_DEVIATIONS).unwrap_or(1.0);
    (f64::from(request.max_tokens) * share.min(1.0)).max(1.0)
}

fn record_demand(model: &mut Model, request: &PlacementRequest, choice: &Choice, now: Instant) {
    let uncached_tokens = choice.evaluation.uncached_tokens;
    let prefill_tokens = if choice.group.is_empty() {
        uncached_tokens
    } else {
        request.length_tokens
    };
    let decode_tokens = DECODE_WEIGHT * expected_answer_tokens(model, request);
    let class = length_class(prefill_tokens);
    model
        .demand
        .add(class, prefill_tokens as f64 + decode_tokens, now);
    model.record_priority(band(choice.evaluation.priority), prefill_tokens as f64, now);
    model.round_robin_index = model.round_robin_index.wrapping_add(1);
}

fn group_members(choice: &Choice) -> Option<Vec<GroupMember>> {
    if choice.group.is_empty() {
        return None;
    }
    let members = choice.group.iter().map(|(engine, tokens)| {
        let info = &engine.borrow().info;
        GroupMember {
            instance: info.instance.clone(),
            address: info.address,
            tokens: *tokens,
        }
    });
    Some(members.collect())
}

/// Priority sent to the engine; the baseline policies send a constant one.
fn sent_priority(policy: Policy, priority: u8) -> u8 {
    match policy {
        Policy::LengthAware => priority,
        Policy::LeastOutstanding | Policy::RoundRobin => BASELINE_PRIORITY,
    }
}
