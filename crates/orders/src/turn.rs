//! Whose turn it is to load.
//!
//! The weight store is shared and a loading engine serves nothing, so loads
//! are spread. All daemons walk a model's engines in the same order, over what
//! the engines themselves report, and so agree whose turn it is without a word.
//! A place that was given to an engine stays its own until the engine reports
//! that it is in its desired state, so a version that no engine can load stops at
//! the first few.

use std::collections::HashMap;

use mangofront_settings::ids::{AvailabilityZone, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

/// Limits of loads at one time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TurnLimits {
    /// Engines of a model that load at once in one availability zone.
    pub loads_per_zone: usize,
    /// Engines of a model that load at once, in percent of those that answer.
    pub share_percent: usize,
}

/// What an engine is doing, as it was last read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    /// Is in its desired state.
    Settled,
    /// Lacks something that has to be loaded.
    Needing,
    /// Loads.
    Loading,
    /// Does not answer.
    Unknown,
}

/// One engine of a model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// Its instance.
    pub instance: InstanceId,
    /// Where it stands.
    pub availability_zone: AvailabilityZone,
    /// What it is doing.
    pub condition: Condition,
}

/// Whether `engine`, which lacks something, may start to load.
///
/// `standings` are all engines of its model that stay, in any order. A model
/// with several engines never loses the last one that answers.
#[must_use]
pub fn may_start(standings: &[Standing], engine: &str, limits: TurnLimits) -> bool {
    let mut order: Vec<&Standing> = standings.iter().collect();
    order.sort_by_cached_key(|standing| {
        let name = &standing.instance;
        (xxh3_64(name.as_bytes()), name.clone())
    });
    let mut places = Places::new(standings, limits);
    for standing in order {
        let needs = standing.condition == Condition::Needing;
        if !needs || !places.take(&standing.availability_zone) {
            continue;
        }
        if standing.instance == engine {
            return true;
        }
    }
    false
}

/// Places for loads that are left.
struct Places<'a> {
    left: usize,
    in_zone: HashMap<&'a str, usize>,
    loads_per_zone: usize,
}

impl<'a> Places<'a> {
    fn new(standings: &'a [Standing], limits: TurnLimits) -> Self {
        let count = |wanted: Condition| {
            let found = standings.iter().filter(|one| one.condition == wanted);
            found.count()
        };
        let answering = standings.len() - count(Condition::Unknown);
        let mut most = (answering * limits.share_percent / 100).max(1);
        if standings.len() > 1 {
            most = most.min(answering.saturating_sub(1));
        }
        let mut in_zone = HashMap::new();
        for standing in standings {
            if standing.condition == Condition::Loading {
                *in_zone.entry(&*standing.availability_zone).or_default() += 1;
            }
        }
        Self {
            left: most.saturating_sub(count(Condition::Loading)),
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
