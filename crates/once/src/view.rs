//! Which instances vote.
//!
//! All daemons of a region work out the same set from the same list: the best
//! instances by rendezvous hash, taken in turns from the availability zones, an
//! odd number of at most [`MAX_VOTERS`]. A single set for all keys keeps
//! synchronisation to one matter; only the order in which a claim visits the
//! voters differs between keys.

use std::collections::BTreeMap;

use mangofront_settings::ids::{AvailabilityZone, InstanceId, Revision};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Largest number of voters.
pub const MAX_VOTERS: usize = 7;

const VOTER_SEED: u64 = 0x766f_7465;

/// One listed entry instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedInstance {
    /// Its name.
    pub instance: InstanceId,
    /// Where it stands.
    pub availability_zone: AvailabilityZone,
}

/// The region's live entry instances, as the list tells them.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VoterView {
    /// Revision of the list; higher is newer.
    pub list_revision: Revision,
    /// Live entry instances; those that leave are left out.
    pub listed: Vec<ListedInstance>,
}

/// Voters under one revision of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct VoterSet {
    /// Revision at which these members were first seen.
    pub revision: Revision,
    /// Members, sorted by name.
    pub members: Vec<InstanceId>,
}

impl VoterSet {
    pub(crate) fn of(view: &VoterView) -> Self {
        Self {
            revision: view.list_revision,
            members: choose(&view.listed),
        }
    }

    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub(crate) fn has(&self, instance: &str) -> bool {
        self.members.iter().any(|member| member == instance)
    }

    pub(crate) fn same_members(&self, other: &Self) -> bool {
        self.members == other.members
    }
}

fn choose(listed: &[ListedInstance]) -> Vec<InstanceId> {
    let mut by_zone: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for voter in listed {
        let score = score(&voter.instance, VOTER_SEED);
        let zone = by_zone.entry(&voter.availability_zone).or_default();
        zone.push((score, &voter.instance));
    }
    let mut ranked: Vec<(usize, u64, &str)> = Vec::new();
    for zone in by_zone.values_mut() {
        zone.sort_unstable();
        zone.dedup();
        let in_turn = zone.iter().enumerate();
        ranked.extend(in_turn.map(|(rank, (score, instance))| (rank, *score, *instance)));
    }
    ranked.sort_unstable();
    // An even set needs a larger majority and survives no more failures.
    let fit = ranked.len().min(MAX_VOTERS);
    let count = if fit.is_multiple_of(2) {
        fit.saturating_sub(1)
    } else {
        fit
    };
    let mut members: Vec<InstanceId> = ranked
        .into_iter()
        .take(count)
        .map(|(_, _, instance)| instance.to_owned())
        .collect();
    members.sort_unstable();
    members
}

/// `instances` in the rendezvous order of `text`.
pub(crate) fn rendezvous(instances: &[InstanceId], text: &str) -> Vec<InstanceId> {
    let seed = xxh3_64_with_seed(text.as_bytes(), 0);
    let mut scored: Vec<(u64, &InstanceId)> = instances
        .iter()
        .map(|instance| (score(instance, seed), instance))
        .collect();
    scored.sort_unstable();
    scored
        .into_iter()
        .map(|(_, instance)| instance.clone())
        .collect()
}

fn score(instance: &str, seed: u64) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), seed)
}
