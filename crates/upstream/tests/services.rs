//! Tests of plain services whose answers have neither a length nor chunks.

mod support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread;

use bytes::Bytes;
use http::{HeaderMap, Method};
use mangofront_http::Outcome;
use mangofront_upstream::SendError;
use mangofront_upstream::service::{Call, ServiceResponse, call, call_once};

use support::{AfterReply, Reply, Server, connections, deadline, target};

const LIMIT_BYTES: usize = 1024;

fn reading() -> Call {
    Call {
        method: Method::GET,
        path_and_query: "/reading".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
    }
}

/// Starts a server whose process ends in the middle of its first answer.
fn start_crashing() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        let (mut stream, _) = listener.accept().expect("a connection");
        let read = stream.read(&mut [0; 1024]);
        let sent = stream.write_all(b"HTTP/1.1 200 OK\r\n\r\nhalf");
        assert!(read.is_ok() && sent.is_ok(), "the client is there");
        drop(listener);
    });
    address
}

fn assert_unknown(answer: &Result<ServiceResponse, SendError>) {
    let outcome = answer.as_ref().map_err(SendError::outcome).err();
    assert_eq!(outcome, Some(Outcome::Unknown), "{answer:?}");
}

/// Guards against a body that the end of its server cut being taken for all of it.
#[compio::test]
async fn answers_that_a_crash_cuts_are_not_complete() {
    let connections = connections();
    let crashing = target(start_crashing());
    let answer = call(&connections, &crashing, reading(), LIMIT_BYTES, deadline()).await;
    assert_unknown(&answer);
    let crashing = target(start_crashing());
    let opened = connections.open(&crashing, deadline()).await.expect("open");
    let answer = call_once(opened, reading(), LIMIT_BYTES, deadline()).await;
    assert_unknown(&answer);
}

/// Guards against sound answers being rejected.
#[compio::test]
async fn answers_of_a_server_that_goes_on_are_complete() {
    let server = Server::start(|_| Reply {
        raw: "HTTP/1.1 200 OK\r\n\r\nwhole".to_owned(),
        then: AfterReply::Close,
    })
    .await;
    let connections = connections();
    let answer = call(
        &connections,
        &server.target,
        reading(),
        LIMIT_BYTES,
        deadline(),
    )
    .await;
    assert_eq!(answer.expect("an answer").body, "whole");
}
