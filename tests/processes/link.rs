//! TCP forwarders in front of processes, which simulate network partitions
//! between availability zones.
//!
//! All daemons use the same addresses, since one instance list is relayed
//! between them. A forwarder therefore has to find out which daemon opened a
//! connection: it looks up the process that owns the client socket. It does so
//! only once the mode of a zone pair requires it, as the kernel's table of
//! connections may be long.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::future::{select, try_join};

/// Number of availability zones of a fleet.
pub const ZONES: usize = 3;

/// Interval at which connections check the mode of their zone pair.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

const BUFFER_BYTES: usize = 64 * 1024;

/// How forwarders treat traffic between two zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkMode {
    /// Forwards it.
    Forward,
    /// Closes connections, and new ones as soon as they are accepted.
    Disconnect,
    /// Delays it until the mode is [`LinkMode::Forward`] again.
    Stall,
}

#[derive(Debug, Default)]
struct Shared {
    /// Mode of each pair of zones, by the zone that connects and the zone of the target.
    modes: [[AtomicU8; ZONES]; ZONES],
    /// Availability zone of each daemon by process id.
    daemons: Mutex<BTreeMap<u32, usize>>,
    /// The kernel's table of TCP connections, as last read.
    connections: Mutex<String>,
    stopped: AtomicBool,
}

/// Forwarders of one fleet, which run on their own thread.
#[derive(Debug)]
pub struct Links {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// Listen address of a forwarder, address of its target, and the target's zone.
#[derive(Debug, Clone, Copy)]
pub struct Route {
    pub listen: SocketAddr,
    pub target: SocketAddr,
    pub zone: usize,
}

impl Links {
    pub fn start(routes: Vec<Route>) -> Self {
        let shared = Arc::new(Shared::default());
        let listeners: Vec<_> = routes.iter().map(|route| listen(route.listen)).collect();
        let running = Arc::clone(&shared);
        let thread = thread::spawn(move || {
            let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
            runtime.block_on(async {
                for (listener, route) in listeners.into_iter().zip(routes) {
                    let listener = TcpListener::from_std(listener).expect("it can be awaited");
                    let running = Arc::clone(&running);
                    compio::runtime::spawn(serve(listener, route, running)).detach();
                }
                while !running.stopped.load(Ordering::Relaxed) {
                    compio::time::sleep(POLL_INTERVAL).await;
                }
            });
        });
        Self {
            shared,
            thread: Some(thread),
        }
    }

    /// Records the zone in which a daemon runs.
    pub fn register_daemon(&self, process: u32, zone: usize) {
        let mut daemons = self.shared.daemons.lock().expect("no holder panics");
        daemons.insert(process, zone);
    }

    /// Sets the mode between two zones, in both directions of connecting.
    pub fn set_mode(&self, one: usize, other: usize, mode: LinkMode) {
        self.set_mode_one_way(one, other, mode);
        self.set_mode_one_way(other, one, mode);
    }

    /// Sets the mode of connections that one zone opens to another.
    pub fn set_mode_one_way(&self, from: usize, to: usize, mode: LinkMode) {
        self.shared.modes[from][to].store(mode as u8, Ordering::Relaxed);
    }

    /// Sets the mode between one zone and all others.
    pub fn isolate(&self, zone: usize, mode: LinkMode) {
        for other in (0..ZONES).filter(|other| *other != zone) {
            self.set_mode(zone, other, mode);
        }
    }
}

impl Drop for Links {
    fn drop(&mut self) {
        self.shared.stopped.store(true, Ordering::Relaxed);
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// Binds a non-blocking listener.
fn listen(address: SocketAddr) -> std::net::TcpListener {
    let listener = std::net::TcpListener::bind(address).expect("a forwarder listens");
    let set = listener.set_nonblocking(true);
    set.expect("the listener becomes non-blocking");
    listener
}

/// Reads the mode that applies to one connection.
#[derive(Debug)]
struct ConnectionMode {
    shared: Arc<Shared>,
    /// Local and remote address, as the connecting process sees them.
    endpoints: (SocketAddr, SocketAddr),
    /// Zone of that process once it was looked up; the inner `None` is the test itself.
    source_zone: Cell<Option<Option<usize>>>,
    target_zone: usize,
}

impl ConnectionMode {
    fn is(&self, mode: LinkMode) -> bool {
        let modes = &self.shared.modes;
        let is_set =
            |source: usize| modes[source][self.target_zone].load(Ordering::Relaxed) == mode as u8;
        if !(0..ZONES).any(is_set) {
            return false;
        }
        if self.source_zone.get().is_none() {
            self.source_zone
                .set(Some(self.shared.zone_of(self.endpoints)));
        }
        self.source_zone.get().flatten().is_some_and(is_set)
    }

    async fn wait_while_stalled(&self) {
        while self.is(LinkMode::Stall) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }

    async fn wait_until_disconnected(&self) {
        while !self.is(LinkMode::Disconnect) {
            compio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

async fn serve(listener: TcpListener, route: Route, shared: Arc<Shared>) {
    while let Ok((stream, peer)) = listener.accept().await {
        let mode = ConnectionMode {
            shared: Arc::clone(&shared),
            endpoints: (peer, route.listen),
            source_zone: Cell::new(None),
            target_zone: route.zone,
        };
        compio::runtime::spawn(forward_connection(stream, route.target, mode)).detach();
    }
}

async fn forward_connection(source: TcpStream, target: SocketAddr, mode: ConnectionMode) {
    let forwarding = async {
        mode.wait_while_stalled().await;
        let target = TcpStream::connect(target).await?;
        let to_target = copy_stream(&source, &target, &mode);
        let to_source = copy_stream(&target, &source, &mode);
        try_join(to_target, to_source).await?;
        io::Result::Ok(())
    };
    select(
        std::pin::pin!(forwarding),
        std::pin::pin!(mode.wait_until_disconnected()),
    )
    .await;
}

async fn copy_stream(
    mut from: &TcpStream,
    mut to: &TcpStream,
    mode: &ConnectionMode,
) -> io::Result<()> {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let BufResult(read, filled) = from.read(buffer).await;
        let count = read;
        mode.wait_while_stalled().await;
        if count? == 0 {
            return to.shutdown().await;
        }
        let BufResult(written, mut emptied) = to.write_all(filled).await;
        written?;
        emptied.clear();
        buffer = emptied;
    }
}

impl Shared {
    /// Availability zone of the daemon that opened a connection.
    fn zone_of(&self, endpoints: (SocketAddr, SocketAddr)) -> Option<usize> {
        let mut connections = self.connections.lock().expect("no holder panics");
        let known = inode(&connections, endpoints).and_then(|inode| self.owner_zone(inode));
        if known.is_some() {
            return known;
        }
        *connections = fs::read_to_string("/proc/net/tcp").ok()?;
        inode(&connections, endpoints).and_then(|inode| self.owner_zone(inode))
    }

    /// Availability zone of the daemon that has the socket `inode` open.
    fn owner_zone(&self, inode: &str) -> Option<usize> {
        let socket = format!("socket:[{inode}]");
        let owns = |process: u32| {
            let files = fs::read_dir(format!("/proc/{process}/fd")).ok();
            let files = files.into_iter().flatten().flatten();
            let mut links = files.filter_map(|file| fs::read_link(file.path()).ok());
            links.any(|link| link.as_os_str() == socket.as_str())
        };
        let daemons = self.daemons.lock().expect("no holder panics");
        let owner = daemons.iter().find(|(process, _)| owns(**process));
        owner.map(|(_, zone)| *zone)
    }
}

/// Inode number of the socket with these local and remote addresses.
fn inode(connections: &str, (local, remote): (SocketAddr, SocketAddr)) -> Option<&str> {
    let endpoints = format!(
        " {} {} ",
        proc_net_address(local)?,
        proc_net_address(remote)?
    );
    let start = connections.find(&endpoints)? + endpoints.len();
    // Skips the columns state, queues, timer, retransmits, user ID and timeout.
    connections[start..].split_whitespace().nth(6)
}

/// An address as `/proc/net/tcp` writes it.
fn proc_net_address(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
