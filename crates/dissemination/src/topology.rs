//! The addresses that a daemon sends its updates to.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Relays of each availability zone and shard; two may fail at once.
pub const RELAYS_PER_ZONE: usize = 3;

/// Time without a batch from any relay after which a daemon sends to every peer itself.
///
/// Each daemon sends an update at least once a second. In a fleet of a hundred the
/// relays thus forward all the time, and this is many times the delay of the last one.
pub const RELAY_TIMEOUT: Duration = Duration::from_millis(600);

/// Another daemon that is reachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Peer {
    /// Address on which it receives updates.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
}

/// Daemons whose updates one shard's relays forward.
///
/// Each shard of the origins has its own relays, so that the load of a relay doesn't
/// grow with the fleet. At a peak of 3.6 requests a second per daemon, 65 daemons send
/// 690 updates a second, about 1,000 bytes in each window.
const DAEMONS_PER_SHARD: usize = 65;

/// The relays for one shard of the origins.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shard {
    /// The other relays of the own zone, in order of rank.
    pub relays: Vec<SocketAddr>,
    /// The relays of all other zones.
    pub remote_relays: Vec<SocketAddr>,
    /// Rank of this daemon among the relays of its zone, if it is one.
    pub rank: Option<usize>,
}

/// The addresses that this daemon sends to, as of its view of the fleet.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Topology {
    /// Every other daemon.
    pub peers: Vec<SocketAddr>,
    /// The other daemons of the own zone.
    pub zone_peers: Vec<SocketAddr>,
    shards: Vec<Shard>,
}

impl Topology {
    /// The topology seen by the daemon at `own` in `zone`; `relays` returns the relays
    /// of each zone for a shard, in order of rank.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        zone: &str,
        peers: &[Peer],
        relays: impl Fn(usize) -> BTreeMap<String, Vec<SocketAddr>>,
    ) -> Self {
        let zone_peers = peers.iter().filter(|peer| peer.zone == zone);
        let shards = peers.len().div_ceil(DAEMONS_PER_SHARD);
        Self {
            peers: peers.iter().map(|peer| peer.address).collect(),
            zone_peers: zone_peers.map(|peer| peer.address).collect(),
            shards: (0..shards)
                .map(|shard| Shard::new(own, zone, &relays(shard)))
                .collect(),
        }
    }

    /// Index of the shard that an origin belongs to, by the hash that identifies it.
    #[must_use]
    pub fn shard_of(&self, daemon: u64) -> usize {
        (daemon % self.shards.len().max(1) as u64) as usize
    }

    /// The shard of that index; `None` while no other daemon is known.
    #[must_use]
    pub fn shard(&self, shard: usize) -> Option<&Shard> {
        self.shards.get(shard)
    }

    /// Whether updates go through relays: each shard has a relay in the own zone, and
    /// there are at least `min_peers` other daemons.
    ///
    /// In a smaller fleet each daemon receives few datagrams even if all daemons send
    /// to all others, and updates arrive without the relays' delay.
    #[must_use]
    pub fn uses_relays(&self, min_peers: usize) -> bool {
        let has_relays = |shard: &Shard| shard.rank.is_some() || !shard.relays.is_empty();
        !self.shards.is_empty()
            && self.shards.iter().all(has_relays)
            && self.peers.len() >= min_peers
    }

    /// Rank with which this daemon forwards a batch of `daemon` that it received as a
    /// relay.
    ///
    /// Daemons may disagree for a while about who is a relay. One that isn't a relay in
    /// its own view forwards after all that are.
    #[must_use]
    pub fn rank_or_last(&self, daemon: u64) -> usize {
        let shard = self.shard(self.shard_of(daemon));
        shard
            .and_then(|shard| shard.rank)
            .unwrap_or(RELAYS_PER_ZONE)
    }
}

impl Shard {
    fn new(own: SocketAddr, zone: &str, relays: &BTreeMap<String, Vec<SocketAddr>>) -> Self {
        let zone_relays = relays.get(zone).map(Vec::as_slice).unwrap_or_default();
        let remote = relays.iter().filter(|(other, _)| other.as_str() != zone);
        let others = zone_relays.iter().copied();
        Self {
            relays: others.filter(|relay| *relay != own).collect(),
            remote_relays: remote.flat_map(|(_, relays)| relays).copied().collect(),
            rank: zone_relays.iter().position(|relay| *relay == own),
        }
    }
}
