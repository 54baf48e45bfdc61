//! One daemon as far as it follows what is published, on a loopback address of its own.

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
    Published, PublishedOptions, Source, StateExchange, StateExchangeOptions,
};
use mangofront_peers::{
    ListedPeer, MemberChange, MemberState, Peers, PeersOptions, Responder, Service,
};
use mangofront_upstream::{Connections, ConnectionsOptions};
use xxhash_rust::xxh3::xxh3_64;

/// Availability zones of a fleet.
pub const ZONES: usize = 3;

/// Daemons of each zone.
pub const ZONE_DAEMONS: usize = 9;

/// Daemons of a fleet.
pub const DAEMONS: usize = ZONES * ZONE_DAEMONS;

/// Bound on a key that was taken back.
const KEY_LEASE: Duration = Duration::from_secs(5);

/// Bound on the time within which a change is acted on.
pub const CHANGE_BOUND: Duration = Duration::from_secs(3);

const HEARTBEAT_PERIOD: Duration = Duration::from_millis(200);

/// Silence after which a member is suspected; a stall of the test process is shorter.
const SUSPECT_AFTER: Duration = Duration::from_secs(4);

const NEWS_BYTES_PER_S: u32 = 20_000;

const REGION: &str = "tuul";

const PEER_PORT: u16 = 8229;

const NEWS_PORT: u16 = 7340;

/// Daemons from which on news is relayed.
const RELAY_FROM_DAEMONS: usize = 100;

static FLEETS: AtomicU8 = AtomicU8::new(0);

/// A daemon's place in the fleet.
pub type Place = usize;

/// A running daemon.
#[derive(Debug)]
pub struct Daemon {
    pub upstreams: Upstreams,
    pub published: Published,
    peers: Peers,
    _background: Vec<JoinHandle<()>>,
}

/// What a daemon has in force: the configuration's version, and each upstream with
/// whether it leaves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct View {
    pub version: Option<u64>,
    pub upstreams: BTreeMap<String, bool>,
}

/// Addresses of one fleet.
#[derive(Debug, Clone, Copy)]
pub struct Network {
    network: u8,
    fleet: u8,
}

impl Network {
    /// A network that nobody else on this machine uses.
    pub fn free() -> Self {
        Self {
            network: network(),
            fleet: FLEETS.fetch_add(1, Ordering::Relaxed),
        }
    }

    fn ip(self, place: Place) -> IpAddr {
        let last = u8::try_from(place + 1).expect("a fleet fits into a network");
        Ipv4Addr::new(127, self.network, self.fleet, last).into()
    }

    fn peer(self, place: Place) -> ListedPeer {
        ListedPeer {
            instance: name(place),
            region: REGION.to_owned(),
            availability_zone: zone(place),
            address: SocketAddr::new(self.ip(place), PEER_PORT),
            leaving: false,
        }
    }
}

impl Daemon {
    /// Starts a daemon that follows `source`.
    pub async fn start(network: Network, place: Place, source: Rc<dyn Source>) -> Self {
        let (tell, told) = mpsc::unbounded();
        let salt = xxh3_64(name(place).as_bytes());
        let upstreams = Upstreams::new(ChoiceOptions::default(), zone(place), salt, tell);
        let published = Published::new(
            PublishedOptions::for_bounds(KEY_LEASE, CHANGE_BOUND),
            upstreams.clone(),
            connections(),
        );
        let sharing_cell: Rc<OnceCell<Rc<StateExchange>>> = Rc::default();
        let peers = start_peers(network, place, &published, &sharing_cell);
        let options = StateExchangeOptions {
            address: SocketAddr::new(network.ip(place), NEWS_PORT),
            instance: name(place),
            zone: zone(place),
            relay_from_daemons: RELAY_FROM_DAEMONS,
        };
        let sharing =
            StateExchange::start(options, peers.clone(), upstreams.clone(), published.clone())
                .await;
        let sharing = sharing.expect("the address is free");
        // Set once, right here.
        let _ = sharing_cell.set(Rc::clone(&sharing));
        let background = vec![
            spawn(published.clone().follow(source, Rc::clone(&sharing))),
            spawn(Rc::clone(&sharing).broadcast(told)),
            spawn(Rc::clone(&sharing).rebroadcast_running()),
            spawn(sharing.receive()),
        ];
        Self {
            upstreams,
            published,
            peers,
            _background: background,
        }
    }

    /// Whether it would choose an upstream.
    pub fn takes_work(&self, upstream: UpstreamKey) -> bool {
        self.upstreams.accepts_work(upstream)
    }

    /// Whether it sees the whole fleet alive.
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

    /// Ends its membership and frees its address.
    pub fn stop(&self) {
        self.peers.stop();
    }
}

/// Name of a daemon.
pub fn name(place: Place) -> String {
    format!("{}-{}", zone(place), place / ZONES)
}

/// Zone of a daemon.
pub fn zone(place: Place) -> String {
    ["hall-a", "hall-b", "hall-c"][place % ZONES].to_owned()
}

fn start_peers(
    network: Network,
    place: Place,
    published: &Published,
    sharing: &Rc<OnceCell<Rc<StateExchange>>>,
) -> Peers {
    let listen = SocketAddr::new(network.ip(place), PEER_PORT);
    let options = PeersOptions::builder(name(place), REGION, zone(place), listen)
        .heartbeat_period(HEARTBEAT_PERIOD)
        .suspect_after(SUSPECT_AFTER)
        .gossip_bytes_per_s(NEWS_BYTES_PER_S)
        .build();
    let sharing = Rc::clone(sharing);
    let on_change = Rc::new(move |change: MemberChange| {
        let member = &change.member;
        if let Some(sharing) = sharing.get().filter(|_| !member.state.is_responsive()) {
            sharing.remove_daemon(&member.instance);
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
    let others = (0..DAEMONS).filter(|other| *other != place);
    let listed: Vec<ListedPeer> = others.map(|other| network.peer(other)).collect();
    peers.set_listed(&listed);
    peers
}

fn connections() -> Connections {
    Connections::new(ConnectionsOptions {
        connect_timeout: Duration::from_millis(500),
        idle_limit: 1,
        idle_timeout: Duration::from_secs(1),
    })
}

/// A loopback network that no other process of tests holds.
fn network() -> u8 {
    static HELD: OnceLock<(u8, TcpListener)> = OnceLock::new();
    let (network, _listener) = HELD.get_or_init(|| {
        let take = |network: u8| {
            let address = SocketAddr::from(([127, network, 255, 1], NEWS_PORT));
            TcpListener::bind(address).ok().map(|held| (network, held))
        };
        (40..240).find_map(take).expect("a network is free")
    });
    *network
}
