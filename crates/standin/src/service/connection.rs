//! Serve loop whose handler can break the connection in place of an answer.
//!
//! The shared loop of `mangofront-http` always answers; a service that dies
//! after its work and before its answer is a fault that only this one shows.

use std::cell::Cell;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::HyperStream;
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use mangofront_http::{Body, Shutdown};
use thiserror::Error;

/// Pause between looks at the number of open connections while draining.
const DRAIN_PAUSE: Duration = Duration::from_millis(5);

/// Told in place of an answer: the connection ends without one.
#[derive(Debug, Error)]
#[error("connection broken by a switch")]
pub(super) struct Broken;

/// Serves `listener` until `shutdown`, then until its connections are done.
pub(super) async fn serve<H, A>(listener: TcpListener, handler: H, shutdown: Shutdown)
where
    H: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Broken>> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = match select(pin!(listener.accept()), pin!(shutdown.wait())).await {
            Either::Left((accepted, _)) => accepted,
            Either::Right(_) => break,
        };
        let Ok((stream, _)) = accepted else {
            compio::time::sleep(DRAIN_PAUSE).await;
            continue;
        };
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
        let handler = Rc::clone(&handler);
        let shutdown = shutdown.clone();
        compio::runtime::spawn(async move {
            serve_connection(stream, handler, shutdown).await;
            open.set(open.get() - 1);
        })
        .detach();
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(DRAIN_PAUSE).await;
    }
}

async fn serve_connection<H, A>(stream: TcpStream, handler: Rc<H>, shutdown: Shutdown)
where
    H: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Result<Response<Body>, Broken>> + 'static,
{
    // With an error answers still arrive, only later.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| handler(request));
    let connection =
        http1::Builder::new().serve_connection(HyperStream::new_plain(stream), service);
    let mut connection = pin!(connection);
    let ended = match select(connection.as_mut(), pin!(shutdown.wait())).await {
        Either::Left((ended, _)) => ended,
        Either::Right(_) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = ended {
        log::debug!("service stand-in: connection ended: {error}");
    }
}
