//! Limits of concurrent loads.
//!
//! The weight store is shared and a loading engine serves no requests, so only a
//! few engines load at a time. All daemons go through a model's engines in the same
//! order, using the states reported by the engines, and so agree on the engines
//! whose turn it is without coordination. An engine keeps its slot until it reports
//! that it is in its desired state, so the rollout of a version that no engine can
//! load stops at the first few engines.

use std::collections::HashMap;

use mangofront_settings::ids::{AvailabilityZone, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

/// Limits of concurrent loads.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadLimits {
    /// Most engines of a model that load concurrently in one availability zone.
    pub loads_per_zone: usize,
    /// Most engines of a model that load concurrently, in percent of those that
    /// answer.
    pub share_percent: usize,
}

/// Load condition of an engine according to its last report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadCondition {
    /// The engine is in its desired state.
    Settled,
    /// The engine has to load something.
    NeedsLoad,
    /// The engine is loading.
    Loading,
    /// The engine does not answer.
    Unknown,
}

/// State of one engine of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineState {
    /// Its instance.
    pub instance: InstanceId,
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
    /// Its load condition.
    pub condition: LoadCondition,
}

/// Whether `engine`, which has to load something, may start to load.
///
/// `states` contains all engines of its model that are not leaving, in any order.
/// Of a model with several engines, the last one that answers and is not loading
/// may not start.
#[must_use]
pub fn may_start_load(states: &[EngineState], engine: &str, limits: LoadLimits) -> bool {
    let mut order: Vec<&EngineState> = states.iter().collect();
    order.sort_by_cached_key(|state| {
        let name = &state.instance;
        (xxh3_64(name.as_bytes()), name.clone())
    });
    let mut slots = LoadSlots::new(states, limits);
    for state in order {
        let needs_load = state.condition == LoadCondition::NeedsLoad;
        if !needs_load || !slots.take(&state.availability_zone) {
            continue;
        }
        if state.instance == engine {
            return true;
        }
    }
    false
}

/// Slots for concurrent loads that are not taken yet.
struct LoadSlots<'a> {
    left: usize,
    in_zone: HashMap<&'a str, usize>,
    loads_per_zone: usize,
}

impl<'a> LoadSlots<'a> {
    fn new(states: &'a [EngineState], limits: LoadLimits) -> Self {
        let count = |wanted: LoadCondition| {
            let found = states.iter().filter(|state| state.condition == wanted);
            found.count()
        };
        let answering = states.len() - count(LoadCondition::Unknown);
        let mut max_loads = (answering * limits.share_percent / 100).max(1);
        if states.len() > 1 {
            max_loads = max_loads.min(answering.saturating_sub(1));
        }
        let mut in_zone = HashMap::new();
        for state in states {
            if state.condition == LoadCondition::Loading {
                *in_zone.entry(&*state.availability_zone).or_default() += 1;
            }
        }
        Self {
            left: max_loads.saturating_sub(count(LoadCondition::Loading)),
            in_zone,
            loads_per_zone: limits.loads_per_zone.max(1),
        }
    }

    fn take(&mut self, zone: &'a str) -> bool {
        let loads = self.in_zone.entry(zone).or_default();
        if self.left == 0 || *loads >= self.loads_per_zone {
            return false;
        }
        self.left -= 1;
        *loads += 1;
        true
    }
}
