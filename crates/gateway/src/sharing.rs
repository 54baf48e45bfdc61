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

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::UdpSocket;
use compio::runtime::spawn;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::oneshot;
use futures_util::StreamExt;
use mangofront_dissemination::{
    Held, Life, Neighbour, Paths, RELAY_SILENCE, RELAYS, Scope, Sequence, Sequences, Teller,
    Telling, WINDOW, life_of,
};
use mangofront_engines::{News, Upstreams};
use mangofront_peers::{Member, Peers, Service};
use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::copies::{CopyRequest, PublishedCopy};
use crate::datagram::{
    Confirmation, DATAGRAM_LIMIT_BYTES, Datagram, Message, Nonce, Relayed, parts,
};
use crate::published::Published;
use crate::published_options::ASK_TIMEOUT;

/// Largest datagram that is read, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Duty of watching what is published for a zone.
const WATCH_DUTY: &str = "watch-published";

/// Daemons of a zone that watch; two, so that one may fail.
const WATCHERS: usize = 2;

/// Duty of passing news on in a zone; the number of a slice follows.
const RELAY_DUTY: &str = "relay-news";

/// Age up to which it is taken for known who relays: membership changes more slowly,
/// and looking through hundreds of members for each telling would cost more than it.
const PATHS_AGE: Duration = Duration::from_millis(250);

/// Time until a daemon that is told directly has taken it in: a way between zones and
/// two turns of busy processors. Relays hold it for half a window twice.
const TELLING_DELAY: Duration = Duration::from_millis(4);

/// Time for a watcher to hand over what it has in force: some packets in its zone, and
/// a turn of a busy processor for each of the others that ask at the same moment.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Time between two lists of all that has not ended.
const REPEAT_PERIOD: Duration = Duration::from_secs(1);

/// Pause after a failed reading, so that a lasting fault does not spin.
const FAILURE_PAUSE: Duration = Duration::from_millis(50);

/// Sharing that could not be started.
#[derive(Debug, Error)]
#[error("listen for news on {address} failed: {cause}")]
pub struct SharingError {
    address: SocketAddr,
    cause: io::Error,
}

/// Settings of [`Sharing`].
#[derive(Debug, Clone)]
pub struct SharingOptions {
    /// Address to listen on; the other daemons listen on the same port.
    pub address: SocketAddr,
    /// Name of this daemon.
    pub instance: InstanceId,
    /// Its availability zone.
    pub zone: AvailabilityZone,
    /// Other daemons from which on news is relayed.
    pub relay_from_daemons: usize,
}

/// Name of a daemon that watches.
pub(crate) type Watcher = InstanceId;

/// Which life of a daemon something is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Known {
    New,
    Before,
    Ended,
}

/// News from and to the other daemons.
#[derive(Debug)]
pub struct Sharing {
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
    asked: RefCell<HashMap<Nonce, oneshot::Sender<Confirmation>>>,
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

impl Sharing {
    /// Listens for the other daemons.
    ///
    /// # Errors
    /// [`SharingError`] when the address can't be had.
    pub async fn start(
        options: SharingOptions,
        peers: Peers,
        upstreams: Upstreams,
        published: Published,
    ) -> Result<Rc<Self>, SharingError> {
        let address = options.address;
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|cause| SharingError { address, cause })?;
        Ok(Rc::new(Self {
            socket,
            own: address,
            relay_from_daemons: options.relay_from_daemons,
            peers,
            daemon: xxh3_64(options.instance.as_bytes()),
            zone: options.zone,
            upstreams,
            lives: RefCell::default(),
            published,
            asked: RefCell::default(),
            next_nonce: Cell::new(xxh3_64(options.instance.as_bytes())),
            next_sequence: Cell::new(1),
            sequences: RefCell::default(),
            paths: RefCell::default(),
            held: RefCell::default(),
            is_passing_on: Cell::default(),
            relay_heard: Cell::default(),
        }))
    }

    /// Tells the others what comes out of `news`, for ever.
    pub async fn tell(self: Rc<Self>, mut news: UnboundedReceiver<News>) {
        while let Some(first) = news.next().await {
            let mut batch = vec![first];
            while let Ok(next) = news.try_recv() {
                batch.push(next);
            }
            let paths = self.paths();
            if paths.is_relayed(self.relay_from_daemons) {
                self.tell_by_relays(batch, &paths).await;
            } else {
                self.tell_all(batch, &paths).await;
            }
        }
    }

    async fn tell_all(&self, news: Vec<News>, paths: &Paths) {
        for part in parts(news) {
            let message = Message::News(self.next_sequence(), part);
            self.send_all(message, &paths.others).await;
        }
    }

    /// Has the relays of the zone tell the others; does so itself while nothing is
    /// heard of them.
    async fn tell_by_relays(self: &Rc<Self>, news: Vec<News>, paths: &Paths) {
        let is_heard = |at: Instant| at.elapsed() < RELAY_SILENCE;
        let Some(slice) = paths.slice(paths.slice_of(self.daemon)) else {
            return self.tell_all(news, paths).await;
        };
        if slice.rank.is_none() && !self.relay_heard.get().is_some_and(is_heard) {
            self.tell_all(news.clone(), paths).await;
        }
        for part in parts(news) {
            let telling = Telling {
                teller: self.teller(),
                sequence: self.next_sequence(),
                news: part,
            };
            if let Some(rank) = slice.rank {
                self.hold(telling.clone(), Scope::Fleet, rank);
            }
            let message = Message::PassOn(Scope::Fleet, vec![telling]);
            self.send_all(message, &slice.relays).await;
        }
    }

    /// Holds a telling until it is to be passed on.
    fn hold(self: &Rc<Self>, telling: Telling<News>, scope: Scope, rank: usize) {
        let now = Instant::now();
        self.held.borrow_mut().hold(telling, scope, rank, now);
        if !self.is_passing_on.replace(true) {
            spawn(Rc::clone(self).pass_on()).detach();
        }
    }

    /// Passes on what is held, until nothing is left.
    async fn pass_on(self: Rc<Self>) {
        loop {
            let Some(due) = self.held.borrow().next_due() else {
                self.is_passing_on.set(false);
                return;
            };
            compio::time::sleep_until(due).await;
            let due = self.held.borrow_mut().take_due(Instant::now());
            let paths = self.paths();
            self.pass_on_far(&due, &paths).await;
            let all = due.into_iter().map(|(_, telling)| telling).collect();
            for part in parts(all) {
                self.send_all(Message::PassedOn(part), &paths.zone).await;
            }
        }
    }

    /// Passes on to the relays of the other zones what they have not heard.
    async fn pass_on_far(&self, due: &[(Scope, Telling<News>)], paths: &Paths) {
        let mut by_slice: BTreeMap<usize, Vec<Telling<News>>> = BTreeMap::new();
        let unheard = due.iter().filter(|(scope, _)| *scope == Scope::Fleet);
        for (_, telling) in unheard {
            let slice = paths.slice_of(telling.teller.daemon);
            by_slice.entry(slice).or_default().push(telling.clone());
        }
        for (slice, tellings) in by_slice {
            let far_relays = paths.slice(slice).map(|slice| slice.far_relays.as_slice());
            for part in parts(tellings) {
                let message = Message::PassOn(Scope::Zone, part);
                self.send_all(message, far_relays.unwrap_or_default()).await;
            }
        }
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

    /// Whether this daemon is one of those that watch what is published for
    /// their zone.
    pub(crate) fn is_watcher(&self) -> bool {
        self.peers.is_delegate(WATCH_DUTY, WATCHERS)
    }

    /// Asks a watcher of the zone how far it knows what is published.
    pub(crate) async fn ask(&self) -> Option<(Watcher, Confirmation)> {
        let nonce = self.next_draw();
        let watchers = self.peers.delegates(WATCH_DUTY, WATCHERS);
        let own = self.peers.address();
        let others: Vec<Member> = watchers
            .into_iter()
            .filter(|member| member.address != own)
            .collect();
        let watcher = others.get(nonce as usize % others.len().max(1))?;
        let (answer, answered) = oneshot::channel();
        self.asked.borrow_mut().insert(nonce, answer);
        let to = self.news_address(watcher);
        self.send(self.datagram(Message::Ask(nonce)), to).await;
        let answered = compio::time::timeout(ASK_TIMEOUT, answered).await;
        self.asked.borrow_mut().remove(&nonce);
        let known = answered.ok()?.ok()?;
        Some((watcher.instance.clone(), known))
    }

    /// Has a watcher hand over what it has in force.
    pub(crate) async fn fetch(
        &self,
        watcher: &Watcher,
        request: &CopyRequest,
    ) -> Option<PublishedCopy> {
        let call = self
            .peers
            .call(watcher, Service::Platform, request.write(), FETCH_TIMEOUT);
        match call.await {
            Ok(answer) => PublishedCopy::read(&answer),
            Err(error) => {
                log::debug!("gateway: what is published was not handed over: {error}");
                None
            }
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

    /// Tells the daemons of the zone what has changed.
    pub(crate) async fn tell_changed(&self, relayed: Relayed) {
        let unread = Relayed {
            upstreams: None,
            ..relayed
        };
        let mut datagram = self.datagram(Message::Changed(relayed));
        if datagram.len() > DATAGRAM_LIMIT_BYTES {
            datagram = self.datagram(Message::Changed(unread));
        }
        for address in &self.paths().zone {
            self.send(datagram.clone(), *address).await;
        }
    }

    /// Hears what the others tell, for ever.
    pub async fn hear(self: Rc<Self>) {
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

    /// Tells the others each second of all that has not ended, for ever.
    ///
    /// Each daemon at a moment of its own: daemons that started together would all
    /// tell at once, and be silent for the rest of the second.
    pub async fn repeat(self: Rc<Self>) {
        let share = self.daemon as f64 / u64::MAX as f64;
        compio::time::sleep(REPEAT_PERIOD.mul_f64(share)).await;
        loop {
            compio::time::sleep(REPEAT_PERIOD).await;
            self.upstreams.tell_running();
        }
    }

    /// Forgets the work of a daemon that is gone.
    pub fn gone(&self, instance: &InstanceId) {
        let daemon = xxh3_64(instance.as_bytes());
        if let Some(incarnation) = self.lives.borrow_mut().remove(&daemon) {
            self.forget(daemon, incarnation);
        }
    }

    /// Forgets a life that has ended, and its work.
    fn forget(&self, daemon: u64, incarnation: Incarnation) {
        let life = life_of(daemon, incarnation);
        self.upstreams.forget(life);
        self.sequences.borrow_mut().forget(life);
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
            Message::Ask(nonce) => {
                if let Some(known) = self.published.confirmation() {
                    let answer = self.datagram(Message::Confirmed(nonce, known));
                    self.send(answer, from).await;
                }
            }
            Message::Confirmed(nonce, known) => {
                if let Some(answer) = self.asked.borrow_mut().remove(&nonce) {
                    // Whoever asked may have given up waiting.
                    let _ = answer.send(known);
                }
            }
            Message::Changed(relayed) => {
                // A watcher reads for itself, and would take the same twice.
                if !self.is_watcher() {
                    self.published.take_relayed(relayed, sender.address);
                }
            }
        }
    }

    /// Takes in what a daemon told; whether it was new.
    async fn take_telling(&self, telling: &Telling<News>) -> bool {
        let teller = &telling.teller;
        let from = SocketAddr::new(teller.address, self.own.port());
        if !self.meet(teller, from).await {
            return false;
        }
        let life = teller.life();
        let is_new = self.sequences.borrow_mut().is_new(life, telling.sequence);
        if is_new {
            self.take_news(life, telling.news.clone(), from).await;
        }
        is_new
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

    /// Notes that a daemon at `from` lives; false if this life of it has ended, or it
    /// is this one.
    async fn meet(&self, other: &Teller, from: SocketAddr) -> bool {
        if other.daemon == self.daemon {
            return false;
        }
        let known = self.know(other);
        if known == Known::Ended {
            return false;
        }
        self.upstreams.heard_zone(&other.zone);
        if known == Known::New {
            self.introduce(from).await;
        }
        true
    }

    /// Whether this life of a daemon is known; work of an earlier one ended with it
    /// and is forgotten.
    fn know(&self, other: &Teller) -> Known {
        let mut lives = self.lives.borrow_mut();
        let before = lives.get(&other.daemon).copied();
        if before.is_some_and(|before| before > other.incarnation) {
            return Known::Ended;
        }
        if before == Some(other.incarnation) {
            return Known::Before;
        }
        lives.insert(other.daemon, other.incarnation);
        if let Some(before) = before {
            self.forget(other.daemon, before);
        }
        Known::New
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
