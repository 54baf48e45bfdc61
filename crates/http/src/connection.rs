//! One served connection, from its accept to its end.

use std::cell::Cell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use thiserror::Error;

use crate::body::Body;
use crate::serve::{ServeLimits, StopSignals};
use crate::stall::WatchedWriter;

/// Time that a planned stop leaves a new connection for its first request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);

/// Told by a handler in place of an answer: the connection ends without one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("handler aborted the connection")]
pub struct Aborted;

/// Why a connection was dropped before its own end.
#[derive(Debug, Error)]
enum Dropped {
    #[error("server aborted")]
    Abort,
    #[error("peer took no bytes for {0:?}")]
    Stalled(Duration),
    #[error(transparent)]
    Connection(#[from] hyper::Error),
}

/// Serves `stream` to its end and logs what cut it short.
pub(crate) async fn serve_connection<H, A>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServeLimits,
    handler: Rc<H>,
    ends: StopSignals,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Aborted>> + 'static,
{
    log::debug!("http: connection of {peer} accepted");
    // Small frames go out at once; without the option they would be delayed,
    // with an error they still arrive.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (writer, stalled) = WatchedWriter::new(writer, limits.write_timeout);
    let io = HyperStream::new_plain((reader, writer));
    let exchange = pin!(exchange(io, peer, limits, handler, &ends));
    // Dropping the exchange closes the socket, whatever is being written.
    let aborted = pin!(ends.abort.wait());
    let ended = match select(exchange, select(aborted, stalled)).await {
        Either::Left((ended, _)) => ended.map_err(Dropped::from),
        Either::Right((Either::Left(_), _)) => Err(Dropped::Abort),
        Either::Right((Either::Right(_), _)) => Err(Dropped::Stalled(limits.write_timeout)),
    };
    match ended {
        Ok(()) => log::debug!("http: connection of {peer} closed"),
        Err(error) => log::debug!("http: connection of {peer} ended: {error}"),
    }
}

/// Answers requests until the peer closes or a graceful shutdown.
async fn exchange<H, A>(
    io: HyperStream<(TcpStream, WatchedWriter)>,
    peer: SocketAddr,
    limits: ServeLimits,
    handler: Rc<H>,
    ends: &StopSignals,
) -> Result<(), hyper::Error>
where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Aborted>> + 'static,
{
    let began = Rc::new(Cell::new(false));
    let begins = Rc::clone(&began);
    // hyper keeps room for one answer's future as long as the connection lives;
    // boxed, a future of tens of kilobytes is gone once the answer has a head.
    let service = service_fn(move |request| {
        begins.set(true);
        Box::pin(handler(request, peer))
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_limit_bytes)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    match select(connection.as_mut(), pin!(ends.shutdown.wait())).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            if !began.get() {
                // A peer that has just connected may have sent its request.
                let first = compio::time::timeout(FIRST_REQUEST_GRACE, connection.as_mut());
                if let Ok(ended) = first.await {
                    return ended;
                }
            }
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}
