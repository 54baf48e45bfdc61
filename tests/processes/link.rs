//! A TCP forwarder in front of every process, by which availability zones are
//! cut from each other.
//!
//! All daemons are given the same addresses, as one instance list is relayed
//! between them. So the forwarder finds out who connects: it looks up the
//! daemon that owns the other end of the connection.

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
        let listeners: Vec<_> = routes
            .iter()
            .map(|route| std::net::TcpListener::bind(route.listen).expect("a forwarder listens"))
            .collect();
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

    /// Sets what happens between two zones, in both directions.
    pub fn set(&self, one: usize, other: usize, mode: Mode) {
        self.shared.modes[one][other].store(mode as u8, Ordering::Relaxed);
        self.shared.modes[other][one].store(mode as u8, Ordering::Relaxed);
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

/// The switch that one connection obeys.
#[derive(Debug, Clone)]
struct Gate {
    shared: Arc<Shared>,
    from: Option<usize>,
    to: usize,
}

impl Gate {
    fn is(&self, mode: Mode) -> bool {
        let set = self.from.map_or(Mode::Pass as u8, |from| {
            self.shared.modes[from][self.to].load(Ordering::Relaxed)
        });
        set == mode as u8
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
        let from = zone_of(&shared, peer, route.listen);
        let gate = Gate {
            shared: Arc::clone(&shared),
            from,
            to: route.zone,
        };
        compio::runtime::spawn(carry(stream, route.target, gate)).detach();
    }
}

async fn carry(near: TcpStream, target: SocketAddr, gate: Gate) {
    let cut = gate.clone();
    let carried = async {
        gate.released().await;
        let far = TcpStream::connect(target).await?;
        let there = pump(&near, &far, &gate);
        let back = pump(&far, &near, &gate);
        try_join(there, back).await?;
        io::Result::Ok(())
    };
    select(std::pin::pin!(carried), std::pin::pin!(cut.cut())).await;
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

/// Availability zone of the daemon at the other end of a connection.
fn zone_of(shared: &Shared, peer: SocketAddr, listen: SocketAddr) -> Option<usize> {
    let socket = format!("socket:[{}]", inode(peer, listen)?);
    let daemons = shared.daemons.lock().expect("no holder panics");
    let owns = |process: u32| {
        let files = fs::read_dir(format!("/proc/{process}/fd")).ok();
        let files = files.into_iter().flatten().flatten();
        let mut links = files.filter_map(|file| fs::read_link(file.path()).ok());
        links.any(|link| link.as_os_str() == socket.as_str())
    };
    let owner = daemons.iter().find(|(process, _)| owns(**process));
    owner.map(|(_, zone)| *zone)
}

/// Number of the socket that is bound to `local` and connected to `remote`.
fn inode(local: SocketAddr, remote: SocketAddr) -> Option<String> {
    let table = fs::read_to_string("/proc/net/tcp").ok()?;
    let (local, remote) = (kernel_form(local)?, kernel_form(remote)?);
    let line = table.lines().find(|line| {
        let mut columns = line.split_whitespace().skip(1);
        columns.next() == Some(&local) && columns.next() == Some(&remote)
    })?;
    line.split_whitespace().nth(9).map(str::to_owned)
}

/// An address as `/proc/net/tcp` writes it.
fn kernel_form(address: SocketAddr) -> Option<String> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let ip = u32::from_ne_bytes(address.ip().octets());
    Some(format!("{ip:08X}:{:04X}", address.port()))
}
