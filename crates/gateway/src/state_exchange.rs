//! What daemons tell each other by datagram: where they have just placed
//! requests, what has changed among the upstreams, and how far they know what is
//! published.
//!
//! Engines report their load late, so two daemons that each look for an idle
//! engine would meet at the same one. Each placement, first event and end is
//! told to every other daemon: at once by the teller itself in a small fleet, by
//! relays in a large one ([`mangofront_dissemination`]). Datagrams may be lost: a
//! request that is heard of expires by itself. Membership comes from
//! `mangofront-peers`, whose links would cost a round trip and several thread
//! switches for each of these messages.

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
use mangofront_dissemination::{
    Held, Life, Neighbour, Paths, RELAYS, Sequence, Sequences, Teller, Telling, WINDOW,
};
use mangofront_engines::{News, Upstreams};
use mangofront_peers::{Member, Peers};
use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::datagram::{Datagram, Message, Nonce, parts};
use crate::published::Published;
use queries::Answer;
pub(crate) use queries::{Circle, Told};

/// Largest datagram that is read, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Duty of passing news on in a zone; the number of a slice follows.
const RELAY_DUTY: &str = "relay-news";

/// Age up to which it is taken for known who relays: membership changes more slowly,
/// and looking through hundreds of members for each telling would cost more than it.
const PATHS_AGE: Duration = Duration::from_millis(250);

/// Time until a daemon that is told directly has taken it in: a way between zones and
/// two turns of busy processors. Relays hold it for half a window twice.
const TELLING_DELAY: Duration = Duration::from_millis(4);

/// Pause after a failed reading, so that a lasting fault does not spin.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Exchange that could not be started.
#[derive(Debug, Error)]
#[error("listen for news on {address} failed: {cause}")]
pub struct StateExchangeError {
    address: SocketAddr,
    cause: io::Error,
}

impl StateExchangeError {
    /// Whether another process has the address.
    #[must_use]
    pub fn is_address_in_use(&self) -> bool {
        self.cause.kind() == io::ErrorKind::AddrInUse
    }
}

/// Settings of [`StateExchange`].
#[derive(Debug, Clone)]
pub struct StateExchangeOptions {
    /// Address to listen on; the other daemons listen on the same port.
    pub address: SocketAddr,
    /// Name of this daemon.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Other daemons from which on news is relayed.
    pub relay_from_daemons: usize,
}

/// News from and to the other daemons.
#[derive(Debug)]
pub struct StateExchange {
    socket: UdpSocket,
    own: SocketAddr,
    relay_from_daemons: usize,
    peers: Peers,
    daemon: u64,
    zone: AvailabilityZone,
    upstreams: Upstreams,
    /// Lives of the other daemons, by their short names.
    lives: RefCell<HashMap<u64, Incarnation>>,
    published: Published,
    /// Questions whose answers are awaited.
    asked: RefCell<HashMap<Nonce, UnboundedSender<Answer>>>,
    next_nonce: Cell<Nonce>,
    next_sequence: Cell<Sequence>,
    sequences: RefCell<Sequences>,
    paths: RefCell<Option<(Instant, Rc<Paths>)>>,
    /// What this daemon has to pass on.
    held: RefCell<Held<News>>,
    /// Whether a task waits to pass on what is held.
    is_passing_on: Cell<bool>,
    /// When a relay of the zone last passed something on to this daemon.
    relay_heard: Cell<Option<Instant>>,
}

impl StateExchange {
    /// Listens for the other daemons.
    ///
    /// # Errors
    /// [`StateExchangeError`] when the address can't be had.
    pub async fn start(
        options: StateExchangeOptions,
        peers: Peers,
        upstreams: Upstreams,
        published: Published,
    ) -> Result<Rc<Self>, StateExchangeError> {
        let address = options.address;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|cause| StateExchangeError { address, cause })?;
        Ok(Rc::new(Self {
            socket,
            own: address,
            relay_from_daemons: options.relay_from_daemons,
            daemon: xxh3_64(options.instance.as_bytes()),
            zone: options.zone,
            upstreams,
            lives: RefCell::default(),
            published,
            asked: RefCell::default(),
            // No question of an earlier life has the number of one of this life.
            next_nonce: Cell::new(xxh3_64(options.instance.as_bytes()) ^ peers.incarnation()),
            peers,
            next_sequence: Cell::new(1),
            sequences: RefCell::default(),
            paths: RefCell::default(),
            held: RefCell::default(),
            is_passing_on: Cell::default(),
            relay_heard: Cell::default(),
        }))
    }

    async fn send_all(&self, message: Message, to: &[SocketAddr]) {
        let datagram = Datagram::write(self.teller(), message);
        for address in to {
            self.send(datagram.clone(), *address).await;
        }
    }

    fn next_sequence(&self) -> Sequence {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        sequence
    }

    /// Whom to tell, as of a moment ago.
    fn paths(&self) -> Rc<Paths> {
        let mut paths = self.paths.borrow_mut();
        match paths.as_ref() {
            Some((at, paths)) if at.elapsed() < PATHS_AGE => Rc::clone(paths),
            _ => {
                let looked_up = Rc::new(self.look_up_paths());
                let is_relayed = looked_up.is_relayed(self.relay_from_daemons);
                self.upstreams.set_news_delay(match is_relayed {
                    true => TELLING_DELAY + WINDOW,
                    false => TELLING_DELAY,
                });
                *paths = Some((Instant::now(), Rc::clone(&looked_up)));
                looked_up
            }
        }
    }

    fn look_up_paths(&self) -> Paths {
        let members = self.peers.members().into_iter();
        let own = self.peers.address();
        let neighbours: Vec<Neighbour> = members
            .filter(|member| member.state.answers() && member.address != own)
            .map(|member| Neighbour {
                address: self.news_address(&member),
                zone: member.availability_zone,
            })
            .collect();
        let addresses = |members: Vec<Member>| {
            let addresses = members.iter().map(|member| self.news_address(member));
            addresses.collect()
        };
        let relays = |slice: usize| {
            let duty = format!("{RELAY_DUTY}-{slice}");
            let relays = self.peers.delegates_by_zone(&duty, RELAYS).into_iter();
            relays
                .map(|(zone, members)| (zone, addresses(members)))
                .collect()
        };
        Paths::new(self.own, &self.zone, &neighbours, relays)
    }

    /// Where a member listens for news.
    fn news_address(&self, member: &Member) -> SocketAddr {
        SocketAddr::new(member.address.ip(), self.own.port())
    }

    async fn send(&self, datagram: Vec<u8>, to: SocketAddr) {
        let sent = self.socket.send_to(datagram, to).await;
        if let Err(error) = sent.0 {
            log::debug!("gateway: datagram to {to} failed: {error}");
        }
    }

    /// Daemons of the own zone, this one included.
    pub(crate) fn zone_daemons(&self) -> usize {
        self.paths().zone.len() + 1
    }

    /// A number that differs each time and between daemons.
    pub(crate) fn next_draw(&self) -> Nonce {
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce.wrapping_add(1));
        nonce
    }

    /// A number below `count`, which is not zero, drawn anew each time.
    fn draw_below(&self, count: usize) -> usize {
        let drawn = xxh3_64(&self.next_draw().to_le_bytes());
        (drawn % count as u64) as usize
    }

    /// Hears what the others tell, for ever.
    pub async fn receive(self: Rc<Self>) {
        let mut buffer = Vec::with_capacity(BUFFER_BYTES);
        loop {
            buffer.clear();
            let received = self.socket.recv_from(buffer).await;
            buffer = received.1;
            match received.0 {
                Ok((length, from)) => {
                    let bytes = buffer.get(..length).unwrap_or_default();
                    let from = SocketAddr::new(from.ip(), self.own.port());
                    self.take(bytes, from).await;
                }
                Err(error) => {
                    log::debug!("gateway: news could not be read: {error}");
                    compio::time::sleep(FAILURE_PAUSE).await;
                }
            }
        }
    }

    /// Tells a daemon that has just started, or was out of reach, of all that has
    /// not ended.
    async fn introduce(&self, to: SocketAddr) {
        for part in parts(self.upstreams.introduction()) {
            self.send(self.datagram(Message::Introduction(part)), to)
                .await;
        }
    }

    /// Takes in a datagram.
    async fn take(self: &Rc<Self>, bytes: &[u8], from: SocketAddr) {
        let Some(Datagram { sender, message }) = Datagram::read(bytes) else {
            log::debug!("gateway: a datagram of {} bytes can't be read", bytes.len());
            return;
        };
        if !self.meet(&sender, from).await {
            return;
        }
        match message {
            Message::News(sequence, news) => {
                let telling = Telling {
                    teller: sender,
                    sequence,
                    news,
                };
                self.take_telling(&telling).await;
            }
            Message::PassOn(scope, tellings) => {
                let paths = self.paths();
                for telling in tellings {
                    let rank = paths.rank_or_last(telling.teller.daemon);
                    if self.take_telling(&telling).await {
                        self.hold(telling, scope, rank);
                    }
                }
            }
            Message::PassedOn(tellings) => {
                self.relay_heard.set(Some(Instant::now()));
                let names = tellings.iter();
                let names = names.map(|telling| (telling.teller.life(), telling.sequence));
                self.held.borrow_mut().passed_on(names);
                for telling in &tellings {
                    self.take_telling(telling).await;
                }
            }
            Message::Introduction(news) => self.take_news(sender.life(), news, from).await,
            Message::Introduce => self.introduce(from).await,
            Message::Ask(nonce, after) => {
                if let Some(known) = self.published.confirmation() {
                    let upstreams = self.published.changes_after(after);
                    let answer = self.datagram(Message::Confirmed(nonce, known, upstreams));
                    self.send(answer, from).await;
                }
            }
            Message::Confirmed(nonce, known, upstreams) => {
                if let Some(asker) = self.asked.borrow().get(&nonce) {
                    // Whoever asked may have given up waiting.
                    let _ = asker.unbounded_send(Answer {
                        from,
                        known,
                        upstreams,
                    });
                }
            }
            Message::Changed(relayed) => self.published.take_relayed(relayed, &sender),
        }
    }

    async fn take_news(&self, life: Life, news: Vec<News>, from: SocketAddr) {
        let mut has_unknown = false;
        for one in news {
            has_unknown |= self.upstreams.hear(life, one);
        }
        if has_unknown {
            self.send(self.datagram(Message::Introduce), from).await;
        }
    }

    /// This daemon, as it names itself.
    fn teller(&self) -> Teller {
        Teller {
            daemon: self.daemon,
            incarnation: self.peers.incarnation(),
            address: self.own.ip(),
            zone: self.zone.clone(),
        }
    }

    fn datagram(&self, message: Message) -> Vec<u8> {
        Datagram::write(self.teller(), message)
    }
}
