//! Serving of one accepted connection until it is closed.

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
use crate::metered_heads::{HeadMeter, MeteredReader};
use crate::serve::{ServeLimits, StopSignals};
use crate::short_writes::ShortWrites;
use crate::stall::StallDetectingWriter;

/// Time that a graceful shutdown gives a new connection to send its first
/// request.
const FIRST_REQUEST_GRACE: Duration = Duration::from_millis(300);

/// Returned by a handler instead of a response to close the connection without
/// one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("handler aborted the connection")]
pub struct Aborted;

/// Why a connection was dropped before it was closed in the regular way.
#[derive(Debug, Error)]
enum DropReason {
    #[error("server aborted")]
    Abort,
    #[error("no memory is left for its head")]
    NoRoom,
    #[error("peer accepted no bytes for {0:?}")]
    Stalled(Duration),
    #[error(transparent)]
    Connection(#[from] hyper::Error),
}

/// Serves `stream` until it is closed or dropped, and logs the reason.
pub(crate) async fn serve_connection<H, A>(
    stream: TcpStream,
    peer: SocketAddr,
    limits: ServeLimits,
    handler: Rc<H>,
    signals: StopSignals,
) where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Aborted>> + 'static,
{
    log::debug!("http: connection from {peer} accepted");
    // Without this option small writes are delayed. An error is ignored, as
    // the connection works without it too.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let (writer, stalled) = StallDetectingWriter::new(writer, limits.write_timeout);
    let meter = HeadMeter::new(&limits.body_memory);
    let reader = MeteredReader::new(reader, meter.clone());
    let write_timeout = limits.write_timeout;
    let io = ShortWrites::new(HyperStream::new_plain((reader, writer)));
    let requests = pin!(serve_requests(io, peer, limits, handler, &signals, &meter));
    // Dropping this future closes the socket, even in the middle of a write.
    let aborted = pin!(signals.abort.wait());
    let out_of_room = pin!(meter.ended());
    let dropped = select(select(aborted, out_of_room), stalled);
    let ended = match select(requests, dropped).await {
        Either::Left((ended, _)) => ended.map_err(DropReason::from),
        Either::Right((Either::Left((Either::Left(_), _)), _)) => Err(DropReason::Abort),
        Either::Right((Either::Left((Either::Right(_), _)), _)) => Err(DropReason::NoRoom),
        Either::Right((Either::Right(_), _)) => Err(DropReason::Stalled(write_timeout)),
    };
    match ended {
        Ok(()) => log::debug!("http: connection from {peer} closed"),
        Err(error) => log::debug!("http: connection from {peer} dropped: {error}"),
    }
}

/// Answers requests until the peer closes the connection or the server shuts
/// down gracefully.
async fn serve_requests<H, A>(
    io: ShortWrites<HyperStream<(MeteredReader, StallDetectingWriter)>>,
    peer: SocketAddr,
    limits: ServeLimits,
    handler: Rc<H>,
    signals: &StopSignals,
    meter: &HeadMeter,
) -> Result<(), hyper::Error>
where
    H: Fn(Request<Incoming>, SocketAddr) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Aborted>> + 'static,
{
    let has_request = Rc::new(Cell::new(false));
    let request_received = Rc::clone(&has_request);
    let request_meter = meter.clone();
    // hyper reserves space for the handler's future as long as the connection
    // is open. The future takes tens of kilobytes; boxed, its memory is freed
    // once the response has a head.
    let service = service_fn(move |request| {
        request_received.set(true);
        let guard = request_meter.begin_request();
        let response = handler(request, peer);
        Box::pin(
            async move { Ok::<_, Aborted>(response.await?.map(|body| body.with_guard(guard))) },
        )
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.header_limit_bytes)
        .serve_connection(io, service);
    let mut connection = pin!(connection);
    match select(connection.as_mut(), pin!(signals.shutdown.wait())).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            if !has_request.get() {
                // The first request of a new connection may already be on its
                // way.
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
