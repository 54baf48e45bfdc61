//! One daemon, reduced to following the published values, on its own loopback address.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use bytes::Bytes;
use compio::runtime::{JoinHandle, spawn};
use futures_channel::mpsc;
use futures_util::FutureExt;
use mangofront_engines::{ChoiceOptions, UpstreamKey, Upstreams};
use mangofront_gateway::{
    Fleet, Published, PublishedOptions, RateLimits, RateLimitsParts, Source, StateExchange,
    StateExchangeOptions, StateExchangeParts, Trials, TrialsParts, peer_messages,
};
use mangofront_peers::{
    ListedPeer, MemberChange, MemberState, Peers, PeersOptions, Responder, Service,
};
use mangofront_telemetry::metrics::Metrics;
use mangofront_upstream::{Connections, ConnectionsOptions};
use xxhash_rust::xxh3::xxh3_64;

/// Availability zones of the fleet.
pub const ZONES: usize = 3;

/// Daemons of each zone.
pub const ZONE_DAEMONS: usize = 9;

/// Daemons of the fleet.
pub const DAEMONS: usize = ZONES * ZONE_DAEMONS;

/// Longest time for which a revoked key may be accepted.
const KEY_LEASE: Duration = Duration::from_secs(5);

/// Time within which a change must take effect.
pub const CHANGE_BOUND: Duration = Duration::from_secs(3);

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);

/// Silence after which a member is suspected; longer than a stall of the test process.
const SUSPECT_AFTER: Duration = Duration::from_secs(4);

const GOSSIP_BYTES_PER_S: u32 = 20_000;

const REGION: &str = "tuul";

const PEER_PORT: u16 = 8229;

const EXCHANGE_PORT: u16 = 7340;

/// Number of daemons from which load updates go through relays.
const RELAY_FROM_DAEMONS: usize = 100;

static FLEETS: AtomicU8 = AtomicU8::new(0);

/// Index of a daemon in the fleet.
pub type DaemonIndex = usize;

#[derive(Debug)]
pub struct Daemon {
    pub upstreams: Upstreams,
    pub published: Published,
    peers: Peers,
    _background: Vec<JoinHandle<()>>,
}

/// The values that a daemon has in force: the version of the configuration, and each
/// upstream with whether it is draining.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    pub version: Option<u64>,
    pub upstreams: BTreeMap<String, bool>,
}

/// Loopback addresses of one fleet.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    network: u8,
    fleet: u8,
}

impl Network {
    /// A network that no other fleet on this machine uses.
    pub fn free() -> Self {
        Self {
            network: reserve_network(),
            fleet: FLEETS.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn ip(self, index: DaemonIndex) -> IpAddr {
        let last = u8::try_from(index + 1).expect("a fleet fits into a network");
        Ipv4Addr::new(127, self.network, self.fleet, last).into()
    }

    fn peer(self, index: DaemonIndex) -> ListedPeer {
        ListedPeer {
            instance: name(index),
            region: REGION.to_owned(),
            availability_zone: zone(index),
            address: SocketAddr::new(self.ip(index), PEER_PORT),
            leaving: false,
        }
    }
}

impl Daemon {
    /// Starts a daemon that follows `source`.
    pub async fn start(network: Network, index: DaemonIndex, source: Rc<dyn Source>) -> Self {
        let (updates, queue) = mpsc::unbounded();
        let salt = xxh3_64(name(index).as_bytes());
        let upstreams =
            Upstreams::new(ChoiceOptions::default(), zone(index), salt, updates.clone());
        let published = Published::new(
            PublishedOptions::for_bounds(KEY_LEASE, CHANGE_BOUND),
            upstreams.clone(),
            connections(),
        );
        let exchange_cell: Rc<OnceCell<Rc<StateExchange>>> = Rc::default();
        let peers = start_peers(network, index, &published, &exchange_cell);
        let options = StateExchangeOptions {
            address: SocketAddr::new(network.ip(index), EXCHANGE_PORT),
            instance: name(index),
            zone: zone(index),
            relay_from_daemons: RELAY_FROM_DAEMONS,
        };
        let (sender, _messages) = peer_messages();
        let limits = RateLimits::new(RateLimitsParts {
            instance: name(index),
            upstreams: upstreams.clone(),
            cold_upstreams: published.cold_upstreams().clone(),
            peers: peers.clone(),
            fleet: Fleet::new(&name(index), peers.clone(), upstreams.clone()),
            updates,
            messages: sender.clone(),
            metrics: Metrics::new().expect("the metrics are set up"),
        });
        let trials = Trials::new(TrialsParts {
            instance: name(index),
            peers: peers.clone(),
            upstreams: upstreams.clone(),
            messages: sender,
        });
        let parts = StateExchangeParts {
            peers: peers.clone(),
            upstreams: upstreams.clone(),
            published: published.clone(),
            limits,
            trials,
        };
        let exchange = StateExchange::start(options, parts).await;
        let exchange = exchange.expect("the address is free");
        // The cell is set only here.
        let _ = exchange_cell.set(Rc::clone(&exchange));
        let background = vec![
            spawn(published.clone().follow(source, Rc::clone(&exchange))),
            spawn(Rc::clone(&exchange).broadcast(queue)),
            spawn(Rc::clone(&exchange).rebroadcast_running()),
            spawn(exchange.receive()),
        ];
        Self {
            upstreams,
            published,
            peers,
            _background: background,
        }
    }

    /// Whether the daemon would select an upstream.
    pub fn accepts_work(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.accepts_work(upstream)
    }

    /// Whether the daemon sees all members of the fleet alive.
    pub fn sees_all(&self) -> bool {
        let members = self.peers.members();
        let alive = members
            .iter()
            .filter(|member| member.state == MemberState::Alive);
        self.peers.view_fresh() && alive.count() == DAEMONS
    }

    pub fn view(&self) -> View {
        let status = self.upstreams.status().into_iter();
        View {
            version: self.published.table().map(|table| table.version()),
            upstreams: status
                .map(|status| (status.upstream.id, status.upstream.leaving))
                .collect(),
        }
    }

    /// Stops the membership and frees the address.
    pub fn stop(&self) {
        self.peers.stop();
    }
}

/// Name of a daemon.
pub fn name(index: DaemonIndex) -> String {
    format!("{}-{}", zone(index), index / ZONES)
}

/// Availability zone of a daemon.
pub fn zone(index: DaemonIndex) -> String {
    ["hall-a", "hall-b", "hall-c"][index % ZONES].to_owned()
}

fn start_peers(
    network: Network,
    index: DaemonIndex,
    published: &Published,
    exchange: &Rc<OnceCell<Rc<StateExchange>>>,
) -> Peers {
    let listen = SocketAddr::new(network.ip(index), PEER_PORT);
    let options = PeersOptions::builder(name(index), REGION, zone(index), listen)
        .heartbeat_period(HEARTBEAT_PERIOD)
        .suspect_after(SUSPECT_AFTER)
        .gossip_bytes_per_s(GOSSIP_BYTES_PER_S)
        .build();
    let exchange = Rc::clone(exchange);
    let on_change = Rc::new(move |change: MemberChange| {
        let member = &change.member;
        if let Some(exchange) = exchange.get().filter(|_| !member.state.is_responsive()) {
            exchange.remove_daemon(&member.instance);
        }
    });
    let published = published.clone();
    let responder: Responder = Rc::new(move |_from, service, request| {
        let answer = match service {
            Service::Platform => published.answer_copy_request(&request),
            Service::Once | Service::Placement => Bytes::new(),
        };
        async move { answer }.boxed_local()
    });
    let peers = Peers::start(options, on_change, responder).expect("the address is free");
    let others = (0..DAEMONS).filter(|other| *other != index);
    let listed: Vec<ListedPeer> = others.map(|other| network.peer(other)).collect();
    peers.set_listed(&listed);
    peers
}

fn connections() -> Connections {
    Connections::new(ConnectionsOptions {
        connect_timeout: Duration::from_millis(500),
        idle_limit: 1,
        idle_timeout: Duration::from_secs(1),
        ..ConnectionsOptions::default()
    })
}

/// A loopback network that no other test process uses.
fn reserve_network() -> u8 {
    static RESERVED: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let (network, _listener) = RESERVED.get_or_init(|| {
        let take = |network: u8| {
            let address = SocketAddr::from(([127, network, 255, 1], EXCHANGE_PORT));
            TcpListener::bind(address)
                .ok()
                .map(|listener| (network, listener))
        };
        (40..240).find_map(take).expect("a network is free")
    });
    *network
}
