//! The handle that the other crates hold.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::bars::needed_tokens;
use crate::border::length_class;
use crate::choose::{Choice, Weighed, choose, weigh_all};
use crate::demand::{EngineInfo, EngineOutcome, Estimate, GroupMember, NoEngine, PlacementRequest};
use crate::estimate::Asked;
use crate::explain::{CandidateEngine, EngineStatus, Explanation, PlacementStatus};
use crate::model::{Model, SharedEngine};
use crate::options::{PlacementOptions, Policy};
use crate::placed::{Guard, PlacedRequest};
use crate::priority::BASELINE_PRIORITY;
use crate::report::{CacheEvents, CacheSnapshot, CacheSync, LoadReport};
use crate::view::Views;
use crate::work::band;

/// Work of a generated token, as a multiple of a prompt token's, in the count
/// of demand: a decoding step serves a whole batch, yet does little for each.
const DECODE_WEIGHT: f64 = 4.0;

/// Deviations above the mean at which an answer's length is expected.
const ANSWER_DEVIATIONS: f64 = 2.0;

/// Chooses engines; clones share one view.
#[derive(Debug, Clone)]
pub struct Placement {
    options: Rc<PlacementOptions>,
    views: Rc<RefCell<Views>>,
}

impl Placement {
    /// A placement that knows no engine yet.
    #[must_use]
    pub fn new(options: PlacementOptions) -> Self {
        Self {
            options: Rc::new(options),
            views: Rc::default(),
        }
    }

    /// Takes over the list of engines.
    ///
    /// What is known of an engine stays as long as it is listed or own requests
    /// run there.
    pub fn set_engines(&self, listed: Vec<EngineInfo>) {
        self.views.borrow_mut().set_engines(listed, self.now());
    }

    /// Takes in an engine's load report.
    pub fn apply_load_report(&self, instance: &InstanceId, report: LoadReport) {
        let mut views = self.views.borrow_mut();
        let Some(engine) = views.engines.get(instance).cloned() else {
            return;
        };
        let mut engine = engine.borrow_mut();
        let is_first = engine.report.is_none();
        engine.take_report(report, self.now());
        if let Some(model) = views
            .models
            .get_mut(&engine.info.model)
            .filter(|_| is_first)
        {
            model.review_soon();
        }
    }

    /// Notes that an engine's load report could not be fetched.
    pub fn record_report_failure(&self, instance: &InstanceId) {
        if let Some(engine) = self.engine(instance) {
            engine.borrow_mut().health.record_report_failure();
        }
    }

    /// Notes how a request ended on an engine.
    pub fn record_outcome(&self, instance: &InstanceId, outcome: EngineOutcome) {
        let Some(engine) = self.engine(instance) else {
            return;
        };
        let now = self.now();
        if !engine.borrow_mut().health.record_outcome(outcome, now) {
            return;
        }
        let views = self.views.borrow();
        let model = views.models.get(&engine.borrow().info.model);
        if let Some(model) = model {
            model.eject(&engine, "failed several times in a row", now);
        }
    }

    /// Takes in the whole content of an engine's prefix cache.
    pub fn apply_cache_snapshot(&self, instance: &InstanceId, snapshot: CacheSnapshot) {
        if let Some(engine) = self.engine(instance) {
            engine.borrow_mut().cache.snapshot(&snapshot);
        }
    }

    /// Takes in changes of an engine's prefix cache.
    pub fn apply_cache_events(&self, instance: &InstanceId, events: CacheEvents) -> CacheSync {
        match self.engine(instance) {
            Some(engine) => engine.borrow_mut().cache.events(&events),
            None => CacheSync::InSync {
                next_sequence: events.next_sequence,
            },
        }
    }

    /// Predicts the best engine's answer to `demand`.
    ///
    /// # Errors
    /// [`NoEngine`] when no engine can take it.
    pub fn estimate(&self, demand: &PlacementRequest) -> Result<Estimate, NoEngine> {
        let choice = self.decide(demand, &[])?;
        Ok(choice.terms.estimate)
    }

    /// Chooses an engine, passing over those in `excluded`.
    ///
    /// # Errors
    /// [`NoEngine`] when no engine can take it.
    pub fn place(
        &self,
        demand: &PlacementRequest,
        excluded: &[InstanceId],
    ) -> Result<PlacedRequest, NoEngine> {
        let choice = self.decide(demand, excluded)?;
        let now = self.now();
        let mut views = self.views.borrow_mut();
        let Some(model) = views.models.get_mut(&demand.model) else {
            return Err(NoEngine::UnknownModel);
        };
        count_demand(model, demand, &choice, now);
        let mut guard = Guard::new(
            self.options.clock.clone(),
            choice.terms,
            Rc::clone(&model.learned),
            demand,
        );
        if choice.group.is_empty() {
            let tokens = choice.terms.uncached_tokens;
            let work = choice.terms.work(tokens, needed_tokens(demand), now);
            let id = choice.engine.borrow_mut().own.add(work);
            guard.works.push((Rc::clone(&choice.engine), id));
        }
        for (engine, tokens) in &choice.group {
            let work = choice.terms.work(*tokens, *tokens, now);
            let id = engine.borrow_mut().own.add(work);
            guard.works.push((Rc::clone(engine), id));
        }
        let info = &choice.engine.borrow().info;
        Ok(PlacedRequest {
            instance: info.instance.clone(),
            address: info.address,
            priority: sent_priority(self.options.policy, choice.terms.priority),
            estimate: choice.terms.estimate,
            group: members(&choice),
            guard,
        })
    }

    /// This daemon's view of its own placements, for its peers.
    #[must_use]
    pub fn own_view(&self) -> Bytes {
        let view = self.views.borrow_mut().own_view(self.now());
        view.encode()
    }

    /// Takes in a peer's view of its own placements.
    pub fn apply_peer_view(&self, daemon: &InstanceId, incarnation: Incarnation, view: Bytes) {
        if *daemon == self.options.daemon {
            return;
        }
        let mut views = self.views.borrow_mut();
        views.apply_peer_view(daemon, incarnation, &view, self.now());
    }

    /// Lays open how `demand` would be placed, without placing it.
    #[must_use]
    pub fn explain(&self, demand: &PlacementRequest) -> Explanation {
        let decided = self.weigh(demand, &[], |model, weighed, choice| {
            let considered = weighed
                .iter()
                .map(|weighed| CandidateEngine::of(&model.order[weighed.index], weighed, choice));
            considered.collect()
        });
        let (choice, considered) = match decided {
            Ok((choice, considered)) => (choice, considered),
            Err(refused) => (Err(refused), Vec::new()),
        };
        let chosen = choice.as_ref().ok();
        Explanation {
            model: demand.model.clone(),
            chosen: chosen.map(|choice| choice.engine.borrow().info.instance.clone()),
            group: chosen.and_then(members),
            refused: choice.as_ref().err().copied(),
            considered,
        }
    }

    /// The view, for a status page.
    #[must_use]
    pub fn status(&self) -> PlacementStatus {
        let views = self.views.borrow();
        let now = self.now();
        let engines = views.engines.values();
        PlacementStatus {
            peers: views.peers.len(),
            engines: engines
                .map(|engine| EngineStatus::of(&engine.borrow(), &views, now))
                .collect(),
        }
    }

    fn now(&self) -> Instant {
        self.options.clock.now()
    }

    fn engine(&self, instance: &InstanceId) -> Option<SharedEngine> {
        self.views.borrow().engines.get(instance).cloned()
    }

    fn decide(
        &self,
        demand: &PlacementRequest,
        excluded: &[InstanceId],
    ) -> Result<Choice, NoEngine> {
        let (choice, ()) = self.weigh(demand, excluded, |_, _, _| ())?;
        choice
    }

    /// Decides on `demand` and has `look` see what the decision was made from.
    fn weigh<T>(
        &self,
        demand: &PlacementRequest,
        excluded: &[InstanceId],
        look: impl FnOnce(&Model, &[Weighed], &Result<Choice, NoEngine>) -> T,
    ) -> Result<(Result<Choice, NoEngine>, T), NoEngine> {
        let now = self.now();
        let mut views = self.views.borrow_mut();
        views.expire_peers(now);
        let model = views.models.get_mut(&demand.model);
        let model = model.ok_or(NoEngine::UnknownModel)?;
        model.review(now);
        let asked = Asked {
            demand,
            now,
            availability_zone: &self.options.availability_zone,
            zone_penalty: self.options.zone_penalty,
            intervals: model.demand.intervals(now),
            ahead_share: model.ahead_share(now),
            typical: model.typical,
            answer_tokens: answer_tokens(model, demand),
            interference_s: model.learned.borrow().interference_s.mean(),
        };
        let weighed = weigh_all(model, &asked, excluded);
        let choice = choose(model, &asked, &weighed, &self.options);
        let seen = look(model, &weighed, &choice);
        Ok((choice, seen))
    }
}

/// Expected length of the answer, in tokens.
fn answer_tokens(model: &Model, demand: &PlacementRequest) -> f64 {
    let learned = model.learned.borrow();
    let share = learned.answer_share.upper(ANSWER_DEVIATIONS).unwrap_or(1.0);
    (f64::from(demand.max_tokens) * share.min(1.0)).max(1.0)
}

fn count_demand(model: &mut Model, demand: &PlacementRequest, choice: &Choice, now: Instant) {
    let uncached_tokens = choice.terms.uncached_tokens;
    let prefill_tokens = if choice.group.is_empty() {
        uncached_tokens
    } else {
        demand.length_tokens
    };
    let decode_tokens = DECODE_WEIGHT * answer_tokens(model, demand);
    let class = length_class(prefill_tokens);
    model
        .demand
        .add(class, prefill_tokens as f64 + decode_tokens, now);
    model.add_to_mix(band(choice.terms.priority), prefill_tokens as f64, now);
    model.next_round = model.next_round.wrapping_add(1);
}

fn members(choice: &Choice) -> Option<Vec<GroupMember>> {
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

/// Priority that goes to the engine: the baselines know none.
fn sent_priority(policy: Policy, priority: u8) -> u8 {
    match policy {
        Policy::LengthAware => priority,
        Policy::LeastOutstanding | Policy::RoundRobin => BASELINE_PRIORITY,
    }
}
