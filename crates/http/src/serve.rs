//! The loop that serves HTTP: one task per connection.

use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::FutureExt;
use futures_util::future::{Either, Shared, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;

use crate::body::Body;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Pause between looks at the number of open connections while draining.
const DRAIN_PAUSE: Duration = Duration::from_millis(5);

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServeLimits {
    /// Longest time for a request's head to arrive.
    pub header_timeout: Duration,
    /// Largest head of a request, in bytes; at least 8192.
    pub header_limit_bytes: usize,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_limit_bytes: 64 * 1024,
        }
    }
}

/// Signal that a server should stop.
#[derive(Debug, Clone)]
pub struct Shutdown(Shared<futures_channel::oneshot::Receiver<()>>);

/// The other end of a [`Shutdown`]: fires when used or dropped.
#[derive(Debug)]
pub struct ShutdownTrigger(futures_channel::oneshot::Sender<()>);

impl Shutdown {
    /// A signal and its trigger.
    #[must_use]
    pub fn new() -> (ShutdownTrigger, Self) {
        let (sender, receiver) = futures_channel::oneshot::channel();
        (ShutdownTrigger(sender), Self(receiver.shared()))
    }

    /// Waits for the signal.
    pub async fn wait(&self) {
        // Both a sent signal and a dropped trigger mean the same.
        let _ = self.0.clone().await;
    }

    /// Whether the signal was given.
    #[must_use]
    pub fn is_triggered(&self) -> bool {
        self.0.peek().is_some() || self.0.clone().now_or_never().is_some()
    }
}

impl ShutdownTrigger {
    /// Gives the signal.
    pub fn trigger(self) {
        // A server that is gone already needs no signal.
        let _ = self.0.send(());
    }
}

/// Serves `listener` until `shutdown`, then until its connections are done.
///
/// `handler` answers one request of the peer whose address it gets; its
/// future is dropped when the caller's connection ends. A connection gets its
/// own task. On shutdown idle connections close, and a
/// request in progress is answered whole before its connection closes.
pub async fn serve<H, A>(listener: TcpListener, limits: ServeLimits, handler: H, shutdown: Shutdown)
where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = match select(pin!(listener.accept()), pin!(shutdown.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        let Ok((stream, peer)) = accepted else {
            compio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let guard = OpenConnection::new(&open);
        let handler = Rc::clone(&handler);
        let shutdown = shutdown.clone();
        compio::runtime::spawn(async move {
            serve_connection(stream, peer, limits, handler, shutdown).await;
            drop(guard);
        })
        .detach();
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(DRAIN_PAUSE).await;
    }
}

/// Counts one open connection while it lives.
struct OpenConnection(Rc<Cell<usize>>);

impl OpenConnection {
    fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Self(Rc::clone(open))
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

async fn serve_connection<H, A>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServeLimits,
    handler: Rc<H>,
    shutdown: Shutdown,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Response<Body>> + 'static,
{
    // Small frames go out at once; without the option they would be delayed,
    // with an error they still arrive.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request, peer);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_limit_bytes)
        .serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    let ended = match select(connection.as_mut(), pin!(shutdown.wait())).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("http: connection of {peer} ended: {error}");
    }
}
