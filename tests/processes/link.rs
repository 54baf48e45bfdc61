//! A TCP forwarder in front of every process, by which availability zones are
//! cut from each other.
//!
//! All daemons are given the same addresses, as one instance list is relayed
//! between them. So the forwarder finds out who connects: it looks up the
//! daemon that owns the other end of the connection, once a switch is set and
//! that matters, as the kernel's table of connections may be long.

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

/// Time between two looks at a switch.
const LOOK: Duration = Duration::from_millis(10);

const BUFFER_BYTES: usize = 64 * 1024;

/// What a forwarder does with traffic between two zones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mode {
    /// Carries it.
    Pass,
    /// Breaks connections and refuses new ones.
    Cut,
    /// Keeps it back, and delivers it late once it passes again.
    Hold,
}

#[derive(Debug, Default)]
struct Shared {
    modes: [[AtomicU8; ZONES]; ZONES],
    /// Availability zone of each daemon by process id.
    daemons: Mutex<BTreeMap<u32, usize>>,
    /// The kernel's connections, as they were read last.
    connections: Mutex<String>,
    stopped: AtomicBool,
}

/// Forwarders of one fleet, on a thread of their own.
#[derive(Debug)]
pub struct Links {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

/// One forwarder: where it listens, whom it stands before, and the latter's zone.
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
                    compio::time::sleep(LOOK).await;
                }
            });
        });
        Self {
            shared,
            thread: Some(thread),
        }
    }

    /// Tells in which zone a daemon runs.
    pub fn know(&self, process: u32, zone: usize) {
        let mut daemons = self.shared.daemons.lock().expect("no holder panics");
        daemons.insert(process, zone);
    }

    /// Sets what happens between two zones, whoever connects.
    pub fn set(&self, one: usize, other: usize, mode: Mode) {
        self.set_one_way(one, other, mode);
        self.set_one_way(other, one, mode);
    }

    /// Sets what happens on connections that one zone opens to another.
    pub fn set_one_way(&self, from: usize, to: usize, mode: Mode) {
        self.shared.modes[from][to].store(mode as u8, Ordering::Relaxed);
    }

    /// Sets what happens between one zone and all others.
    pub fn isolate(&self, zone: usize, mode: Mode) {
        for other in (0..ZONES).filter(|other| *other != zone) {
            self.set(zone, other, mode);
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

/// A listener that can be awaited.
fn listen(address: SocketAddr) -> std::net::TcpListener {
    let listener = std::net::TcpListener::bind(address).expect("a forwarder listens");
    let set = listener.set_nonblocking(true);
    set.expect("a listener can be told not to block");
    listener
}

/// The switch that one connection obeys.
#[derive(Debug)]
struct Gate {
    shared: Arc<Shared>,
    /// The two ends, as the connecting process sees them.
    ends: (SocketAddr, SocketAddr),
    /// Zone of that process, once it was looked up; none for the test itself.
    from: Cell<Option<Option<usize>>>,
    to: usize,
}

impl Gate {
    fn is(&self, mode: Mode) -> bool {
        let modes = &self.shared.modes;
        let set = |from: usize| modes[from][self.to].load(Ordering::Relaxed) == mode as u8;
        if !(0..ZONES).any(set) {
            return false;
        }
        if self.from.get().is_none() {
            self.from.set(Some(self.shared.zone_of(self.ends)));
        }
        self.from.get().flatten().is_some_and(set)
    }

    async fn released(&self) {
        while self.is(Mode::Hold) {
            compio::time::sleep(LOOK).await;
        }
    }

    async fn cut(&self) {
        while !self.is(Mode::Cut) {
            compio::time::sleep(LOOK).await;
        }
    }
}

async fn serve(listener: TcpListener, route: Route, shared: Arc<Shared>) {
    while let Ok((stream, peer)) = listener.accept().await {
        let gate = Gate {
            shared: Arc::clone(&shared),
            ends: (peer, route.listen),
            from: Cell::new(None),
            to: route.zone,
        };
        compio::runtime::spawn(carry(stream, route.target, gate)).detach();
    }
}

async fn carry(near: TcpStream, target: SocketAddr, gate: Gate) {
    let carried = async {
        gate.released().await;
        let far = TcpStream::connect(target).await?;
        let there = pump(&near, &far, &gate);
        let back = pump(&far, &near, &gate);
        try_join(there, back).await?;
        io::Result::Ok(())
    };
    select(std::pin::pin!(carried), std::pin::pin!(gate.cut())).await;
}

async fn pump(mut from: &TcpStream, mut to: &TcpStream, gate: &Gate) -> io::Result<()> {
    let mut buffer = Vec::with_capacity(BUFFER_BYTES);
    loop {
        let BufResult(read, filled) = from.read(buffer).await;
        let count = read;
        gate.released().await;
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
    fn zone_of(&self, ends: (SocketAddr, SocketAddr)) -> Option<usize> {
        let mut connections = self.connections.lock().expect("no holder panics");
        let known = inode(&connections, ends).and_then(|inode| self.owner(inode));
        if known.is_some() {
            return known;
        }
        *connections = fs::read_to_string("/proc/net/tcp").ok()?;
        inode(&connections, ends).and_then(|inode| self.owner(inode))
    }

    fn owner(&self, inode: &str) -> Option<usize> {
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

/// Number of the socket that is bound and connected so.
fn inode(connections: &str, (local, remote): (SocketAddr, SocketAddr)) -> Option<&str> {
    let ends = format!(" {} {} ", kernel_form(local)?, kernel_form(remote)?);
    let start = connections.find(&ends)? + ends.len();
    // State, queues, timer, retransmits, user and time-out stand before it.
    connections[start..].split_whitespace().nth(6)
}

/// An address as `/proc/net/tcp` writes it.
fn kernel_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
