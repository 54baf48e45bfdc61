//! Simulates in virtual time how a fleet broadcasts its updates.
//!
//! The load is that of a large fleet at its peak: each daemon sends five updates a
//! second, and a datagram takes a millisecond. The tests check how many datagrams each
//! daemon receives, how old the updates are by then, and what happens when relays fail.

use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use mangofront_dissemination::{
    Batch, COALESCING_WINDOW, LatestSequences, Origin, Peer, PendingBatches, RELAYS_PER_ZONE,
    STANDBY_DELAY, Scope, Topology,
};

const NETWORK_DELAY: Duration = Duration::from_millis(1);
const RELAY_THRESHOLD: usize = 100;
const STEP: Duration = Duration::from_millis(1);

enum Message {
    Forward(Scope, Vec<Batch<u32>>),
    Forwarded(Vec<Batch<u32>>),
}

struct Daemon {
    zone: String,
    topology: Topology,
    sequences: LatestSequences,
    pending: PendingBatches<u32>,
    next_sequence: u64,
    received: HashSet<u32>,
    datagrams: usize,
    max_age: Duration,
    is_down: bool,
}

struct Fleet {
    daemons: Vec<Daemon>,
    network: Vec<(Instant, usize, Message)>,
    sent_at: Vec<Instant>,
    now: Instant,
}

fn address(index: usize) -> SocketAddr {
    let index = index as u32;
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + index)), 1)
}

fn index(address: SocketAddr) -> usize {
    match address.ip() {
        IpAddr::V4(ip) => (u32::from(ip) - 0x0a00_0000) as usize,
        IpAddr::V6(_) => unreachable!("addresses of the test"),
    }
}

impl Fleet {
    fn new(zones: usize, per_zone: usize) -> Self {
        let count = zones * per_zone;
        let zone = |index: usize| format!("zone-{}", index % zones);
        let relays = |shard: usize| {
            let mut relays: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
            let first = shard * zones * RELAYS_PER_ZONE;
            for index in first..first + zones * RELAYS_PER_ZONE {
                let index = index % count;
                relays.entry(zone(index)).or_default().push(address(index));
            }
            relays
        };
        let daemons = (0..count).map(|own| {
            let peers: Vec<Peer> = (0..count)
                .filter(|other| *other != own)
                .map(|other| Peer {
                    address: address(other),
                    zone: zone(other),
                })
                .collect();
            Daemon {
                zone: zone(own),
                topology: Topology::new(address(own), &zone(own), &peers, relays),
                sequences: LatestSequences::default(),
                pending: PendingBatches::default(),
                next_sequence: 1,
                received: HashSet::new(),
                datagrams: 0,
                max_age: Duration::ZERO,
                is_down: false,
            }
        });
        Self {
            daemons: daemons.collect(),
            network: Vec::new(),
            sent_at: Vec::new(),
            now: Instant::now(),
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.network
            .push((self.now + NETWORK_DELAY, index(to), message));
    }

    /// Broadcasts one update of a daemon.
    fn broadcast(&mut self, own: usize) {
        let update = self.sent_at.len() as u32;
        self.sent_at.push(self.now);
        let now = self.now;
        let daemon = &mut self.daemons[own];
        let batch = Batch {
            origin: Origin {
                daemon: own as u64 * 2 + 2,
                incarnation: 0,
                address: address(own).ip(),
                zone: daemon.zone.clone(),
            },
            sequence: daemon.next_sequence,
            updates: vec![update],
        };
        daemon.next_sequence += 1;
        daemon.received.insert(update);
        let topology = daemon.topology.clone();
        if !topology.uses_relays(RELAY_THRESHOLD) {
            for other in topology.peers {
                self.send(other, Message::Forwarded(vec![batch.clone()]));
            }
            return;
        }
        let shard = topology.shard(topology.shard_of(batch.origin.daemon));
        let shard = shard.expect("there are other daemons").clone();
        if let Some(rank) = shard.rank {
            let incarnation = batch.origin.incarnation_id();
            daemon.sequences.advance(incarnation, batch.sequence);
            daemon.pending.add(batch.clone(), Scope::Fleet, rank, now);
        }
        for relay in shard.relays {
            self.send(relay, Message::Forward(Scope::Fleet, vec![batch.clone()]));
        }
    }

    fn receive(&mut self, own: usize, message: Message) {
        let now = self.now;
        let daemon = &mut self.daemons[own];
        if daemon.is_down {
            return;
        }
        daemon.datagrams += 1;
        let (scope, batches) = match message {
            Message::Forward(scope, batches) => (Some(scope), batches),
            Message::Forwarded(batches) => {
                let known = batches
                    .iter()
                    .map(|one| (one.origin.incarnation_id(), one.sequence));
                daemon.pending.remove_forwarded(known);
                (None, batches)
            }
        };
        for batch in batches {
            if !daemon
                .sequences
                .advance(batch.origin.incarnation_id(), batch.sequence)
            {
                continue;
            }
            for update in &batch.updates {
                daemon.received.insert(*update);
                let age = now - self.sent_at[*update as usize];
                daemon.max_age = daemon.max_age.max(age);
            }
            if let Some(scope) = scope {
                let rank = daemon.topology.rank_or_last(batch.origin.daemon);
                daemon.pending.add(batch, scope, rank, now);
            }
        }
    }

    fn forward_due(&mut self, own: usize) {
        let daemon = &mut self.daemons[own];
        if daemon.is_down {
            return;
        }
        let due = daemon.pending.take_due(self.now);
        if due.is_empty() {
            return;
        }
        let topology = daemon.topology.clone();
        let mut remote: BTreeMap<usize, Vec<Batch<u32>>> = BTreeMap::new();
        for (scope, batch) in &due {
            if *scope == Scope::Fleet {
                let shard = topology.shard_of(batch.origin.daemon);
                remote.entry(shard).or_default().push(batch.clone());
            }
        }
        let all: Vec<Batch<u32>> = due.into_iter().map(|(_, batch)| batch).collect();
        for to in topology.zone_peers.clone() {
            self.send(to, Message::Forwarded(all.clone()));
        }
        for (shard, remote) in remote {
            let shard = topology
                .shard(shard)
                .expect("a shard of the topology")
                .clone();
            for to in shard.remote_relays {
                self.send(to, Message::Forward(Scope::Zone, remote.clone()));
            }
        }
    }

    /// Runs for `time`; each daemon that is up sends five updates a second.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let count = self.daemons.len();
        let mut step = 0;
        while self.now < end {
            let arrived: Vec<_> = {
                let now = self.now;
                let network = std::mem::take(&mut self.network);
                let (arrived, in_flight) = network.into_iter().partition(|one| one.0 <= now);
                self.network = in_flight;
                arrived
            };
            for (_, to, message) in arrived {
                self.receive(to, message);
            }
            // At five updates a second each, one daemon in 200 sends in each millisecond.
            let senders: Vec<usize> = (0..count).filter(|one| one % 200 == step % 200).collect();
            for sender in senders {
                if !self.daemons[sender].is_down {
                    self.broadcast(sender);
                }
            }
            (0..count).for_each(|own| self.forward_due(own));
            step += 1;
            self.now += STEP;
        }
    }

    fn max_datagrams(&self) -> usize {
        let datagrams = self.daemons.iter().map(|daemon| daemon.datagrams);
        datagrams.max().unwrap_or_default()
    }

    fn max_age(&self) -> Duration {
        let max_age = self.daemons.iter().map(|daemon| daemon.max_age);
        max_age.max().unwrap_or_default()
    }

    /// Fewest updates that any daemon that is up has received.
    fn min_received(&self) -> usize {
        let up = self.daemons.iter().filter(|daemon| !daemon.is_down);
        up.map(|daemon| daemon.received.len())
            .min()
            .unwrap_or_default()
    }
}

#[test]
fn a_small_fleet_sends_directly_without_delay() {
    let mut fleet = Fleet::new(3, 2);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.max_age(), NETWORK_DELAY);
}

#[test]
fn a_large_fleet_receives_all_updates_in_few_datagrams() {
    // 195 daemons make 3 shards, 1,008 make 16.
    for (zones, per_zone, shards) in [(5, 39, 3), (24, 42, 16)] {
        let mut fleet = Fleet::new(zones, per_zone);
        fleet.run(Duration::from_secs(1));
        let sent = fleet.sent_at.len();
        fleet.run(Duration::ZERO);
        let batches = zones * per_zone * 5;
        assert!(sent + 20 > batches, "{sent} of {batches}");
        // All updates but the latest ones, which are still in flight.
        let in_flight = batches / 10;
        assert!(fleet.min_received() + in_flight > sent);
        // A relay receives a datagram from each zone in each window, and those of its own
        // daemons. Without relays each daemon would receive one for each batch.
        let windows = 1_000 / COALESCING_WINDOW.as_millis() as usize;
        let bound = windows * (zones + shards) + per_zone * 5 + windows * 2;
        let max = fleet.max_datagrams();
        assert!(max <= bound, "{max} of {bound}");
        let mut datagrams: Vec<usize> = fleet.daemons.iter().map(|one| one.datagrams).collect();
        datagrams.sort_unstable();
        let median = datagrams[datagrams.len() / 2];
        assert!(median <= (windows + 2) * shards, "{median}");
        let limit = 2 * COALESCING_WINDOW + 4 * NETWORK_DELAY;
        assert!(fleet.max_age() <= limit, "{:?}", fleet.max_age());
    }
}

#[test]
fn the_next_relay_takes_over_from_a_failed_one() {
    let mut fleet = Fleet::new(5, 39);
    fleet.run(Duration::from_millis(500));
    // The first relay of two zones, and the first and the second relay of another.
    for failed in [0, 1, 2, 7] {
        fleet.daemons[failed].is_down = true;
    }
    let before = fleet.sent_at.len();
    fleet.run(Duration::from_secs(1));
    let sent = fleet.sent_at.len();
    fleet.run(2 * (COALESCING_WINDOW + 2 * STANDBY_DELAY));
    let later = fleet.sent_at.len();
    // Updates in flight when the relays failed may be lost.
    let lost = sent.min(later) - sent;
    assert_eq!(lost, 0);
    for daemon in fleet.daemons.iter().filter(|daemon| !daemon.is_down) {
        let missing = (before..sent).filter(|update| !daemon.received.contains(&(*update as u32)));
        assert_eq!(missing.count(), 0);
    }
    let limit = 2 * (COALESCING_WINDOW + 2 * STANDBY_DELAY) + 4 * NETWORK_DELAY;
    assert!(fleet.max_age() <= limit, "{:?}", fleet.max_age());
}

#[test]
fn a_batch_that_arrives_after_a_later_one_is_dropped() {
    let mut sequences = LatestSequences::default();
    assert!(sequences.advance(7, 1));
    assert!(sequences.advance(7, 3));
    assert!(!sequences.advance(7, 2));
    assert!(!sequences.advance(7, 3));
    assert!(sequences.advance(9, 2));
    sequences.forget(7);
    assert!(sequences.advance(7, 1));
}
