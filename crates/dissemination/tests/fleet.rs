//! A fleet that tells its news in virtual time.
//!
//! The load is that of a large fleet at its peak: each daemon tells five times a
//! second of a request that it placed, read or ended, and a datagram takes a
//! millisecond. What matters is how many datagrams each daemon hears, how old the
//! news is then, and what the loss of relays does.

use std::collections::{BTreeMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use mangofront_dissemination::{
    Batch, COALESCING_WINDOW, LatestSequences, Origin, Peer, PendingBatches, RELAYS_PER_ZONE,
    STANDBY_DELAY, Scope, Topology,
};

const DELAY: Duration = Duration::from_millis(1);
const RELAYED_FROM: usize = 100;
const STEP: Duration = Duration::from_millis(1);

enum Message {
    PassOn(Scope, Vec<Batch<u32>>),
    Relayed(Vec<Batch<u32>>),
}

struct Daemon {
    zone: String,
    paths: Topology,
    sequences: LatestSequences,
    held: PendingBatches<u32>,
    next: u64,
    heard: HashSet<u32>,
    datagrams: usize,
    oldest: Duration,
    is_down: bool,
}

struct Fleet {
    daemons: Vec<Daemon>,
    network: Vec<(Instant, usize, Message)>,
    told_at: Vec<Instant>,
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
        let relays = |slice: usize| {
            let mut relays: BTreeMap<String, Vec<SocketAddr>> = BTreeMap::new();
            let first = slice * zones * RELAYS_PER_ZONE;
            for index in first..first + zones * RELAYS_PER_ZONE {
                let index = index % count;
                relays.entry(zone(index)).or_default().push(address(index));
            }
            relays
        };
        let daemons = (0..count).map(|own| {
            let neighbours: Vec<Peer> = (0..count)
                .filter(|other| *other != own)
                .map(|other| Peer {
                    address: address(other),
                    zone: zone(other),
                })
                .collect();
            Daemon {
                zone: zone(own),
                paths: Topology::new(address(own), &zone(own), &neighbours, relays),
                sequences: LatestSequences::default(),
                held: PendingBatches::default(),
                next: 1,
                heard: HashSet::new(),
                datagrams: 0,
                oldest: Duration::ZERO,
                is_down: false,
            }
        });
        Self {
            daemons: daemons.collect(),
            network: Vec::new(),
            told_at: Vec::new(),
            now: Instant::now(),
        }
    }

    fn send(&mut self, to: SocketAddr, message: Message) {
        self.network.push((self.now + DELAY, index(to), message));
    }

    /// Has one daemon tell something.
    fn tell(&mut self, own: usize) {
        let piece = self.told_at.len() as u32;
        self.told_at.push(self.now);
        let now = self.now;
        let daemon = &mut self.daemons[own];
        let telling = Batch {
            origin: Origin {
                daemon: own as u64 * 2 + 2,
                incarnation: 0,
                address: address(own).ip(),
                zone: daemon.zone.clone(),
            },
            sequence: daemon.next,
            updates: vec![piece],
        };
        daemon.next += 1;
        daemon.heard.insert(piece);
        let paths = daemon.paths.clone();
        if !paths.uses_relays(RELAYED_FROM) {
            for other in paths.peers {
                self.send(other, Message::Relayed(vec![telling.clone()]));
            }
            return;
        }
        let slice = paths.shard(paths.shard_of(telling.origin.daemon));
        let slice = slice.expect("there are other daemons").clone();
        if let Some(rank) = slice.rank {
            let life = telling.origin.incarnation_id();
            daemon.sequences.advance(life, telling.sequence);
            daemon.held.add(telling.clone(), Scope::Fleet, rank, now);
        }
        for relay in slice.relays {
            self.send(relay, Message::PassOn(Scope::Fleet, vec![telling.clone()]));
        }
    }

    fn take(&mut self, own: usize, message: Message) {
        let now = self.now;
        let daemon = &mut self.daemons[own];
        if daemon.is_down {
            return;
        }
        daemon.datagrams += 1;
        let (scope, tellings) = match message {
            Message::PassOn(scope, tellings) => (Some(scope), tellings),
            Message::Relayed(tellings) => {
                let known = tellings
                    .iter()
                    .map(|one| (one.origin.incarnation_id(), one.sequence));
                daemon.held.remove_forwarded(known);
                (None, tellings)
            }
        };
        for telling in tellings {
            if !daemon
                .sequences
                .advance(telling.origin.incarnation_id(), telling.sequence)
            {
                continue;
            }
            for piece in &telling.updates {
                daemon.heard.insert(*piece);
                let age = now - self.told_at[*piece as usize];
                daemon.oldest = daemon.oldest.max(age);
            }
            if let Some(scope) = scope {
                let rank = daemon.paths.rank_or_last(telling.origin.daemon);
                daemon.held.add(telling, scope, rank, now);
            }
        }
    }

    fn pass_on(&mut self, own: usize) {
        let daemon = &mut self.daemons[own];
        if daemon.is_down {
            return;
        }
        let due = daemon.held.take_due(self.now);
        if due.is_empty() {
            return;
        }
        let paths = daemon.paths.clone();
        let mut far: BTreeMap<usize, Vec<Batch<u32>>> = BTreeMap::new();
        for (scope, telling) in &due {
            if *scope == Scope::Fleet {
                let slice = paths.shard_of(telling.origin.daemon);
                far.entry(slice).or_default().push(telling.clone());
            }
        }
        let all: Vec<Batch<u32>> = due.into_iter().map(|(_, telling)| telling).collect();
        for to in paths.zone_peers.clone() {
            self.send(to, Message::Relayed(all.clone()));
        }
        for (slice, far) in far {
            let slice = paths.shard(slice).expect("a slice of these paths").clone();
            for to in slice.remote_relays {
                self.send(to, Message::PassOn(Scope::Zone, far.clone()));
            }
        }
    }

    /// Runs for `time`; each daemon that is up tells five times a second.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        let count = self.daemons.len();
        let mut turn = 0;
        while self.now < end {
            let arrived: Vec<_> = {
                let now = self.now;
                let network = std::mem::take(&mut self.network);
                let (arrived, under_way) = network.into_iter().partition(|one| one.0 <= now);
                self.network = under_way;
                arrived
            };
            for (_, to, message) in arrived {
                self.take(to, message);
            }
            // Five times a second each is one of 200 in each millisecond.
            let tellers: Vec<usize> = (0..count).filter(|one| one % 200 == turn % 200).collect();
            for teller in tellers {
                if !self.daemons[teller].is_down {
                    self.tell(teller);
                }
            }
            (0..count).for_each(|own| self.pass_on(own));
            turn += 1;
            self.now += STEP;
        }
    }

    fn most_datagrams(&self) -> usize {
        let datagrams = self.daemons.iter().map(|daemon| daemon.datagrams);
        datagrams.max().unwrap_or_default()
    }

    fn oldest(&self) -> Duration {
        let oldest = self.daemons.iter().map(|daemon| daemon.oldest);
        oldest.max().unwrap_or_default()
    }

    /// Pieces of news told so far that each daemon that is up has heard of, at least.
    fn least_heard(&self) -> usize {
        let up = self.daemons.iter().filter(|daemon| !daemon.is_down);
        up.map(|daemon| daemon.heard.len())
            .min()
            .unwrap_or_default()
    }
}

#[test]
fn a_small_fleet_tells_at_once() {
    let mut fleet = Fleet::new(3, 2);
    fleet.run(Duration::from_secs(2));
    assert_eq!(fleet.oldest(), DELAY);
}

#[test]
fn a_large_fleet_hears_everything_in_few_datagrams() {
    // Slices: three of 195 daemons, sixteen of 1,008.
    for (zones, per_zone, slices) in [(5, 39, 3), (24, 42, 16)] {
        let mut fleet = Fleet::new(zones, per_zone);
        fleet.run(Duration::from_secs(1));
        let told = fleet.told_at.len();
        fleet.run(Duration::ZERO);
        let tellings = zones * per_zone * 5;
        assert!(told + 20 > tellings, "{told} of {tellings}");
        // All but the last moments', which are under way.
        let under_way = tellings / 10;
        assert!(fleet.least_heard() + under_way > told);
        // A relay hears of each zone in each window, and of its own daemons besides;
        // everyone telling everyone would be a datagram for each telling.
        let windows = 1_000 / COALESCING_WINDOW.as_millis() as usize;
        let bound = windows * (zones + slices) + per_zone * 5 + windows * 2;
        let most = fleet.most_datagrams();
        assert!(most <= bound, "{most} of {bound}");
        let mut datagrams: Vec<usize> = fleet.daemons.iter().map(|one| one.datagrams).collect();
        datagrams.sort_unstable();
        let usual = datagrams[datagrams.len() / 2];
        assert!(usual <= (windows + 2) * slices, "{usual}");
        let limit = 2 * COALESCING_WINDOW + 4 * DELAY;
        assert!(fleet.oldest() <= limit, "{:?}", fleet.oldest());
    }
}

#[test]
fn the_next_relay_takes_over_from_one_that_is_gone() {
    let mut fleet = Fleet::new(5, 39);
    fleet.run(Duration::from_millis(500));
    // The first relay of two zones, and both the first and the second of another.
    for gone in [0, 1, 2, 7] {
        fleet.daemons[gone].is_down = true;
    }
    let before = fleet.told_at.len();
    fleet.run(Duration::from_secs(1));
    let told = fleet.told_at.len();
    fleet.run(2 * (COALESCING_WINDOW + 2 * STANDBY_DELAY));
    let later = fleet.told_at.len();
    // Those under way when the relays went may be lost.
    let lost = told.min(later) - told;
    assert_eq!(lost, 0);
    for daemon in fleet.daemons.iter().filter(|daemon| !daemon.is_down) {
        let missing = (before..told).filter(|piece| !daemon.heard.contains(&(*piece as u32)));
        assert_eq!(missing.count(), 0);
    }
    let limit = 2 * (COALESCING_WINDOW + 2 * STANDBY_DELAY) + 4 * DELAY;
    assert!(fleet.oldest() <= limit, "{:?}", fleet.oldest());
}

#[test]
fn a_telling_after_a_later_one_is_dropped() {
    let mut sequences = LatestSequences::default();
    assert!(sequences.advance(7, 1));
    assert!(sequences.advance(7, 3));
    assert!(!sequences.advance(7, 2));
    assert!(!sequences.advance(7, 3));
    assert!(sequences.advance(9, 2));
    sequences.forget(7);
    assert!(sequences.advance(7, 1));
}
