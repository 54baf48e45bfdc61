//! Tests of answers that begin before their request is written to its end.

mod support;

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use mangofront_bodies::Purpose;
use mangofront_upstream::{Connections, SendError, Target};
use socket2::SockRef;

use support::{connections, deadline, target};

/// Enough for the answer to be read while the upload is written.
const UPLOAD_BYTES: usize = 4_100_000;

const ANSWER_BYTES: usize = 1_000_000;

const LIMIT_BYTES: usize = 2 * ANSWER_BYTES;

/// Receive buffer of the server, so that the upload does not fit into the sockets' buffers.
const RECEIVE_BUFFER_BYTES: usize = 8 * 1024;

/// Time from the last write of a broken answer to its end.
const END_DELAY: Duration = Duration::from_millis(1);

/// Part of the upload that the server reads at once, in bytes.
const PART_BYTES: usize = 64 * 1024;

const ROUNDS: usize = 40;

/// How the end of an answer's body is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    None,
    Length,
    Chunks,
}

/// What the server does with the upload while it answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Upload {
    Unread,
    Read,
}

/// How the server ends its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    Reset,
    /// Closes it while parts of the upload are unread, which resets it.
    Close,
    /// Ends its own direction, and closes the connection once the upload has ended.
    WriteSide,
}

#[derive(Debug, Clone, Copy)]
struct Scenario {
    framing: Framing,
    /// Part of the answer that is sent, in bytes.
    sent_bytes: usize,
    upload: Upload,
    end: End,
}

impl Scenario {
    /// An answer without framing that is broken off.
    const BROKEN: Self = Self {
        framing: Framing::None,
        sent_bytes: ANSWER_BYTES / 2,
        upload: Upload::Unread,
        end: End::Reset,
    };

    fn answer(&self) -> Vec<u8> {
        let body = vec![b'x'; self.sent_bytes];
        let framing = match self.framing {
            Framing::None => String::new(),
            Framing::Length => format!("content-length: {ANSWER_BYTES}\r\n"),
            Framing::Chunks => "transfer-encoding: chunked\r\n".to_owned(),
        };
        let mut answer = format!("HTTP/1.1 200 OK\r\n{framing}\r\n").into_bytes();
        if self.framing == Framing::Chunks {
            answer.extend(format!("{ANSWER_BYTES:x}\r\n").into_bytes());
        }
        answer.extend(body);
        answer
    }

    /// Answers one request as soon as its head has arrived.
    fn serve(self, mut stream: TcpStream) {
        let mut head = [0; 1024];
        if !matches!(stream.read(&mut head), Ok(1..)) {
            return;
        }
        let answered = AtomicBool::new(false);
        thread::scope(|scope| {
            if self.upload == Upload::Read {
                scope.spawn(|| read_until(&answered, &stream));
            }
            // Fails once the client has given up.
            let _ = (&stream).write_all(&self.answer());
            if self.end != End::WriteSide {
                thread::sleep(END_DELAY);
            }
            answered.store(true, Ordering::Relaxed);
        });
        match self.end {
            End::Reset => {
                let linger = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                linger.expect("a socket takes the option");
            }
            End::Close => {}
            End::WriteSide => {
                stream.shutdown(Shutdown::Write).expect("still open");
                read_to_end(stream);
            }
        }
    }
}

fn read_to_end(mut stream: TcpStream) {
    let mut part = vec![0; PART_BYTES];
    while matches!(stream.read(&mut part), Ok(1..)) {}
}

/// Reads until `answered` is set, so that no read keeps the connection open after that.
fn read_until(answered: &AtomicBool, mut stream: &TcpStream) {
    let timeout_set = stream.set_read_timeout(Some(Duration::from_millis(1)));
    timeout_set.expect("a socket takes the option");
    let mut part = vec![0; PART_BYTES];
    while !answered.load(Ordering::Relaxed) {
        // Fails once nothing has arrived in time.
        let _ = stream.read(&mut part);
    }
    let timeout_reset = stream.set_read_timeout(None);
    timeout_reset.expect("a socket takes the option");
}

/// Starts a server that answers each connection's request as `scenario` says.
fn start(scenario: Scenario) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    SockRef::from(&listener)
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("a socket takes the option");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            thread::spawn(move || scenario.serve(stream));
        }
    });
    address
}

/// Uploads a body and returns the length of the answer that counts as complete.
async fn upload(connections: &Connections, target: &Target) -> Result<usize, SendError> {
    let request = Request::post("/upload")
        .header("host", "test")
        .body(Full::new(Bytes::from(vec![b'u'; UPLOAD_BYTES])))
        .expect("a request");
    let opened = connections.open(target, deadline()).await?;
    let answer = opened.send(request, deadline()).await?;
    let body = answer.bytes(Purpose::Answer, LIMIT_BYTES, deadline());
    Ok(body.await?.len())
}

/// Lengths of the answers that counted as complete.
async fn complete_answers(scenario: Scenario) -> Vec<usize> {
    let (connections, target) = (connections(), target(start(scenario)));
    let mut lengths = Vec::new();
    for _ in 0..ROUNDS {
        lengths.extend(upload(&connections, &target).await.ok());
    }
    lengths
}

/// Guards against a part of an answer without framing being taken for all of it, as the reset of its
/// connection was reported to the upload.
#[compio::test]
async fn answers_that_are_reset_during_an_upload_are_not_complete() {
    for upload in [Upload::Unread, Upload::Read] {
        for end in [End::Reset, End::Close] {
            let scenario = Scenario {
                upload,
                end,
                ..Scenario::BROKEN
            };
            // What is closed without unread bytes has ended in order.
            if (upload, end) == (Upload::Read, End::Close) {
                continue;
            }
            let complete = complete_answers(scenario).await;
            assert!(complete.is_empty(), "{scenario:?}: {complete:?}");
        }
    }
}

#[compio::test]
async fn framed_answers_that_are_reset_during_an_upload_are_not_complete() {
    for framing in [Framing::Length, Framing::Chunks] {
        let scenario = Scenario {
            framing,
            ..Scenario::BROKEN
        };
        let complete = complete_answers(scenario).await;
        assert!(complete.is_empty(), "{scenario:?}: {complete:?}");
    }
}

/// Guards against sound answers being rejected because the upload is not read or goes on.
#[compio::test]
async fn whole_answers_during_an_upload_are_complete() {
    for upload in [Upload::Unread, Upload::Read] {
        let scenario = Scenario {
            sent_bytes: ANSWER_BYTES,
            upload,
            end: End::WriteSide,
            ..Scenario::BROKEN
        };
        let complete = complete_answers(scenario).await;
        assert_eq!(complete, [ANSWER_BYTES; ROUNDS], "{scenario:?}");
    }
}
