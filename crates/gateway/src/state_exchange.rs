//! Exchange of state between daemons by UDP datagram: load updates, changes of upstreams,
//! and confirmations of the published values.
//!
//! Engines report their load with a delay, so two daemons that look for an idle engine at
//! the same time would select the same one. Each placement, first event and end of a
//! request is therefore broadcast to every other daemon: directly in a small fleet, through
//! relays in a large one ([`mangofront_dissemination`]). Datagrams may be lost; a request
//! that other daemons reported expires on its own. Membership comes from
//! `mangofront-peers`, whose connections would add a round trip and several thread switches
//! to each of these messages.

mod broadcast;
mod incarnations;
mod queries;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::UdpSocket;
use futures_channel::mpsc::UnboundedSender;
use futures_util::StreamExt;
use mangofront_dissemination::{
    Batch, COALESCING_WINDOW, IncarnationId, LatestSequences, Origin, Peer, PendingBatches,
    RELAYS_PER_ZONE, Sequence, Topology,
};
use mangofront_engines::{LoadUpdate, Upstreams};
use mangofront_peers::{Member, Peers};
use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::datagram::{Datagram, Message, Nonce, split_into_datagrams};
use crate::peer_messages::{Outgoing, PeerMessages};
use crate::published::Published;
use crate::quarantine::Trials;
use crate::rate_limits::RateLimits;
use queries::RawReply;
pub(crate) use queries::{QueryGroup, Reply};

/// Largest datagram that can be received, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Prefix of the duty of relaying load updates in a zone; the number of a shard follows.
const RELAY_DUTY: &str = "relay-news";

/// Age up to which the broadcast topology is reused: membership changes more slowly, and
/// iterating over hundreds of members for each batch would cost more than sending it.
const TOPOLOGY_MAX_AGE: Duration = Duration::from_millis(250);

/// Time until a directly addressed daemon has applied an update: the latency between zones
/// and two scheduling delays on busy CPUs. Relays add half a window twice.
const DIRECT_DELIVERY_DELAY: Duration = Duration::from_millis(4);

/// Pause after a failed receive, so that a persistent error does not cause a busy loop.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Error of a state exchange that could not be started.
#[derive(Debug, Error)]
#[error("listening for datagrams on {address} failed: {cause}")]
pub struct StateExchangeError {
    address: SocketAddr,
    cause: io::Error,
}

impl StateExchangeError {
    /// Whether another process uses the address.
    #[must_use]
    pub fn is_address_in_use(&self) -> bool {
        self.cause.kind() == io::ErrorKind::AddrInUse
    }
}

/// Settings of a [`StateExchange`].
#[derive(Debug, Clone)]
pub struct StateExchangeOptions {
    /// Address to listen on; the other daemons listen on the same port.
    pub address: SocketAddr,
    /// Name of this daemon.
    pub instance: InstanceId,
    /// Availability zone of this daemon.
    pub zone: AvailabilityZone,
    /// Number of other daemons from which load updates go through relays.
    pub relay_from_daemons: usize,
}

/// Dependencies of a [`StateExchange`].
#[derive(Debug)]
pub struct StateExchangeParts {
    /// Membership of the other daemons.
    pub peers: Peers,
    /// The upstreams and their load.
    pub upstreams: Upstreams,
    /// The published values in force.
    pub published: Published,
    /// Rate limits of the upstreams.
    pub limits: RateLimits,
    /// Trials of what crashes upstreams.
    pub trials: Trials,
}

/// Sends state to the other daemons and receives theirs.
#[derive(Debug)]
pub struct StateExchange {
    socket: UdpSocket,
    own_address: SocketAddr,
    relay_from_daemons: usize,
    peers: Peers,
    daemon_hash: u64,
    zone: AvailabilityZone,
    upstreams: Upstreams,
    /// Current incarnation of each other daemon, by the hash of its name.
    incarnations: RefCell<HashMap<u64, Incarnation>>,
    published: Published,
    limits: RateLimits,
    trials: Trials,
    /// Queries that wait for replies.
    pending_queries: RefCell<HashMap<Nonce, UnboundedSender<RawReply>>>,
    nonce_counter: Cell<Nonce>,
    next_sequence: Cell<Sequence>,
    sequences: RefCell<LatestSequences>,
    topology: RefCell<Option<(Instant, Rc<Topology>)>>,
    /// Batches that this daemon has to forward as a relay.
    pending: RefCell<PendingBatches<LoadUpdate>>,
    /// Whether a task is running that forwards the pending batches.
    is_forwarding: Cell<bool>,
    /// When a relay of the zone last forwarded a batch to this daemon.
    last_relay_received: Cell<Option<Instant>>,
}

impl StateExchange {
    /// Binds the socket on which the other daemons are received.
    ///
    /// # Errors
    /// [`StateExchangeError`] if the address can't be bound.
    pub async fn start(
        options: StateExchangeOptions,
        parts: StateExchangeParts,
    ) -> Result<Rc<Self>, StateExchangeError> {
        let StateExchangeParts {
            peers,
            upstreams,
            published,
            limits,
            trials,
        } = parts;
        let address = options.address;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|cause| StateExchangeError { address, cause })?;
        Ok(Rc::new(Self {
            socket,
            own_address: address,
            relay_from_daemons: options.relay_from_daemons,
            daemon_hash: xxh3_64(options.instance.as_bytes()),
            zone: options.zone,
            upstreams,
            incarnations: RefCell::default(),
            published,
            limits,
            trials,
            pending_queries: RefCell::default(),
            // The incarnation is mixed in, so that no query of an earlier incarnation has
            // the nonce of a current one.
            nonce_counter: Cell::new(xxh3_64(options.instance.as_bytes()) ^ peers.incarnation()),
            peers,
            next_sequence: Cell::new(1),
            sequences: RefCell::default(),
            topology: RefCell::default(),
            pending: RefCell::default(),
            is_forwarding: Cell::default(),
            last_relay_received: Cell::default(),
        }))
    }

    async fn send_all(&self, message: Message, to: &[SocketAddr]) {
        let datagram = Datagram::encode(self.own_origin(), message);
        for address in to {
            self.send(datagram.clone(), *address).await;
        }
    }

    fn next_sequence(&self) -> Sequence {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        sequence
    }

    /// The broadcast topology, recomputed when it is too old.
    fn topology(&self) -> Rc<Topology> {
        let mut topology = self.topology.borrow_mut();
        match topology.as_ref() {
            Some((at, topology)) if at.elapsed() < TOPOLOGY_MAX_AGE => Rc::clone(topology),
            _ => {
                let current = Rc::new(self.compute_topology());
                let uses_relays = current.uses_relays(self.relay_from_daemons);
                self.upstreams.set_update_delay(match uses_relays {
                    true => DIRECT_DELIVERY_DELAY + COALESCING_WINDOW,
                    false => DIRECT_DELIVERY_DELAY,
                });
                *topology = Some((Instant::now(), Rc::clone(&current)));
                current
            }
        }
    }

    fn compute_topology(&self) -> Topology {
        let members = self.peers.members().into_iter();
        let own = self.peers.address();
        let peers: Vec<Peer> = members
            .filter(|member| member.state.is_responsive() && member.address != own)
            .map(|member| Peer {
                address: self.exchange_address(&member),
                zone: member.availability_zone,
            })
            .collect();
        let addresses = |members: Vec<Member>| {
            let addresses = members.iter().map(|member| self.exchange_address(member));
            addresses.collect()
        };
        let relays = |shard: usize| {
            let duty = format!("{RELAY_DUTY}-{shard}");
            let relays = self
                .peers
                .delegates_by_capacity(&duty, RELAYS_PER_ZONE)
                .into_iter();
            relays
                .map(|(zone, members)| (zone, addresses(members)))
                .collect()
        };
        Topology::new(self.own_address, &self.zone, &peers, relays)
    }

    /// Address on which a member receives datagrams.
    fn exchange_address(&self, member: &Member) -> SocketAddr {
        SocketAddr::new(member.address.ip(), self.own_address.port())
    }

    async fn send(&self, datagram: Vec<u8>, to: SocketAddr) {
        let sent = self.socket.send_to(datagram, to).await;
        if let Err(error) = sent.0 {
            log::debug!("gateway: sending a datagram to {to} failed: {error}");
        }
    }

    /// Number of daemons in the zone of this one, itself included.
    pub(crate) fn zone_daemon_count(&self) -> usize {
        self.topology().zone_peers.len() + 1
    }

    /// A number that differs between calls and between daemons.
    pub(crate) fn next_nonce(&self) -> Nonce {
        let nonce = self.nonce_counter.get();
        self.nonce_counter.set(nonce.wrapping_add(1));
        nonce
    }

    /// A pseudorandom number below `count`, which must not be zero.
    fn draw_below(&self, count: usize) -> usize {
        let drawn = xxh3_64(&self.next_nonce().to_le_bytes());
        (drawn % count as u64) as usize
    }

    /// Receives and handles datagrams, forever.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let received = self.socket.recv_from(buffer).await;
            buffer = received.1;
            match received.0 {
                Ok((length, from)) => {
                    let bytes = buffer.get(..length).unwrap_or_default();
                    let from = SocketAddr::new(from.ip(), self.own_address.port());
                    self.handle_datagram(bytes, from).await;
                }
                Err(error) => {
                    log::debug!("gateway: receiving a datagram failed: {error}");
                    compio::time::sleep(RECEIVE_RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Sends all unfinished requests to a daemon that has just started or was unreachable.
    async fn send_load_snapshot(&self, to: SocketAddr) {
        let mut snapshot = self.upstreams.load_snapshot();
        snapshot.extend(self.limits.snapshot());
        for part in split_into_datagrams(snapshot) {
            self.send(self.datagram(Message::LoadSnapshot(part)), to)
                .await;
        }
    }

    /// Handles one datagram.
    async fn handle_datagram(self: &Rc<Self>, bytes: &[u8], from: SocketAddr) {
        let Some(Datagram { sender, message }) = Datagram::decode(bytes) else {
            log::debug!(
                "gateway: datagram of {} bytes could not be decoded",
                bytes.len()
            );
            return;
        };
        if !self.record_sender(&sender, from).await {
            return;
        }
        match message {
            Message::LoadUpdates(sequence, updates) => {
                let batch = Batch {
                    origin: sender,
                    sequence,
                    updates,
                };
                self.apply_batch(&batch).await;
            }
            Message::Forward(scope, batches) => {
                let topology = self.topology();
                for batch in batches {
                    let rank = topology.rank_or_last(batch.origin.daemon);
                    if self.apply_batch(&batch).await {
                        self.enqueue(batch, scope, rank);
                    }
                }
            }
            Message::Forwarded(batches) => {
                self.last_relay_received.set(Some(Instant::now()));
                let ids = batches.iter();
                let ids = ids.map(|batch| (batch.origin.incarnation_id(), batch.sequence));
                self.pending.borrow_mut().remove_forwarded(ids);
                for batch in &batches {
                    self.apply_batch(batch).await;
                }
            }
            Message::LoadSnapshot(updates) => {
                self.apply_updates(sender.incarnation_id(), updates, from)
                    .await
            }
            Message::RequestLoadSnapshot => self.send_load_snapshot(from).await,
            Message::Query(nonce, after) => {
                if let Some(confirmation) = self.published.confirmation() {
                    let upstreams = self.published.changes_after(after);
                    let reply = self.datagram(Message::Reply(nonce, confirmation, upstreams));
                    self.send(reply, from).await;
                }
            }
            Message::Reply(nonce, confirmation, upstreams) => {
                if let Some(sender) = self.pending_queries.borrow().get(&nonce) {
                    // The query may have ended already.
                    let _ = sender.unbounded_send(RawReply {
                        from,
                        confirmation,
                        upstreams,
                    });
                }
            }
            Message::PublishedChanges(relayed) => self.published.apply_relayed(relayed, &sender),
            Message::RateLimits(message) => self.limits.handle(&sender, message),
            Message::Trial(message) => self.trials.handle(&sender, message),
        }
    }

    /// Sends the messages that arrive in `queue`, forever.
    pub async fn send_messages(self: Rc<Self>, mut queue: PeerMessages) {
        while let Some(Outgoing { to, message }) = queue.0.next().await {
            let port = self.own_address.port();
            let to: Vec<SocketAddr> = to.into_iter().map(|ip| SocketAddr::new(ip, port)).collect();
            self.send_all(message, &to).await;
        }
    }

    async fn apply_updates(
        &self,
        incarnation: IncarnationId,
        updates: Vec<LoadUpdate>,
        from: SocketAddr,
    ) {
        let mut has_unknown = false;
        for update in updates {
            match update {
                LoadUpdate::RateLimit(observation) => self.limits.merge(&observation),
                LoadUpdate::Cold(observation) => self.limits.merge_told_cold(&observation),
                update => has_unknown |= self.upstreams.apply_update(incarnation, update),
            }
        }
        if has_unknown {
            self.send(self.datagram(Message::RequestLoadSnapshot), from)
                .await;
        }
    }

    /// This daemon and its incarnation, as the origin of a message.
    fn own_origin(&self) -> Origin {
        Origin {
            daemon: self.daemon_hash,
            incarnation: self.peers.incarnation(),
            address: self.own_address.ip(),
            zone: self.zone.clone(),
        }
    }

    fn datagram(&self, message: Message) -> Vec<u8> {
        Datagram::encode(self.own_origin(), message)
    }
}
