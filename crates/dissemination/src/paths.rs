//! Whom a daemon tells.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Relays of an availability zone: two may be gone at once.
pub const RELAYS: usize = 3;

/// Silence of the relays after which a daemon tells everyone by itself.
///
/// Each daemon tells something each second, so that in a fleet of a hundred the
/// relays are heard all the time; this is many times the delay of the last of them.
pub const RELAY_SILENCE: Duration = Duration::from_millis(600);

/// Another daemon that answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Neighbour {
    /// Where it listens for news.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: String,
}

/// Whom this daemon tells, by what it knows of the others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Paths {
    /// Every other daemon.
    pub others: Vec<SocketAddr>,
    /// The other daemons of the own zone.
    pub zone: Vec<SocketAddr>,
    /// The other relays of the own zone, the first in rank first.
    pub relays: Vec<SocketAddr>,
    /// The relays of all other zones.
    pub far_relays: Vec<SocketAddr>,
    /// Place of this daemon among the relays of its zone, if it is one.
    pub rank: Option<usize>,
}

impl Paths {
    /// The paths of the daemon at `own` in `zone`, from the other daemons and the
    /// relays of each zone in order of rank.
    #[must_use]
    pub fn new(
        own: SocketAddr,
        zone: &str,
        neighbours: &[Neighbour],
        relays: &BTreeMap<String, Vec<SocketAddr>>,
    ) -> Self {
        let own_relays = relays.get(zone).map(Vec::as_slice).unwrap_or_default();
        let far = relays.iter().filter(|(other, _)| other.as_str() != zone);
        let near = neighbours.iter().filter(|other| other.zone == zone);
        Self {
            others: neighbours.iter().map(|other| other.address).collect(),
            zone: near.map(|other| other.address).collect(),
            relays: own_relays
                .iter()
                .copied()
                .filter(|relay| *relay != own)
                .collect(),
            far_relays: far.flat_map(|(_, relays)| relays).copied().collect(),
            rank: own_relays.iter().position(|relay| *relay == own),
        }
    }

    /// Whether news goes by the relays: there are some, and at least `relay_from`
    /// other daemons.
    ///
    /// In a smaller fleet each daemon hears few datagrams when everyone tells
    /// everyone, and the news arrives at once.
    #[must_use]
    pub fn is_relayed(&self, relay_from: usize) -> bool {
        let has_relays = self.rank.is_some() || !self.relays.is_empty();
        has_relays && self.others.len() >= relay_from
    }

    /// Rank with which a telling is held that somebody takes this daemon for a relay of.
    ///
    /// Views of who relays differ for a while; one that is not a relay in its own
    /// comes after all that are.
    #[must_use]
    pub fn rank_or_last(&self) -> usize {
        self.rank.unwrap_or(RELAYS)
    }
}
