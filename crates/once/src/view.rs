//! Selection of the voters.
//!
//! All daemons of a region compute the same set from the same list: the highest
//! ranked instances by rendezvous hash, taken round-robin from the availability
//! zones, an odd number of at most [`MAX_VOTERS`]. There is a single set for all
//! keys, so that only one set has to be synchronised; only the order in which a
//! claim contacts the voters differs between keys.

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
    /// Availability zone that it runs in.
    pub availability_zone: AvailabilityZone,
}

/// The region's live entry instances according to the instance list.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct VoterView {
    /// Revision of the list; higher is newer.
    pub list_revision: Revision,
    /// Live entry instances, without those that are leaving.
    pub listed: Vec<ListedInstance>,
}

/// Voters at one revision of the list.
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
            members: select_voters(&view.listed),
        }
    }

    pub(crate) fn majority(&self) -> usize {
        self.members.len() / 2 + 1
    }

    pub(crate) fn contains(&self, instance: &str) -> bool {
        self.members.iter().any(|member| member == instance)
    }

    pub(crate) fn has_same_members(&self, other: &Self) -> bool {
        self.members == other.members
    }
}

fn select_voters(listed: &[ListedInstance]) -> Vec<InstanceId> {
    let mut by_zone: BTreeMap<&str, Vec<(u64, &str)>> = BTreeMap::new();
    for candidate in listed {
        let score = score(&candidate.instance, VOTER_SEED);
        let zone = by_zone.entry(&candidate.availability_zone).or_default();
        zone.push((score, &candidate.instance));
    }
    let mut ranked: Vec<(usize, u64, &str)> = Vec::new();
    for zone in by_zone.values_mut() {
        zone.sort_unstable();
        zone.dedup();
        let by_rank = zone.iter().enumerate();
        ranked.extend(by_rank.map(|(rank, (score, instance))| (rank, *score, *instance)));
    }
    ranked.sort_unstable();
    // An even number needs a larger majority and tolerates no more failures.
    let limit = ranked.len().min(MAX_VOTERS);
    let count = if limit.is_multiple_of(2) {
        limit.saturating_sub(1)
    } else {
        limit
    };
    let mut members: Vec<InstanceId> = ranked
        .into_iter()
        .take(count)
        .map(|(_, _, instance)| instance.to_owned())
        .collect();
    members.sort_unstable();
    members
}

/// `instances` sorted by their rendezvous hash for `text`.
pub(crate) fn rendezvous_order(instances: &[InstanceId], text: &str) -> Vec<InstanceId> {
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
