//! Selection of the neighbours that a daemon links to, and of delegates.
//!
//! A small fleet is a full mesh. A larger one is a ring in each availability zone, in
//! the order of the instances' hashes, where each member links to the next few on the
//! ring. In addition each has a few links to other zones and regions, chosen by
//! rendezvous hashing so that they don't change when other members join or leave. Thus
//! every member is monitored by those before it on its ring, and any two are a few hops
//! apart.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use mangofront_settings::ids::{AvailabilityZone, InstanceId, Region};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use crate::member::{Member, MemberState};
use crate::options::PeersOptions;

/// A member that may become a neighbour.
#[derive(Debug, Clone)]
pub(crate) struct Candidate {
    pub(crate) instance: InstanceId,
    pub(crate) region: Region,
    pub(crate) availability_zone: AvailabilityZone,
    pub(crate) address: SocketAddr,
    /// Whether it failed to answer recently, so that a link to another zone avoids it.
    pub(crate) avoid: bool,
}

/// Selects the neighbours among the other members.
pub(crate) fn neighbours(own: &PeersOptions, others: Vec<Candidate>) -> Vec<Candidate> {
    if others.len() < own.full_mesh_limit {
        return others;
    }
    let (zone, outside): (Vec<_>, Vec<_>) =
        others.into_iter().partition(|c| is_in_own_zone(own, c));
    let (own_region, other_regions): (Vec<_>, Vec<_>) = outside
        .into_iter()
        .filter(|c| !c.avoid)
        .partition(|c| c.region == own.region);
    let mut picked = successors(own, zone);
    picked.extend(rendezvous(own, own_region, own.cross_zone_links));
    picked.extend(rendezvous(own, other_regions, own.cross_region_links));
    picked
}

fn is_in_own_zone(own: &PeersOptions, other: &Candidate) -> bool {
    other.region == own.region && other.availability_zone == own.availability_zone
}

/// The members that follow on the zone's ring.
fn successors(own: &PeersOptions, mut zone: Vec<Candidate>) -> Vec<Candidate> {
    let own_hash = xxh3_64(own.instance.as_bytes());
    // Distance on the ring; hashes below the own one wrap around.
    zone.sort_by_key(|c| xxh3_64(c.instance.as_bytes()).wrapping_sub(own_hash));
    zone.truncate(own.zone_successors);
    zone
}

/// The `count` members whose names hash highest together with the own name.
fn rendezvous(own: &PeersOptions, mut others: Vec<Candidate>, count: usize) -> Vec<Candidate> {
    let seed = xxh3_64(own.instance.as_bytes());
    others.sort_by_key(|c| std::cmp::Reverse(xxh3_64_with_seed(c.instance.as_bytes(), seed)));
    others.truncate(count);
    others
}

/// Whether the own instance is among the `count` alive members of the own zone
/// that hash highest together with `duty`; a leaving member isn't alive.
pub(crate) fn is_delegate(
    own: &PeersOptions,
    members: &[Member],
    duty: &str,
    count: usize,
) -> bool {
    let chosen = delegates(own, members, duty, count);
    chosen.iter().any(|member| member.instance == own.instance)
}

/// The `count` members of the own availability zone that rendezvous hashing selects for
/// `duty`.
pub(crate) fn delegates(
    own: &PeersOptions,
    members: &[Member],
    duty: &str,
    count: usize,
) -> Vec<Member> {
    let of_zone = members.iter().filter(|member| {
        member.region == own.region && member.availability_zone == own.availability_zone
    });
    highest_ranked(of_zone, duty, count, |_| 0)
}

/// The members of each availability zone selected for `duty`, those of highest `capacity` first.
pub(crate) fn delegates_by_zone(
    members: &[Member],
    duty: &str,
    count: usize,
    capacity: impl Fn(&Member) -> u32,
) -> BTreeMap<AvailabilityZone, Vec<Member>> {
    let zones: BTreeSet<&AvailabilityZone> = members
        .iter()
        .map(|member| &member.availability_zone)
        .collect();
    let of_zone = |zone: &AvailabilityZone| {
        let of_zone = members
            .iter()
            .filter(|member| member.availability_zone == *zone);
        (
            zone.clone(),
            highest_ranked(of_zone, duty, count, &capacity),
        )
    };
    zones.into_iter().map(of_zone).collect()
}

/// The `count` alive members of highest capacity, ties broken by the highest hash together
/// with `duty`; the highest first.
fn highest_ranked<'a>(
    members: impl Iterator<Item = &'a Member>,
    duty: &str,
    count: usize,
    capacity: impl Fn(&Member) -> u32,
) -> Vec<Member> {
    let seed = xxh3_64(duty.as_bytes());
    let rank = |member: &Member| {
        let hash = xxh3_64_with_seed(member.instance.as_bytes(), seed);
        (capacity(member), hash, member.instance.clone())
    };
    let mut chosen: Vec<Member> = members
        .filter(|member| member.state == MemberState::Alive)
        .cloned()
        .collect();
    chosen.sort_by_cached_key(|member| std::cmp::Reverse(rank(member)));
    chosen.truncate(count);
    chosen
}
