//! The loop that serves HTTP: one task per connection.
//!
//! What ends a connection: its peer; `header_timeout`, while the next head is
//! awaited; `write_timeout`, while the peer takes no bytes; a graceful
//! shutdown, after the answer in progress; an abort, at once. A request whose
//! answer is being computed is bounded by its handler alone.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use socket2::SockRef;

use crate::body::Body;
use crate::connection::{Aborted, serve_connection};
use crate::shutdown::Shutdown;

/// Pause after a failed accept, so that a lack of descriptors does not spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Pause between looks at the number of open connections while draining.
const DRAIN_PAUSE: Duration = Duration::from_millis(5);

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct ServeLimits {
    /// Longest time for a request's head to arrive; 10 s by default.
    ///
    /// It runs from the moment the server waits for a head, so it closes a
    /// connection kept open between requests too: there is no other limit on
    /// idle connections. A client that reuses connections has to give them up
    /// sooner than this, or be ready to find one closed.
    pub header_timeout: Duration,
    /// Largest head of a request, in bytes; at least 8192.
    pub header_limit_bytes: usize,
    /// Longest time for which a peer may take no byte of an answer; 30 s by
    /// default. Then its connection is dropped with all that waits for it.
    pub write_timeout: Duration,
}

impl Default for ServeLimits {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            header_limit_bytes: 64 * 1024,
            write_timeout: Duration::from_secs(30),
        }
    }
}

/// Two ways in which a server ends.
#[derive(Debug, Clone)]
pub struct StopSignals {
    /// Graceful shutdown: answers in progress are ended whole.
    pub shutdown: Shutdown,
    /// Abort: connections are dropped at once, in the middle of an answer.
    pub abort: Shutdown,
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
    let handler = move |request, peer| {
        let answer = handler(request, peer);
        async move { Ok(answer.await) }
    };
    // Held to the end: a dropped trigger would be an abort.
    let (never, abort) = Shutdown::new();
    serve_abortable(listener, limits, handler, StopSignals { shutdown, abort }).await;
    drop(never);
}

/// Like [`serve`], for emulators of processes that die: the server can be
/// aborted as a whole, and its handler can end a connection unanswered.
pub async fn serve_abortable<H, A>(
    listener: TcpListener,
    limits: ServeLimits,
    handler: H,
    ends: StopSignals,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Aborted>> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(Cell::new(0_usize));
    let start = |(stream, peer)| {
        let guard = OpenConnection::new(&open);
        let handler = Rc::clone(&handler);
        let ends = ends.clone();
        compio::runtime::spawn(async move {
            serve_connection(stream, peer, limits, handler, ends).await;
            drop(guard);
        })
        .detach();
    };
    let mut is_failing = false;
    while let Some(accepted) = accept(&listener, &ends).await {
        match accepted {
            Ok(accepted) => {
                is_failing = false;
                start(accepted);
            }
            Err(error) => {
                // One line for a fault that lasts.
                if !std::mem::replace(&mut is_failing, true) {
                    log::warn!("http: connections can't be accepted: {error}");
                }
                compio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    if !ends.abort.is_triggered() {
        last_accepts(&listener).into_iter().for_each(start);
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(DRAIN_PAUSE).await;
    }
}

/// The next connection; none once the server has to end.
async fn accept(
    listener: &TcpListener,
    ends: &StopSignals,
) -> Option<io::Result<(TcpStream, SocketAddr)>> {
    let stopped = pin!(ends.shutdown.wait());
    let aborted = pin!(ends.abort.wait());
    match select(pin!(listener.accept()), select(stopped, aborted)).await {
        Either::Left((accepted, _)) => Some(accepted),
        Either::Right(_) => None,
    }
}

/// The connections that the kernel has accepted already; it accepts no more.
///
/// A listener that is just closed resets those that nobody has taken up. So
/// they are all taken, and the listener is shut down right behind the last,
/// with no wait in between: compio closes it only once its driver lets go.
fn last_accepts(listener: &TcpListener) -> Vec<(TcpStream, SocketAddr)> {
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
    // An error means that it was shut down already.
    let _ = SockRef::from(&listener).shutdown(std::net::Shutdown::Both);
    accepted
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
