//! Tests of the server loop over loopback: what closes a connection and what
//! does not.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_util::StreamExt;
use http::{Request, Response};
use hyper::body::Incoming;
use mangofront_http::{
    Aborted, Body, ServeLimits, Shutdown, ShutdownTrigger, StopSignals, full, serve,
    serve_abortable, stream,
};

/// Generous limit: a test that takes longer fails.
const TEST_TIMEOUT: Duration = Duration::from_secs(10);

const REQUEST: &str = "GET / HTTP/1.1\r\nhost: test\r\n\r\n";

const CHUNK_BYTES: usize = 64 * 1024;

async fn with_timeout<T>(work: impl Future<Output = T>) -> T {
    let done = compio::time::timeout(TEST_TIMEOUT, work).await;
    done.expect("not done within the test timeout")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

async fn request(address: SocketAddr) -> TcpStream {
    let mut client = TcpStream::connect(address).await.expect("server listens");
    client.write_all(REQUEST).await.expect("request written");
    client
}

/// Reads until the connection is closed or reset.
async fn read_to_end(client: &mut TcpStream) -> Vec<u8> {
    let mut received = Vec::new();
    loop {
        let BufResult(read, chunk) = client.read(Vec::with_capacity(CHUNK_BYTES)).await;
        match read {
            Ok(0) | Err(_) => return received,
            Ok(_) => received.extend(chunk),
        }
    }
}

async fn read_chunk(client: &mut TcpStream) {
    let BufResult(read, _) = client.read(Vec::with_capacity(CHUNK_BYTES)).await;
    assert!(read.expect("response continues") > 0);
}

/// Sends a signal when the body that owns it is dropped.
struct DropSignal(Option<ShutdownTrigger>);

impl Drop for DropSignal {
    fn drop(&mut self) {
        if let Some(trigger) = self.0.take() {
            trigger.trigger();
        }
    }
}

/// Endless response body, and a signal that it was dropped.
fn endless_body() -> (Body, Shutdown) {
    let (trigger, dropped) = Shutdown::new();
    let chunks = futures_util::stream::repeat(Bytes::from_static(&[b'x'; CHUNK_BYTES]));
    let guard = DropSignal(Some(trigger));
    let body = stream(chunks.map(move |chunk| {
        let _guard = &guard;
        chunk
    }));
    (body, dropped)
}

/// Serves one response; the server runs until one of its signals is sent.
fn serve_one(
    listener: TcpListener,
    limits: ServeLimits,
    response: Result<Body, Aborted>,
    signals: StopSignals,
) {
    let response = RefCell::new(Some(response));
    let handler = move |_: Request<Incoming>, _| {
        let response = response.borrow_mut().take().unwrap_or(Err(Aborted));
        async move { response.map(Response::new) }
    };
    compio::runtime::spawn(serve_abortable(listener, limits, handler, signals)).detach();
}

fn signals() -> (ShutdownTrigger, ShutdownTrigger, StopSignals) {
    let (stop, shutdown) = Shutdown::new();
    let (abort_trigger, abort) = Shutdown::new();
    (stop, abort_trigger, StopSignals { shutdown, abort })
}

#[compio::test]
async fn peer_that_accepts_no_bytes_is_dropped() {
    let (listener, address) = listen().await;
    let (_stop, _abort_trigger, signals) = signals();
    let limits = ServeLimits {
        write_timeout: Duration::from_millis(100),
        ..ServeLimits::default()
    };
    let (body, dropped) = endless_body();
    serve_one(listener, limits, Ok(body), signals);
    let mut client = request(address).await;
    read_chunk(&mut client).await;
    with_timeout(dropped.wait()).await;
    // The response is endless, so reading ends only if the socket was closed.
    with_timeout(read_to_end(&mut client)).await;
}

#[compio::test]
async fn idle_connection_is_closed_by_the_header_timeout() {
    let (listener, address) = listen().await;
    let (_stop, shutdown) = Shutdown::new();
    let limits = ServeLimits {
        header_timeout: Duration::from_millis(100),
        ..ServeLimits::default()
    };
    let responses = Rc::new(Cell::new(0));
    let counted = Rc::clone(&responses);
    let handler = move |_, _| {
        counted.set(counted.get() + 1);
        async { Response::new(full("done")) }
    };
    compio::runtime::spawn(serve(listener, limits, handler, shutdown)).detach();
    let mut client = request(address).await;
    let response = with_timeout(read_to_end(&mut client)).await;
    assert!(response.ends_with(b"done"));
    assert_eq!(responses.get(), 1);
}

#[compio::test]
async fn abort_closes_a_connection_during_a_response() {
    let (listener, address) = listen().await;
    let (_stop, abort_trigger, signals) = signals();
    let (body, dropped) = endless_body();
    serve_one(listener, ServeLimits::default(), Ok(body), signals);
    let mut client = request(address).await;
    read_chunk(&mut client).await;
    abort_trigger.trigger();
    with_timeout(dropped.wait()).await;
    with_timeout(read_to_end(&mut client)).await;
    assert!(TcpStream::connect(address).await.is_err());
}

#[compio::test]
async fn graceful_shutdown_completes_a_response() {
    let (listener, address) = listen().await;
    let (stop, _abort_trigger, signals) = signals();
    let (sender, receiver) = futures_channel::mpsc::unbounded();
    serve_one(
        listener,
        ServeLimits::default(),
        Ok(stream(receiver)),
        signals,
    );
    let mut client = request(address).await;
    sender.unbounded_send(Bytes::from_static(b"first")).unwrap();
    read_chunk(&mut client).await;
    stop.trigger();
    sender.unbounded_send(Bytes::from_static(b"last")).unwrap();
    drop(sender);
    let rest = with_timeout(read_to_end(&mut client)).await;
    let rest = String::from_utf8(rest).unwrap();
    assert!(rest.ends_with("last\r\n0\r\n\r\n"), "{rest}");
}

#[compio::test]
async fn aborted_request_closes_its_connection_without_a_response() {
    let (listener, address) = listen().await;
    let (_stop, _abort_trigger, signals) = signals();
    serve_one(listener, ServeLimits::default(), Err(Aborted), signals);
    let mut client = request(address).await;
    assert!(with_timeout(read_to_end(&mut client)).await.is_empty());
}

/// Response to a request sent right before or after its server is told to stop.
async fn response_during_shutdown(sent_before_stop: bool) -> Vec<u8> {
    let (listener, address) = listen().await;
    let (trigger, shutdown) = Shutdown::new();
    let mut client = TcpStream::connect(address).await.expect("server listens");
    let mut trigger = Some(trigger);
    let mut stop = || trigger.take().map(ShutdownTrigger::trigger);
    if sent_before_stop {
        client.write_all(REQUEST).await.expect("request written");
        stop();
    }
    let handler = |_request, _peer| async { Response::new(full("complete")) };
    let server = serve(listener, ServeLimits::default(), handler, shutdown);
    let exchange = async {
        if !sent_before_stop {
            // Let the server accept the connection first.
            compio::time::sleep(Duration::from_millis(10)).await;
            stop();
            compio::time::sleep(Duration::from_millis(10)).await;
            client.write_all(REQUEST).await.expect("request written");
        }
        read_to_end(&mut client).await
    };
    with_timeout(futures_util::future::join(exchange, server))
        .await
        .0
}

#[compio::test]
async fn request_in_the_backlog_is_answered_during_shutdown() {
    assert!(response_during_shutdown(true).await.ends_with(b"complete"));
}

#[compio::test]
async fn first_request_of_a_connection_is_answered_during_shutdown() {
    assert!(response_during_shutdown(false).await.ends_with(b"complete"));
}
