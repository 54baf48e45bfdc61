//! Tests of engines whose answers have no end.

mod support;

use std::time::{Duration, Instant};

use bytes::Bytes;
use mangofront_prompt::Endpoint;
use mangofront_upstream::engine::{GenerateCall, generate, report};

use support::{Reply, Server, connections, deadline};

/// Time after which an answer is given up that exceeds a limit of its size.
const GIVE_UP_TIME: Duration = Duration::from_secs(4);

const HEADER: &str =
    "x-filler: xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n";

const LETTERS: &str =
    "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx";

const OPEN_HEAD: &str = "HTTP/1.1 200 OK\r\n";

const INTERIM_RESPONSE: &str = "HTTP/1.1 100 Continue\r\n\r\n";

const BODY_START: &str = "HTTP/1.1 200 OK\r\nconnection: close\r\n\r\n";

const ERROR_BODY_START: &str = "HTTP/1.1 503 Full\r\nconnection: close\r\n\r\n";

fn call() -> GenerateCall {
    GenerateCall {
        endpoint: Endpoint::Completions,
        body: Bytes::from_static(b"{}"),
        request: "request-1".to_owned(),
        attempt: 1,
        priority: 0,
        resume_offset: 0,
        reservation: None,
        deadline: deadline(),
    }
}

/// Engine whose answers begin with `start` and go on with `repeated` without end; other calls than
/// starts and status checks are confirmed.
async fn engine(start: &'static str, repeated: &'static str) -> Server {
    Server::start(move |call| match call {
        "POST /v1/completions" | "GET /v1/status" => Reply::endless(start, repeated),
        _ => Reply::status("204 No Content", ""),
    })
    .await
}

/// Guards against an answer without end to a prompt being read until the deadline of its request,
/// and kept in memory.
#[compio::test]
async fn endless_answers_to_prompts_are_given_up() {
    let event = format!("{BODY_START}data: ").leak();
    let answers = [
        (OPEN_HEAD, HEADER),
        ("", INTERIM_RESPONSE),
        (event, LETTERS),
        (ERROR_BODY_START, LETTERS),
    ];
    for (start, repeated) in answers {
        let (server, connections) = (engine(start, repeated).await, connections());
        let started = Instant::now();
        let failed = match generate(&connections, &server.target, call(), deadline()).await {
            Ok(mut stream) => stream.next(deadline()).await.err(),
            Err(error) => Some(error),
        };
        assert!(failed.is_some(), "{start:?}");
        server.wait_closed(1).await;
        assert!(started.elapsed() < GIVE_UP_TIME, "{start:?}: {failed:?}");
    }
}

/// Guards against an answer without end to a status check being read until the check's deadline, and
/// kept in memory.
#[compio::test]
async fn endless_answers_to_status_checks_are_given_up() {
    let answers = [
        (OPEN_HEAD, HEADER),
        ("", INTERIM_RESPONSE),
        (BODY_START, LETTERS),
    ];
    for (start, repeated) in answers {
        let (server, connections) = (engine(start, repeated).await, connections());
        let started = Instant::now();
        let status = report::<u32>(&connections, &server.target, "/v1/status", deadline()).await;
        assert!(status.is_err(), "{start:?}");
        server.wait_closed(1).await;
        assert!(started.elapsed() < GIVE_UP_TIME, "{start:?}: {status:?}");
    }
}
