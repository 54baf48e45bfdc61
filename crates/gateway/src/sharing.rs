//! Daemons tell each other where they have just placed requests.
//!
//! Engines report their load late, so two daemons that each look for an idle
//! engine would meet at the same one. Each placement, first event and end is
//! told to every other daemon at once, in one datagram for what came up in the
//! same moment. Datagrams may be lost: a request that is heard of expires by
//! itself. Membership comes from `mangofront-peers`, whose links would cost a
//! round trip and several thread switches for each of these messages.

use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::net::UdpSocket;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use mangofront_engines::{News, Origin, Upstreams};
use mangofront_peers::{Member, Peers};
use mangofront_settings::ids::{AvailabilityZone, Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Version of the datagrams; a daemon drops any other.
const VERSION: u8 = 1;

/// Largest datagram that is sent, in bytes; below the usual limit of a link.
const DATAGRAM_LIMIT_BYTES: usize = 1_400;

/// Largest datagram that is read, in bytes.
const BUFFER_BYTES: usize = 16 * 1024;

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
    news: Vec<News>,
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
        }))
    }

    /// Tells the others what comes out of `news`, for ever.
    pub async fn tell(self: Rc<Self>, mut news: UnboundedReceiver<News>) {
        while let Some(first) = news.next().await {
            let mut batch = vec![first];
            while let Ok(next) = news.try_recv() {
                batch.push(next);
            }
            let addresses = self.addresses();
            for datagram in self.datagrams(batch) {
                for address in &addresses {
                    let sent = self.socket.send_to(datagram.clone(), address).await;
                    if let Err(error) = sent.0 {
                        log::debug!("gateway: news to {address} failed: {error}");
                    }
                }
            }
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
                    let is_new = self.take(buffer.get(..length).unwrap_or_default());
                    if is_new {
                        self.introduce(from).await;
                    }
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

    /// Tells a daemon that has just started of all that has not ended.
    async fn introduce(&self, to: SocketAddr) {
        let to = SocketAddr::new(to.ip(), self.port);
        for datagram in self.datagrams(self.upstreams.introduction()) {
            let sent = self.socket.send_to(datagram, to).await;
            if let Err(error) = sent.0 {
                log::debug!("gateway: introduction to {to} failed: {error}");
            }
        }
    }

    /// Takes in a datagram; returns whether it is the first of its daemon's life.
    fn take(&self, bytes: &[u8]) -> bool {
        let datagram = match bytes.split_first() {
            Some((&VERSION, rest)) => postcard::from_bytes::<Datagram>(rest).ok(),
            _ => None,
        };
        let Some(datagram) = datagram else {
            log::debug!("gateway: news of {} bytes can't be read", bytes.len());
            return false;
        };
        if datagram.daemon == self.daemon {
            return false;
        }
        let life = self.life(&datagram);
        if life == Life::Ended {
            return false;
        }
        self.upstreams.heard_zone(&datagram.zone);
        let origin = origin(datagram.daemon, datagram.incarnation);
        for news in datagram.news {
            self.upstreams.hear(origin, news);
        }
        life == Life::New
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

    /// Addresses of the daemons that answer.
    fn addresses(&self) -> Vec<SocketAddr> {
        let own = self.peers.address();
        let others = self.peers.members().into_iter();
        others
            .filter(|member| member.state.answers() && member.address != own)
            .map(|member: Member| SocketAddr::new(member.address.ip(), self.port))
            .collect()
    }

    /// The news in as few datagrams as hold it.
    fn datagrams(&self, news: Vec<News>) -> Vec<Vec<u8>> {
        let datagram = Datagram {
            daemon: self.daemon,
            incarnation: self.peers.incarnation(),
            zone: self.zone.clone(),
            news,
        };
        // Numbers and lists of numbers only, so writing can't fail.
        let bytes = postcard::to_extend(&datagram, vec![VERSION]).unwrap_or_default();
        if bytes.len() <= DATAGRAM_LIMIT_BYTES || datagram.news.len() < 2 {
            return vec![bytes];
        }
        let mut news = datagram.news;
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
