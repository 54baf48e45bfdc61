//! A link that delays orders, like a slow network or a frozen sender.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::{JoinHandle, spawn};

use super::pause;

/// Start of a request that is delayed.
const DELAYED_PREFIX: &[u8] = b"PUT ";

/// Forwards connections to an engine; orders are delayed until they are released.
pub struct DelayingLink {
    pub address: SocketAddr,
    held: Rc<Cell<usize>>,
    released: Rc<Cell<bool>>,
    _accepting: JoinHandle<()>,
}

impl DelayingLink {
    pub async fn start(engine: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let held = Rc::new(Cell::new(0));
        let released = Rc::new(Cell::new(false));
        let states = (Rc::clone(&held), Rc::clone(&released));
        let accepting = spawn(async move {
            loop {
                let (client, _) = listener.accept().await.unwrap();
                let server = TcpStream::connect(engine).await.unwrap();
                let (held, released) = states.clone();
                spawn(forward(client.clone(), server.clone(), held, released)).detach();
                spawn(forward(server, client, Rc::default(), Rc::default())).detach();
            }
        });
        Self {
            address,
            held,
            released,
            _accepting: accepting,
        }
    }

    /// Number of orders that were delayed so far.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Forwards the delayed and all later orders.
    pub fn release(&self) {
        self.released.set(true);
    }
}

async fn forward(
    mut from: TcpStream,
    mut to: TcpStream,
    held: Rc<Cell<usize>>,
    released: Rc<Cell<bool>>,
) {
    loop {
        let read = from.read(Vec::with_capacity(64 * 1024)).await;
        let (Ok(1..), bytes) = (read.0, read.1) else {
            return;
        };
        if bytes.starts_with(DELAYED_PREFIX) {
            held.set(held.get() + 1);
            while !released.get() {
                pause(2).await;
            }
        }
        if to.write_all(bytes).await.0.is_err() {
            return;
        }
    }
}
