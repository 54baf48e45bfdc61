//! A server that follows a script, and says what reached it.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of these helpers"
)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::buf::BufResult;
use compio::io::{AsyncRead, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use http::Request;
use http_body_util::Full;
use mangofront_upstream::{Connections, ConnectionsOptions, Target};

/// Generous: a test fails after it, and goes on as soon as it can.
const PATIENCE: Duration = Duration::from_secs(10);

/// What the server does about one request.
pub struct Reply {
    /// Written as it is.
    pub raw: String,
    pub then: Then,
}

/// What the server does after a reply.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Then {
    /// Reads the next request.
    Read,
    /// Closes the connection.
    Close,
}

impl Reply {
    pub fn whole(body: &str) -> Self {
        Self::status("200 OK", body)
    }

    pub fn status(status: &str, body: &str) -> Self {
        let length = body.len();
        Self {
            raw: format!("HTTP/1.1 {status}\r\ncontent-length: {length}\r\n\r\n{body}"),
            then: Then::Read,
        }
    }

    /// Event stream that goes on after `events`.
    pub fn unfinished(events: &[String]) -> Self {
        let mut raw = "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n".to_owned();
        for event in events {
            let chunk = format!("data: {event}\n\n");
            raw += &format!("{:x}\r\n{chunk}\r\n", chunk.len());
        }
        Self {
            raw,
            then: Then::Read,
        }
    }

    /// Event stream that ends after `events`.
    pub fn finished(events: &[String]) -> Self {
        let mut reply = Self::unfinished(events);
        reply.raw += "0\r\n\r\n";
        reply
    }

    /// No byte; the connection closes.
    pub fn none() -> Self {
        Self {
            raw: String::new(),
            then: Then::Close,
        }
    }

    pub fn and_close(mut self) -> Self {
        self.then = Then::Close;
        self
    }
}

/// A request as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Seen {
    /// Number of the connection, from 0.
    pub connection: usize,
    /// Method and path.
    pub call: String,
}

/// Scripted server on loopback.
#[derive(Clone)]
pub struct Server {
    pub target: Target,
    seen: Rc<RefCell<Vec<Seen>>>,
    closed: Rc<Cell<usize>>,
}

impl Server {
    /// Replies to each call, `METHOD path`, as `script` says.
    pub async fn start(script: impl Fn(&str) -> Reply + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("free port");
        let server = Self {
            target: target(listener.local_addr().expect("bound")),
            seen: Rc::default(),
            closed: Rc::default(),
        };
        let accepting = server.clone();
        let script = Rc::new(script);
        compio::runtime::spawn(async move {
            for connection in 0.. {
                let (stream, _) = listener.accept().await.expect("accepted");
                let serving = accepting
                    .clone()
                    .serve(stream, connection, Rc::clone(&script));
                compio::runtime::spawn(serving).detach();
            }
        })
        .detach();
        server
    }

    async fn serve(
        self,
        mut stream: TcpStream,
        connection: usize,
        script: Rc<impl Fn(&str) -> Reply>,
    ) {
        while let Some(call) = read_call(&mut stream).await {
            self.seen.borrow_mut().push(Seen {
                connection,
                call: call.clone(),
            });
            let reply = script(&call);
            if stream.write_all(reply.raw).await.is_err() || reply.then == Then::Close {
                break;
            }
        }
        self.closed.set(self.closed.get() + 1);
    }

    /// Requests so far.
    pub fn seen(&self) -> Vec<Seen> {
        self.seen.borrow().clone()
    }

    /// Calls so far, without their connections.
    pub fn calls(&self) -> Vec<String> {
        self.seen().into_iter().map(|seen| seen.call).collect()
    }

    /// Connection of each call so far.
    pub fn connections(&self) -> Vec<usize> {
        self.seen().iter().map(|seen| seen.connection).collect()
    }

    /// Waits until `count` connections have ended.
    pub async fn closed(&self, count: usize) {
        wait_for(|| self.closed.get() >= count).await;
    }

    /// Waits until `call` arrived.
    pub async fn called(&self, call: &str) {
        wait_for(|| self.seen.borrow().iter().any(|seen| seen.call == call)).await;
    }
}

async fn wait_for(condition: impl Fn() -> bool) {
    let deadline = deadline();
    while !condition() {
        assert!(Instant::now() < deadline, "not so in time");
        compio::time::sleep(Duration::from_millis(1)).await;
    }
}

/// Reads one request whole; `None` when the connection ends.
async fn read_call(stream: &mut TcpStream) -> Option<String> {
    let mut all = Vec::new();
    loop {
        if let Some(call) = whole_call(&all) {
            return Some(call);
        }
        let BufResult(read, part) = stream.read(Vec::with_capacity(4096)).await;
        match read {
            Ok(0) | Err(_) => return None,
            Ok(_) => all.extend(part),
        }
    }
}

fn whole_call(bytes: &[u8]) -> Option<String> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
        .map_or(0, |length| length.parse().expect("a length"));
    let first = head.lines().next().expect("a request line");
    (body.len() >= length).then(|| first.trim_end_matches(" HTTP/1.1").to_owned())
}

pub fn target(address: SocketAddr) -> Target {
    Target {
        instance: "engine-1".to_owned(),
        address,
    }
}

pub fn connections() -> Connections {
    Connections::new(ConnectionsOptions {
        idle_timeout: PATIENCE,
        ..ConnectionsOptions::default()
    })
}

pub fn deadline() -> Instant {
    Instant::now() + PATIENCE
}

pub fn get(path: &str) -> Request<Full<Bytes>> {
    Request::get(path)
        .header("host", "test")
        .body(Full::default())
        .expect("a request")
}
