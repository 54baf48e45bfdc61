//! What daemons tell each other by datagram: where they have just placed
//! requests, what has changed among the upstreams, and how far they know what is
//! published.
//!
//! Engines report their load late, so two daemons that each look for an idle
//! engine would meet at the same one. Each placement, first event and end is
//! told to every other daemon at once, in one datagram for what came up in the
//! same moment. Datagrams may be lost: a request that is heard of expires by
//! itself. Membership comes from `mangofront-peers`, whose links would cost a
//! round trip and several thread switches for each of these messages.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::UdpSocket;
use futures_channel::mpsc::UnboundedReceiver;
use futures_channel::oneshot;
use futures_util::StreamExt;
use mangofront_engines::{News, Origin, Upstreams};
use mangofront_peers::{Member, Peers};
use mangofront_routes::{Upstream, UpstreamId};
use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::Position;
use crate::published::Published;

/// Version of the datagrams; a daemon drops any other.
const VERSION: u8 = 3;

/// Largest datagram that is sent, in bytes; below the usual limit of a link.
const DATAGRAM_LIMIT_BYTES: usize = 1_400;

/// Largest datagram that is read, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

/// Duty of watching what is published for a zone.
const WATCH_DUTY: &str = "watch-published";

/// Daemons of a zone that watch; two, so that one may fail.
const WATCHERS: usize = 2;

/// Time for a daemon of the same zone to answer a datagram.
const ASK_TIMEOUT: Duration = Duration::from_millis(200);

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

#[derive(Debug, Serialize, Deserialize)]
struct Datagram {
    /// Short name of the daemon that tells.
    daemon: u64,
    /// Its life.
    incarnation: Incarnation,
    /// Its availability zone.
    zone: AvailabilityZone,
    message: Message,
}

#[derive(Debug, Clone, Serialize, Deserialize)]
enum Message {
    /// What became of requests and upstreams.
    News(Vec<News>),
    /// Asks how far the receiver knows what is published.
    Ask(Nonce),
    /// Answer to [`Message::Ask`].
    Confirmed(Nonce, Confirmation),
    /// Something that is published has changed.
    Changed(Relayed),
    /// Asks for all requests that have not ended.
    Introduce,
}

/// Changes that a watcher read, for the other daemons of its zone.
///
/// A call to the source counts against the whole fleet's budget. Upstreams that
/// come and go fit into a datagram, configurations do not: relaying them took calls
/// on two days of some seventy daemons from 4,644 to 2,552 and from 5,413 to 3,816.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Relayed {
    /// Position from which on these are all changes.
    pub(crate) after: Position,
    /// Position up to which they are.
    pub(crate) position: Position,
    /// The changes in order; none when they have to be read at the source.
    pub(crate) upstreams: Option<Vec<UpstreamChange>>,
}

/// A change of a registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpstreamChange {
    /// It was registered, or its registration changed.
    Registered(Upstream),
    /// It is no longer registered.
    Gone(UpstreamId),
    /// Its registration can't be used, and why.
    Unusable(UpstreamId, String),
}

/// Number of a question, unique within its asker's life.
type Nonce = u64;

/// How far a daemon knows what is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Confirmation {
    /// Position up to which it knows all changes.
    pub(crate) position: Position,
    /// Position of the last change.
    pub(crate) last_change: Position,
    /// Time since that was known to be current, in milliseconds.
    pub(crate) age_ms: u32,
}

/// Which life of a daemon something is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Life {
    New,
    Known,
    Ended,
}

/// News from and to the other daemons.
#[derive(Debug)]
pub struct Sharing {
    socket: UdpSocket,
    port: u16,
    peers: Peers,
    daemon: u64,
    zone: AvailabilityZone,
    upstreams: Upstreams,
    /// Lives of the other daemons, by their short names.
    lives: RefCell<HashMap<u64, Incarnation>>,
    published: Published,
    asked: RefCell<HashMap<Nonce, oneshot::Sender<Confirmation>>>,
    next_nonce: Cell<Nonce>,
}

impl Sharing {
    /// Listens on `address`; the other daemons listen on the same port.
    ///
    /// # Errors
    /// [`SharingError`] when the address can't be had.
    pub async fn start(
        address: SocketAddr,
        instance: &InstanceId,
        zone: AvailabilityZone,
        peers: Peers,
        upstreams: Upstreams,
        published: Published,
    ) -> Result<Rc<Self>, SharingError> {
        let socket = UdpSocket::bind(address)
            .await
            .map_err(|cause| SharingError { address, cause })?;
        Ok(Rc::new(Self {
            socket,
            port: address.port(),
            peers,
            daemon: xxh3_64(instance.as_bytes()),
            zone,
            upstreams,
            lives: RefCell::default(),
            published,
            asked: RefCell::default(),
            next_nonce: Cell::new(0),
        }))
    }

    /// Tells the others what comes out of `news`, for ever.
    pub async fn tell(self: Rc<Self>, mut news: UnboundedReceiver<News>) {
        while let Some(first) = news.next().await {
            let mut batch = vec![first];
            while let Ok(next) = news.try_recv() {
                batch.push(next);
            }
            let addresses = self.addresses(|_| true);
            for datagram in self.datagrams(batch) {
                for address in &addresses {
                    self.send(datagram.clone(), *address).await;
                }
            }
        }
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
    pub(crate) async fn ask(&self) -> Option<Confirmation> {
        let nonce = self.next_nonce.get();
        self.next_nonce.set(nonce + 1);
        let watchers = self.peers.delegates(WATCH_DUTY, WATCHERS);
        let others: Vec<&Member> = watchers
            .iter()
            .filter(|member| member.address != self.peers.address())
            .collect();
        let watcher = others.get(nonce as usize % others.len().max(1))?;
        let to = SocketAddr::new(watcher.address.ip(), self.port);
        let (answer, answered) = oneshot::channel();
        self.asked.borrow_mut().insert(nonce, answer);
        self.send(self.datagram(Message::Ask(nonce)), to).await;
        let answered = compio::time::timeout(ASK_TIMEOUT, answered).await;
        self.asked.borrow_mut().remove(&nonce);
        answered.ok()?.ok()
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
        let is_near = |member: &Member| member.availability_zone == self.zone;
        for address in self.addresses(is_near) {
            self.send(datagram.clone(), address).await;
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
                    let from = SocketAddr::new(from.ip(), self.port);
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
    pub async fn repeat(self: Rc<Self>) {
        loop {
            compio::time::sleep(REPEAT_PERIOD).await;
            self.upstreams.tell_running();
        }
    }

    /// Forgets the work of a daemon that is gone.
    pub fn gone(&self, instance: &InstanceId) {
        let daemon = xxh3_64(instance.as_bytes());
        if let Some(life) = self.lives.borrow_mut().remove(&daemon) {
            self.upstreams.forget(origin(daemon, life));
        }
    }

    /// Tells a daemon that has just started, or was out of reach, of all that has
    /// not ended.
    async fn introduce(&self, to: SocketAddr) {
        for datagram in self.datagrams(self.upstreams.introduction()) {
            self.send(datagram, to).await;
        }
    }

    /// Takes in a datagram.
    async fn take(&self, bytes: &[u8], from: SocketAddr) {
        let datagram = match bytes.split_first() {
            Some((&VERSION, rest)) => postcard::from_bytes::<Datagram>(rest).ok(),
            _ => None,
        };
        let Some(datagram) = datagram else {
            log::debug!("gateway: a datagram of {} bytes can't be read", bytes.len());
            return;
        };
        if datagram.daemon == self.daemon {
            return;
        }
        let life = self.life(&datagram);
        if life == Life::Ended {
            return;
        }
        self.upstreams.heard_zone(&datagram.zone);
        if life == Life::New {
            self.introduce(from).await;
        }
        let origin = origin(datagram.daemon, datagram.incarnation);
        match datagram.message {
            Message::News(news) => {
                let mut has_unknown = false;
                for one in news {
                    has_unknown |= self.upstreams.hear(origin, one);
                }
                if has_unknown {
                    self.send(self.datagram(Message::Introduce), from).await;
                }
            }
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
                    self.published.take_relayed(relayed);
                }
            }
        }
    }

    /// Which life of its daemon a datagram is of; work of an earlier one ended
    /// with it and is forgotten.
    fn life(&self, datagram: &Datagram) -> Life {
        let mut lives = self.lives.borrow_mut();
        let before = lives.get(&datagram.daemon).copied();
        if before.is_some_and(|before| before > datagram.incarnation) {
            return Life::Ended;
        }
        if before == Some(datagram.incarnation) {
            return Life::Known;
        }
        lives.insert(datagram.daemon, datagram.incarnation);
        if let Some(before) = before {
            self.upstreams.forget(origin(datagram.daemon, before));
        }
        Life::New
    }

    /// Addresses of the other daemons that answer and that `wanted` names.
    fn addresses(&self, wanted: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let own = self.peers.address();
        let others = self.peers.members().into_iter();
        others
            .filter(|member| member.state.answers() && member.address != own && wanted(member))
            .map(|member| SocketAddr::new(member.address.ip(), self.port))
            .collect()
    }

    fn datagram(&self, message: Message) -> Vec<u8> {
        let datagram = Datagram {
            daemon: self.daemon,
            incarnation: self.peers.incarnation(),
            zone: self.zone.clone(),
            message,
        };
        // Numbers, names and lists only, so writing can't fail.
        postcard::to_extend(&datagram, vec![VERSION]).unwrap_or_default()
    }

    /// The news in as few datagrams as hold it.
    fn datagrams(&self, mut news: Vec<News>) -> Vec<Vec<u8>> {
        let bytes = self.datagram(Message::News(news.clone()));
        if bytes.len() <= DATAGRAM_LIMIT_BYTES || news.len() < 2 {
            return vec![bytes];
        }
        let rest = news.split_off(news.len() / 2);
        let mut datagrams = self.datagrams(news);
        datagrams.extend(self.datagrams(rest));
        datagrams
    }
}

/// Short name of one life of a daemon; never that of the own work.
fn origin(daemon: u64, incarnation: Incarnation) -> Origin {
    (daemon ^ incarnation) | 1
}
