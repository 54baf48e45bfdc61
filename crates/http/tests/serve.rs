//! The serve loop over loopback: what ends a connection, and what does not.

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

/// Generous: the tests fail after it, and pass as soon as they can.
const PATIENCE: Duration = Duration::from_secs(10);

const REQUEST: &str = "GET / HTTP/1.1\r\nhost: test\r\n\r\n";

const CHUNK_BYTES: usize = 64 * 1024;

async fn within<T>(work: impl Future<Output = T>) -> T {
    let done = compio::time::timeout(PATIENCE, work).await;
    done.expect("not done in time")
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
    let address = listener.local_addr().expect("bound");
    (listener, address)
}

async fn request(address: SocketAddr) -> TcpStream {
    let mut caller = TcpStream::connect(address).await.expect("server listens");
    caller.write_all(REQUEST).await.expect("request written");
    caller
}

/// All that comes until the connection ends, by a close or by a reset.
async fn read_to_end(caller: &mut TcpStream) -> Vec<u8> {
    let mut all = Vec::new();
    loop {
        let BufResult(read, part) = caller.read(Vec::with_capacity(CHUNK_BYTES)).await;
        match read {
            Ok(0) | Err(_) => return all,
            Ok(_) => all.extend(part),
        }
    }
}

async fn read_some(caller: &mut TcpStream) {
    let BufResult(read, _) = caller.read(Vec::with_capacity(CHUNK_BYTES)).await;
    assert!(read.expect("answer goes on") > 0);
}

/// Tells when the body that holds it is dropped.
struct OnDrop(Option<ShutdownTrigger>);

impl Drop for OnDrop {
    fn drop(&mut self) {
        if let Some(trigger) = self.0.take() {
            trigger.trigger();
        }
    }
}

/// Endless answer, and the signal that it was dropped.
fn endless() -> (Body, Shutdown) {
    let (trigger, dropped) = Shutdown::new();
    let chunks = futures_util::stream::repeat(Bytes::from_static(&[b'x'; CHUNK_BYTES]));
    let guard = OnDrop(Some(trigger));
    let body = stream(chunks.map(move |chunk| {
        let _held = &guard;
        chunk
    }));
    (body, dropped)
}

/// Serves one answer; the server lives until its ends are used.
fn serve_one(
    listener: TcpListener,
    limits: ServeLimits,
    answer: Result<Body, Aborted>,
    ends: StopSignals,
) {
    let answer = RefCell::new(Some(answer));
    let handler = move |_: Request<Incoming>, _| {
        let answer = answer.borrow_mut().take().unwrap_or(Err(Aborted));
        async move { answer.map(Response::new) }
    };
    compio::runtime::spawn(serve_abortable(listener, limits, handler, ends)).detach();
}

fn ends() -> (ShutdownTrigger, ShutdownTrigger, StopSignals) {
    let (stop, shutdown) = Shutdown::new();
    let (kill, abort) = Shutdown::new();
    (stop, kill, StopSignals { shutdown, abort })
}

#[compio::test]
async fn peer_that_takes_no_bytes_is_dropped() {
    let (listener, address) = listen().await;
    let (_stop, _kill, ends) = ends();
    let limits = ServeLimits {
        write_timeout: Duration::from_millis(100),
        ..ServeLimits::default()
    };
    let (body, dropped) = endless();
    serve_one(listener, limits, Ok(body), ends);
    let mut caller = request(address).await;
    read_some(&mut caller).await;
    within(dropped.wait()).await;
    // An endless answer ends here only if the socket was closed as well.
    within(read_to_end(&mut caller)).await;
}

#[compio::test]
async fn idle_connection_is_closed_by_the_header_timeout() {
    let (listener, address) = listen().await;
    let (_stop, shutdown) = Shutdown::new();
    let limits = ServeLimits {
        header_timeout: Duration::from_millis(100),
        ..ServeLimits::default()
    };
    let answers = Rc::new(Cell::new(0));
    let counted = Rc::clone(&answers);
    let handler = move |_, _| {
        counted.set(counted.get() + 1);
        async { Response::new(full("done")) }
    };
    compio::runtime::spawn(serve(listener, limits, handler, shutdown)).detach();
    let mut caller = request(address).await;
    let answer = within(read_to_end(&mut caller)).await;
    assert!(answer.ends_with(b"done"));
    assert_eq!(answers.get(), 1);
}

#[compio::test]
async fn abort_cuts_an_answer_off() {
    let (listener, address) = listen().await;
    let (_stop, kill, ends) = ends();
    let (body, dropped) = endless();
    serve_one(listener, ServeLimits::default(), Ok(body), ends);
    let mut caller = request(address).await;
    read_some(&mut caller).await;
    kill.trigger();
    within(dropped.wait()).await;
    within(read_to_end(&mut caller)).await;
    assert!(TcpStream::connect(address).await.is_err());
}

#[compio::test]
async fn graceful_shutdown_ends_an_answer_whole() {
    let (listener, address) = listen().await;
    let (stop, _kill, ends) = ends();
    let (sender, receiver) = futures_channel::mpsc::unbounded();
    serve_one(listener, ServeLimits::default(), Ok(stream(receiver)), ends);
    let mut caller = request(address).await;
    sender.unbounded_send(Bytes::from_static(b"first")).unwrap();
    read_some(&mut caller).await;
    stop.trigger();
    sender.unbounded_send(Bytes::from_static(b"last")).unwrap();
    drop(sender);
    let rest = within(read_to_end(&mut caller)).await;
    let rest = String::from_utf8(rest).unwrap();
    assert!(rest.ends_with("last\r\n0\r\n\r\n"), "{rest}");
}

#[compio::test]
async fn aborted_request_ends_its_connection_unanswered() {
    let (listener, address) = listen().await;
    let (_stop, _kill, ends) = ends();
    serve_one(listener, ServeLimits::default(), Err(Aborted), ends);
    let mut caller = request(address).await;
    assert!(within(read_to_end(&mut caller)).await.is_empty());
}

/// Answer to a call that meets a server which was told to stop.
async fn answer_at_the_stop(is_sent_before: bool) -> Vec<u8> {
    let (listener, address) = listen().await;
    let (trigger, shutdown) = Shutdown::new();
    let mut caller = TcpStream::connect(address).await.expect("server listens");
    let mut trigger = Some(trigger);
    let mut stop = || trigger.take().map(ShutdownTrigger::trigger);
    if is_sent_before {
        caller.write_all(REQUEST).await.expect("request written");
        stop();
    }
    let answer = |_request, _peer| async { Response::new(full("whole")) };
    let serving = serve(listener, ServeLimits::default(), answer, shutdown);
    let calling = async {
        if !is_sent_before {
            // The server takes the connection first.
            compio::time::sleep(Duration::from_millis(10)).await;
            stop();
            compio::time::sleep(Duration::from_millis(10)).await;
            caller.write_all(REQUEST).await.expect("request written");
        }
        read_to_end(&mut caller).await
    };
    within(futures_util::future::join(calling, serving)).await.0
}

#[compio::test]
async fn request_in_the_backlog_is_answered_at_the_stop() {
    assert!(answer_at_the_stop(true).await.ends_with(b"whole"));
}

#[compio::test]
async fn first_request_of_a_connection_is_answered_at_the_stop() {
    assert!(answer_at_the_stop(false).await.ends_with(b"whole"));
}
