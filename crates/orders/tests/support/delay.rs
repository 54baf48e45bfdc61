//! A link that holds back orders, as a network or a frozen sender may.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use compio::runtime::{JoinHandle, spawn};

use super::pause;

/// Start of a request that is held back.
const HELD: &[u8] = b"PUT ";

/// Passes connections on to an engine; orders wait until they are released.
pub struct SlowLink {
    pub address: SocketAddr,
    held: Rc<Cell<usize>>,
    released: Rc<Cell<bool>>,
    _accepting: JoinHandle<()>,
}

impl SlowLink {
    pub async fn start(engine: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let held = Rc::new(Cell::new(0));
        let released = Rc::new(Cell::new(false));
        let states = (Rc::clone(&held), Rc::clone(&released));
        let accepting = spawn(async move {
            loop {
                let (near, _) = listener.accept().await.unwrap();
                let far = TcpStream::connect(engine).await.unwrap();
                let (held, released) = states.clone();
                spawn(pass(near.clone(), far.clone(), held, released)).detach();
                spawn(pass(far, near, Rc::default(), Rc::default())).detach();
            }
        });
        Self {
            address,
            held,
            released,
            _accepting: accepting,
        }
    }

    /// Orders that were held back so far.
    pub fn held(&self) -> usize {
        self.held.get()
    }

    /// Lets the orders through.
    pub fn release(&self) {
        self.released.set(true);
    }
}

async fn pass(
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
        if bytes.starts_with(HELD) {
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
