//! Whom a daemon tells.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Relays of an availability zone: two may be gone at once.
pub const RELAYS_PER_ZONE: usize = 3;

/// Silence of the relays after which a daemon tells everyone by itself.
///
/// Each daemon tells something each second, so that in a fleet of a hundred the
/// relays are heard all the time; this is many times the delay of the last of them.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(600);

/// Another daemon that answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Where it listens for news.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
}

/// Daemons for which a zone's relays pass on in one slice.
///
/// Each slice of the tellers has relays of its own, so that a relay's work stays the
/// same as the fleet grows. Reckoned, not measured: at a peak of 3.6 requests a second
/// and daemon, 65 daemons tell 690 times a second, some 1,000 bytes in each window.
const DAEMONS_PER_SLICE: usize = 65;

/// The relays for a part of all tellers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shard {
    /// The other relays of the own zone, the first in rank first.
    pub relays: Vec<SocketAddr>,
    /// The relays of all other zones.
    pub remote_relays: Vec<SocketAddr>,
    /// Place of this daemon among the relays of its zone, if it is one.
    pub rank: Option<usize>,
}

/// Whom this daemon tells, by what it knows of the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Every other daemon.
    pub peers: Vec<SocketAddr>,
    /// The other daemons of the own zone.
    pub zone_peers: Vec<SocketAddr>,
    slices: Vec<Shard>,
}

impl Topology {
    /// The paths of the daemon at `own` in `zone`, from the other daemons and the
    /// relays of each zone in order of rank, by slice.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        zone: &str,
        neighbours: &[Peer],
        relays: impl Fn(usize) -> BTreeMap<String, Vec<SocketAddr>>,
    ) -> Self {
        let near = neighbours.iter().filter(|other| other.zone == zone);
        let slices = neighbours.len().div_ceil(DAEMONS_PER_SLICE);
        Self {
            peers: neighbours.iter().map(|other| other.address).collect(),
            zone_peers: near.map(|other| other.address).collect(),
            slices: (0..slices)
                .map(|slice| Shard::new(own, zone, &relays(slice)))
                .collect(),
        }
    }

    /// The slice that a teller is in, by its short name.
    #[must_use]
    pub fn shard_of(&self, daemon: u64) -> usize {
        (daemon % self.slices.len().max(1) as u64) as usize
    }

    /// A slice; none before any other daemon is known.
    #[must_use]
    pub fn shard(&self, slice: usize) -> Option<&Shard> {
        self.slices.get(slice)
    }

    /// Whether news goes by the relays: there are some, and at least `relay_from`
    /// other daemons.
    ///
    /// In a smaller fleet each daemon hears few datagrams when everyone tells
    /// everyone, and the news arrives at once.
    #[must_use]
    pub fn uses_relays(&self, relay_from: usize) -> bool {
        let has_relays = |slice: &Shard| slice.rank.is_some() || !slice.relays.is_empty();
        !self.slices.is_empty()
            && self.slices.iter().all(has_relays)
            && self.peers.len() >= relay_from
    }

    /// Rank with which a teller's news is held that somebody takes this daemon for a
    /// relay of.
    ///
    /// Views of who relays differ for a while; one that is not a relay in its own
    /// comes after all that are.
    #[must_use]
    pub fn rank_or_last(&self, daemon: u64) -> usize {
        let slice = self.shard(self.shard_of(daemon));
        slice
            .and_then(|slice| slice.rank)
            .unwrap_or(RELAYS_PER_ZONE)
    }
}

impl Shard {
    fn new(own: SocketAddr, zone: &str, relays: &BTreeMap<String, Vec<SocketAddr>>) -> Self {
        let own_relays = relays.get(zone).map(Vec::as_slice).unwrap_or_default();
        let far = relays.iter().filter(|(other, _)| other.as_str() != zone);
        let others = own_relays.iter().copied();
        Self {
            relays: others.filter(|relay| *relay != own).collect(),
            remote_relays: far.flat_map(|(_, relays)| relays).copied().collect(),
            rank: own_relays.iter().position(|relay| *relay == own),
        }
    }
}
