//! HTTP server loop with one task per connection.
//!
//! A connection is closed by its peer; by `header_timeout` while the server
//! waits for the next request head; by `write_timeout` while the peer accepts no
//! bytes; by a graceful shutdown after the response in progress; by an abort
//! immediately. Only the handler limits the time to compute a response.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use mangofront_bodies::BodyMemory;
use socket2::SockRef;

use crate::acceptance::Acceptance;
use crate::body::Body;
use crate::connection::{Aborted, serve_connection};
use crate::shutdown::Shutdown;

/// Delay after a failed accept, so that a lack of file descriptors causes no busy
/// loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Interval at which the number of open connections is checked while draining.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Limits of a server.
#[derive(Debug, Clone)]
pub struct ServeLimits {
    /// Maximum time for a request head to arrive; 10 s by default.
    ///
    /// It starts when the server begins to wait for a head, so it also closes
    /// idle keep-alive connections, which have no other limit. A client that
    /// reuses connections must close them earlier than this or handle a closed
    /// one.
    pub header_timeout: Duration,
    /// Maximum size of a request head, in bytes; at least 8192.
    pub header_limit_bytes: usize,
    /// Maximum time for which a peer may accept no byte of a response; 30 s by
    /// default. After it the connection is dropped with all unsent data.
    pub write_timeout: Duration,
    /// Memory for heads that are not complete; unbounded by default.
    pub body_memory: BodyMemory,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_limit_bytes: 64 * 1024,
            write_timeout: Duration::from_secs(30),
            body_memory: BodyMemory::unbounded(),
        }
    }
}

/// Signals that stop a server.
#[derive(Debug, Clone)]
pub struct StopSignals {
    /// Graceful shutdown: responses in progress are completed.
    pub shutdown: Shutdown,
    /// Abort: connections are dropped immediately, even in the middle of a
    /// response.
    pub abort: Shutdown,
}

/// Serves `listener` until `shutdown`, then until all connections are closed.
///
/// `handler` answers one request of the peer whose address it gets; its future is
/// dropped when the client's connection is closed. Each connection has its own
/// task. On shutdown idle connections are closed, and a request in progress is
/// answered completely before its connection is closed.
pub async fn serve<H, A>(listener: TcpListener, limits: ServeLimits, handler: H, shutdown: Shutdown)
where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Response<Body>> + 'static,
{
    let handler = move |request, peer| {
        let response = handler(request, peer);
        async move { Ok(response.await) }
    };
    // Kept alive until the server has ended, as dropping the trigger is an abort.
    let (abort_trigger, abort) = Shutdown::new();
    serve_abortable(listener, limits, handler, StopSignals { shutdown, abort }).await;
    drop(abort_trigger);
}

/// Like [`serve_abortable`], but closes new connections unread as far as `acceptance` demands.
pub async fn serve_while_on_time<H, A>(
    listener: TcpListener,
    limits: ServeLimits,
    acceptance: Acceptance,
    handler: H,
    signals: StopSignals,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Response<Body>> + 'static,
{
    let handler = move |request, peer| {
        let response = handler(request, peer);
        async move { Ok(response.await) }
    };
    serve_accepted(listener, limits, handler, signals, || {
        acceptance.accepts(Instant::now())
    })
    .await;
}

/// Like [`serve`], but the whole server can be aborted, and the handler can close a connection
/// without a response.
pub async fn serve_abortable<H, A>(
    listener: TcpListener,
    limits: ServeLimits,
    handler: H,
    signals: StopSignals,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Aborted>> + 'static,
{
    serve_accepted(listener, limits, handler, signals, || true).await;
}

/// Serves the connections that `accepts` lets in; closes all others unread.
async fn serve_accepted<H, A>(
    listener: TcpListener,
    limits: ServeLimits,
    handler: H,
    signals: StopSignals,
    accepts: impl Fn() -> bool,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Aborted>> + 'static,
{
    let handler = Rc::new(handler);
    let open_connections = Rc::new(Cell::new(0_usize));
    let spawn_connection = |(stream, peer)| {
        let guard = OpenConnectionGuard::new(&open_connections);
        let handler = Rc::clone(&handler);
        let (limits, signals) = (limits.clone(), signals.clone());
        compio::runtime::spawn(async move {
            serve_connection(stream, peer, limits, handler, signals).await;
            drop(guard);
        })
        .detach();
    };
    let mut is_failing = false;
    while let Some(accepted) = accept(&listener, &signals).await {
        match accepted {
            Ok(accepted) => {
                is_failing = false;
                if accepts() {
                    spawn_connection(accepted);
                }
            }
            Err(error) => {
                // Log a persistent fault only once.
                if !std::mem::replace(&mut is_failing, true) {
                    log::warn!("http: connections can't be accepted: {error}");
                }
                compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
    if !signals.abort.is_triggered() {
        accept_backlog(&listener)
            .into_iter()
            .for_each(spawn_connection);
    }
    drop(listener);
    while open_connections.get() > 0 {
        compio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
}

/// Accepts the next connection; `None` once the server has to stop.
async fn accept(
    listener: &TcpListener,
    signals: &StopSignals,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    let stopped = pin!(signals.shutdown.wait());
    let aborted = pin!(signals.abort.wait());
    match select(pin!(listener.accept()), select(stopped, aborted)).await {
        Either::Left((accepted, _)) => Some(accepted),
        Either::Right(_) => None,
    }
}

/// Accepts all connections that are in the listener's backlog, and shuts the
/// listener down.
///
/// Closing a listener resets the connections in its backlog, so all of them are
/// accepted first. The listener is then shut down without an await in between:
/// dropping it is not enough, as compio closes the socket only once its driver
/// has released it.
fn accept_backlog(listener: &TcpListener) -> Vec<(TcpStream, SocketAddr)> {
    let mut accepted = Vec::new();
    let Ok(descriptor) = listener.as_fd().try_clone_to_owned() else {
        return accepted;
    };
    let listener = std::net::TcpListener::from(descriptor);
    if listener.set_nonblocking(true).is_ok() {
        while let Ok((stream, peer)) = listener.accept() {
            if let Ok(stream) = TcpStream::from_std(stream) {
                accepted.push((stream, peer));
            }
        }
    }
    // An error means that it has already been shut down.
    let _ = SockRef::from(&listener).shutdown(std::net::Shutdown::Both);
    accepted
}

/// Counts an open connection until it is dropped.
struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    fn new(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self(Rc::clone(open_connections))
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
