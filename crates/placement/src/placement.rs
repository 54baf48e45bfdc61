//! The handle that the other crates hold.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::demand::{Demand, EngineInfo, EngineOutcome, Estimate, NoEngine};
use crate::engine::Engine;
use crate::explain::{Considered, EngineStatus, Explanation, PlacementStatus, Verdict};
use crate::options::PlacementOptions;
use crate::placed::Placed;
use crate::report::{CacheEvents, CacheSnapshot, CacheSync, LoadReport};

/// Prefill rate assumed before anything was observed, in tokens a second.
const INITIAL_PREFILL_TOKENS_PER_S: f64 = 8_000.0;

/// Chooses engines; clones share one view.
#[derive(Debug, Clone)]
pub struct Placement {
    options: Rc<PlacementOptions>,
    engines: Rc<RefCell<BTreeMap<InstanceId, Rc<RefCell<Engine>>>>>,
}

impl Placement {
    /// A placement that knows no engine yet.
    #[must_use]
    pub fn new(options: PlacementOptions) -> Self {
        log::debug!("placement: daemon {} starts", options.daemon);
        Self {
            options: Rc::new(options),
            engines: Rc::default(),
        }
    }

    /// Takes over the list of engines.
    pub fn set_engines(&self, listed: Vec<EngineInfo>) {
        let mut engines = self.engines.borrow_mut();
        engines.retain(|instance, _| listed.iter().any(|info| info.instance == *instance));
        for info in listed {
            match engines.get(&info.instance) {
                Some(engine) => engine.borrow_mut().info = info,
                None => {
                    let engine = Rc::new(RefCell::new(Engine::new(info.clone())));
                    engines.insert(info.instance, engine);
                }
            }
        }
    }

    /// Takes in an engine's load report.
    pub fn report(&self, instance: &InstanceId, report: LoadReport) {
        if let Some(engine) = self.engines.borrow().get(instance) {
            engine.borrow_mut().report = Some(report);
        }
    }

    /// Notes that an engine's load report could not be fetched.
    pub fn report_failed(&self, _instance: &InstanceId) {}

    /// Notes how a request ended on an engine.
    pub fn outcome(&self, _instance: &InstanceId, _outcome: EngineOutcome) {}

    /// Takes in the whole content of an engine's prefix cache.
    pub fn cache_snapshot(&self, _instance: &InstanceId, _snapshot: CacheSnapshot) {}

    /// Takes in changes of an engine's prefix cache.
    pub fn cache_events(&self, _instance: &InstanceId, events: CacheEvents) -> CacheSync {
        CacheSync::InSync {
            next_sequence: events.next_sequence,
        }
    }

    /// Predicts the best engine's answer to `demand`.
    ///
    /// # Errors
    /// [`NoEngine`] when no engine can take it.
    pub fn estimate(&self, demand: &Demand) -> Result<Estimate, NoEngine> {
        self.best(demand, &[]).map(|_| estimate(demand))
    }

    /// Chooses an engine, passing over those in `excluded`.
    ///
    /// # Errors
    /// [`NoEngine`] when no engine can take it.
    pub fn place(&self, demand: &Demand, excluded: &[InstanceId]) -> Result<Placed, NoEngine> {
        let engine = self.best(demand, excluded)?;
        engine.borrow_mut().outstanding += 1;
        let info = engine.borrow().info.clone();
        Ok(Placed {
            instance: info.instance,
            address: info.address,
            priority: priority(demand),
            estimate: estimate(demand),
            group: None,
            engine,
        })
    }

    /// This daemon's view of its own placements, for its peers.
    #[must_use]
    pub fn own_view(&self) -> Bytes {
        Bytes::new()
    }

    /// Takes in a peer's view of its own placements.
    pub fn peer_view(&self, _daemon: &InstanceId, _incarnation: Incarnation, _view: Bytes) {}

    /// Lays open how `demand` would be placed, without placing it.
    #[must_use]
    pub fn explain(&self, demand: &Demand) -> Explanation {
        let chosen = self.best(demand, &[]).ok();
        let chosen = chosen.map(|engine| engine.borrow().info.instance.clone());
        let engines = self.engines.borrow();
        let considered = engines
            .values()
            .filter(|engine| engine.borrow().info.model == demand.model)
            .map(|engine| consider(&engine.borrow(), demand, chosen.as_ref()))
            .collect();
        Explanation {
            model: demand.model.clone(),
            chosen,
            considered,
        }
    }

    /// The view, for a status page.
    #[must_use]
    pub fn status(&self) -> PlacementStatus {
        let engines = self.engines.borrow();
        let engines = engines.values().map(|engine| status(&engine.borrow()));
        PlacementStatus {
            engines: engines.collect(),
        }
    }

    /// Outstanding requests, the own availability zone first among equals.
    fn load(&self, engine: &Engine) -> (u32, bool) {
        let elsewhere = engine.info.availability_zone != self.options.availability_zone;
        (engine.outstanding, elsewhere)
    }

    fn best(
        &self,
        demand: &Demand,
        excluded: &[InstanceId],
    ) -> Result<Rc<RefCell<Engine>>, NoEngine> {
        let engines = self.engines.borrow();
        let mut of_model = engines
            .values()
            .filter(|engine| engine.borrow().info.model == demand.model)
            .peekable();
        if of_model.peek().is_none() {
            return Err(NoEngine::UnknownModel);
        }
        of_model
            .filter(|engine| !engine.borrow().is_leaving())
            .filter(|engine| !excluded.contains(&engine.borrow().info.instance))
            .min_by_key(|engine| self.load(&engine.borrow()))
            .cloned()
            .ok_or(NoEngine::NoneUsable)
    }
}

fn consider(engine: &Engine, demand: &Demand, chosen: Option<&InstanceId>) -> Considered {
    let verdict = if engine.is_leaving() {
        Verdict::Leaving
    } else if chosen == Some(&engine.info.instance) {
        Verdict::Chosen
    } else {
        Verdict::CostsMore
    };
    Considered {
        instance: engine.info.instance.clone(),
        availability_zone: engine.info.availability_zone.clone(),
        estimate: estimate(demand),
        verdict,
    }
}

fn status(engine: &Engine) -> EngineStatus {
    EngineStatus {
        instance: engine.info.instance.clone(),
        model: engine.info.model.clone(),
        availability_zone: engine.info.availability_zone.clone(),
        leaving: engine.is_leaving(),
        outstanding: engine.outstanding,
    }
}

fn estimate(demand: &Demand) -> Estimate {
    let prefill_s = demand.length_tokens as f64 / INITIAL_PREFILL_TOKENS_PER_S;
    let time_to_first_token = Duration::from_secs_f64(prefill_s);
    Estimate {
        time_to_first_token,
        completion: time_to_first_token,
        queue: Duration::ZERO,
    }
}

fn priority(demand: &Demand) -> u8 {
    let doublings = (demand.length_tokens / 1_000).max(1).ilog2();
    u8::try_from(doublings * 16).unwrap_or(u8::MAX)
}
