//! A serve loop whose connections can be cut off at once.
//!
//! `mangofront_http::serve` always ends its answers whole, which is right for
//! the product. An emulator must also be able to die: its listener and all its
//! connections close in the middle of whatever they were saying.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use mangofront_http::{Body, Shutdown};

const ACCEPT_PAUSE: Duration = Duration::from_millis(10);
const DRAIN_PAUSE: Duration = Duration::from_millis(5);

/// Two ways in which a server ends.
#[derive(Debug, Clone)]
pub(crate) struct Ends {
    /// Planned stop: answers in progress are ended whole.
    pub(crate) shutdown: Shutdown,
    /// Death: connections are cut at once.
    pub(crate) death: Shutdown,
}

/// Serves `listener` until one of `ends`.
pub(crate) async fn serve<H, A>(listener: TcpListener, handler: H, ends: Ends)
where
    H: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Response<Body>> + 'static,
{
    let handler = Rc::new(handler);
    let open = Rc::new(Cell::new(0_usize));
    while let Some(accepted) = accept(&listener, &ends).await {
        let Ok(stream) = accepted else {
            compio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let handler = Rc::clone(&handler);
        let ends = ends.clone();
        let open = Rc::clone(&open);
        open.set(open.get() + 1);
        compio::runtime::spawn(async move {
            serve_until_death(stream, handler, ends).await;
            open.set(open.get() - 1);
        })
        .detach();
    }
    drop(listener);
    while open.get() > 0 {
        compio::time::sleep(DRAIN_PAUSE).await;
    }
}

async fn accept(listener: &TcpListener, ends: &Ends) -> Option<std::io::Result<TcpStream>> {
    let stopped = pin!(ends.shutdown.wait());
    let died = pin!(ends.death.wait());
    match select(pin!(listener.accept()), select(stopped, died)).await {
        Either::Left((accepted, _)) => Some(accepted.map(|(stream, _)| stream)),
        Either::Right(_) => None,
    }
}

async fn serve_until_death<H, A>(stream: TcpStream, handler: Rc<H>, ends: Ends)
where
    H: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Response<Body>> + 'static,
{
    let death = ends.death.clone();
    let connection = serve_connection(stream, handler, ends.shutdown);
    select(pin!(death.wait()), pin!(connection)).await;
}

async fn serve_connection<H, A>(stream: TcpStream, handler: Rc<H>, shutdown: Shutdown)
where
    H: Fn(Request<Incoming>) -> A + 'static,
    A: Future<Output = Response<Body>> + 'static,
{
    // Frames go out at once; with an error here they still arrive.
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
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
        log::debug!("standin: connection ended: {error}");
    }
}
