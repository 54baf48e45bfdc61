//! Tests of connection reuse, and of the outcome of failed calls.

mod support;

use std::collections::BTreeMap;
use std::pin::pin;

use compio::net::TcpListener;
use futures_util::StreamExt;
use mangofront_bodies::Purpose;
use mangofront_http::Outcome;
use mangofront_upstream::{Connections, SendError, Step, Target};

use support::{Reply, Server, connections, deadline, get, target};

const LIMIT_BYTES: usize = 1024;

async fn call(connections: &Connections, target: &Target, path: &str) -> Result<String, SendError> {
    let response = connections.send(target, get(path), deadline()).await?;
    let body = response
        .bytes(Purpose::Answer, LIMIT_BYTES, deadline())
        .await?;
    Ok(String::from_utf8_lossy(&body).into_owned())
}

#[compio::test]
async fn complete_response_leaves_its_connection_to_the_next_call() {
    let server = Server::start(Reply::ok).await;
    let connections = connections();
    for path in ["/first", "/second"] {
        let response = call(&connections, &server.target, path).await;
        assert_eq!(response.unwrap(), format!("GET {path}"));
    }
    assert_eq!(server.connection_numbers(), [0, 0]);
}

#[compio::test]
async fn response_dropped_early_closes_its_connection() {
    let server = Server::start(|call| match call {
        "GET /first" => Reply::open_stream(&["late".to_owned()]),
        _ => Reply::ok("second"),
    })
    .await;
    let connections = connections();
    let first = connections
        .send(&server.target, get("/first"), deadline())
        .await;
    {
        let mut chunks = pin!(first.unwrap().chunks());
        chunks.next().await.unwrap().unwrap();
    }
    let second = call(&connections, &server.target, "/second").await;
    assert_eq!(second.unwrap(), "second");
    assert_eq!(server.connection_numbers(), [0, 1]);
    server.wait_closed(1).await;
}

#[compio::test]
async fn fresh_connection_is_opened_despite_an_idle_one() {
    let server = Server::start(Reply::ok).await;
    let connections = connections();
    call(&connections, &server.target, "/first").await.unwrap();
    let opened = connections.open(&server.target, deadline()).await.unwrap();
    opened.send(get("/once"), deadline()).await.unwrap();
    assert_eq!(server.connection_numbers(), [0, 1]);
}

#[compio::test]
async fn failure_to_connect_has_the_outcome_not_run() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed_port = target(listener.local_addr().unwrap());
    drop(listener);
    let error = call(&connections(), &closed_port, "/call")
        .await
        .unwrap_err();
    assert!(
        matches!(
            error,
            SendError::ConnectionFailed {
                step: Step::Connect,
                ..
            }
        ),
        "{error:?}"
    );
    assert_eq!(error.outcome(), Outcome::NotRun);
}

#[compio::test]
async fn connection_closed_after_the_request_has_an_unknown_outcome() {
    let server = Server::start(|call| match call {
        "GET /good" => Reply::ok("good"),
        _ => Reply::nothing(),
    })
    .await;
    let connections = connections();
    // The first failure is on a new connection, the second on a reused one.
    for before in [None, Some("/good")] {
        if let Some(path) = before {
            call(&connections, &server.target, path).await.unwrap();
        }
        let error = call(&connections, &server.target, "/bad").await;
        let error = error.unwrap_err();
        assert_eq!(error.outcome(), Outcome::Unknown, "{error:?}");
    }
    assert_eq!(server.calls(), ["GET /bad", "GET /good", "GET /bad"]);
    assert_eq!(server.connection_numbers(), [0, 1, 1]);
}

#[compio::test]
async fn truncated_body_has_an_unknown_outcome() {
    let server = Server::start(|_| {
        let mut reply = Reply::ok("complete").and_close();
        reply.raw.pop();
        reply
    })
    .await;
    let error = call(&connections(), &server.target, "/call").await;
    let error = error.unwrap_err();
    assert_eq!(error.outcome(), Outcome::Unknown, "{error:?}");
    assert_eq!(error.step_name(), Step::Body.name());
}

#[compio::test]
async fn no_call_is_sent_twice_when_idle_connections_are_closed() {
    let server = Server::start(|_| Reply::ok("done").and_close()).await;
    let connections = connections();
    let mut outcomes = BTreeMap::new();
    for number in 0..60 {
        let path = format!("/{number}");
        let response = call(&connections, &server.target, &path).await;
        outcomes.insert(path, response.map_err(|error| error.outcome()));
        // Some calls are sent while the connection is being closed, others after it.
        if number % 3 == 0 {
            server.wait_closed(server.received().len()).await;
        }
    }
    for (path, outcome) in &outcomes {
        let call = format!("GET {path}");
        let runs = server
            .calls()
            .iter()
            .filter(|received| **received == call)
            .count();
        match outcome {
            Ok(_) => assert_eq!(runs, 1, "{path}"),
            Err(Outcome::NotRun) => assert_eq!(runs, 0, "{path}"),
            Err(_) => assert!(runs <= 1, "{path} ran {runs} times"),
        }
    }
    assert!(outcomes.values().filter(|outcome| outcome.is_ok()).count() >= 20);
}

/// Guards against calls to an upstream that has announced its shutdown: a call may become
/// unwanted while its connection is opened, or before it takes an idle one.
#[compio::test]
async fn withdrawn_call_is_not_written() {
    let server = Server::start(Reply::ok).await;
    let connections = connections();
    let withdrawn = connections.send_if(&server.target, get("/new"), deadline(), || false);
    let error = withdrawn.await.unwrap_err();
    assert!(matches!(error, SendError::Withdrawn { .. }), "{error}");
    assert_eq!(error.outcome(), Outcome::NotRun);
    call(&connections, &server.target, "/first").await.unwrap();
    let withdrawn = connections.send_if(&server.target, get("/used"), deadline(), || false);
    assert!(withdrawn.await.is_err());
    let opened = connections.open(&server.target, deadline()).await.unwrap();
    let withdrawn = opened.send_if(get("/own"), deadline(), || false).await;
    assert!(withdrawn.is_err());
    assert_eq!(server.connection_numbers().len(), 1, "one call was written");
}

/// Guards against idle connections beyond the limit of their address, kept from before it was set
/// or added since.
#[compio::test]
async fn idle_connections_beyond_the_limit_of_their_address_are_closed() {
    let server = Server::start(Reply::ok).await;
    let connections = connections();
    let open_three = async || {
        for path in ["/first", "/second", "/third"] {
            let opened = connections.open(&server.target, deadline()).await.unwrap();
            let response = opened.send(get(path), deadline()).await.unwrap();
            response
                .bytes(Purpose::Answer, LIMIT_BYTES, deadline())
                .await
                .unwrap();
        }
    };
    open_three().await;
    connections.set_idle_limits([(server.target.address, 1)].into());
    server.wait_closed(2).await;
    open_three().await;
    server.wait_closed(5).await;
    let other = Server::start(Reply::ok).await;
    call(&connections, &other.target, "/other").await.unwrap();
    assert!(connections.idle_addresses().contains(&other.target.address));
    connections.set_idle_limits([(server.target.address, 0)].into());
    server.wait_closed(6).await;
    assert!(
        !connections
            .idle_addresses()
            .contains(&server.target.address)
    );
}
