//! Tests of the engine protocol against a scripted engine.

mod support;

use std::time::Duration;

use bytes::Bytes;
use mangofront_bodies::Purpose;
use mangofront_http::{ErrorBody, Outcome};
use mangofront_prompt::Endpoint;
use mangofront_upstream::engine::{EngineStream, FinishReason, GenerateCall, generate, resume};
use mangofront_upstream::{Connections, SendError};

use support::{Reply, Server, connections, deadline, get};

const START_CALL: &str = "POST /v1/completions";

const CANCEL_CALL: &str = "DELETE /v1/requests/request-1/attempts/2";

const LATER_CALL: &str = "GET /after";

const LATER_CALLS: usize = 20;

fn attempt(resume_offset: u32) -> GenerateCall {
    GenerateCall {
        endpoint: Endpoint::Completions,
        body: Bytes::from_static(b"{}"),
        request: "request-1".to_owned(),
        attempt: 2,
        priority: 0,
        resume_offset,
        reservation: None,
        deadline: deadline(),
    }
}

fn frame(attempt: u32, offset: u32, finish: &str) -> String {
    format!(
        r#"{{"request":"request-1","attempt":{attempt},"offset":{offset},"text":"t{offset}"{finish}}}"#
    )
}

fn token(offset: u32) -> String {
    frame(2, offset, "")
}

fn last_token(offset: u32) -> String {
    frame(2, offset, r#","finish_reason":"length""#)
}

/// Engine that answers starts and resumptions with `reply`, and confirms other calls.
async fn engine(reply: fn() -> Reply) -> Server {
    Server::start(move |call| match call {
        START_CALL => reply(),
        call if call.starts_with("GET /v1/streams") => reply(),
        _ => Reply::status("204 No Content", ""),
    })
    .await
}

async fn start(connections: &Connections, server: &Server) -> Result<EngineStream, SendError> {
    generate(connections, &server.target, attempt(0), deadline()).await
}

/// Sends further calls, enough of them for a cancel to arrive among them.
async fn send_later_calls(connections: &Connections, server: &Server) {
    for _ in 0..LATER_CALLS {
        let response = connections.send(&server.target, get("/after"), deadline());
        let response = response.await.expect("a response");
        response
            .bytes(Purpose::Answer, 0, deadline())
            .await
            .expect("an empty body");
    }
}

fn start_and_later_calls() -> Vec<&'static str> {
    let mut calls = vec![LATER_CALL; LATER_CALLS + 1];
    calls[0] = START_CALL;
    calls
}

#[compio::test]
async fn only_the_next_frames_of_the_own_attempt_are_returned() {
    let server = engine(|| {
        let other = frame(1, 0, "");
        let frames = [other, token(0), token(0), token(1), token(0), last_token(2)];
        Reply::complete_stream(&frames)
    })
    .await;
    let connections = connections();
    let mut stream = start(&connections, &server).await.unwrap();
    for offset in 0..3 {
        let frame = stream.next(deadline()).await.unwrap();
        assert_eq!((frame.attempt, frame.offset), (2, offset));
        let finish = (offset == 2).then_some(FinishReason::Length);
        assert_eq!(frame.finish_reason, finish);
    }
    // A complete attempt is not cancelled, and its connection is reused.
    drop(stream);
    send_later_calls(&connections, &server).await;
    assert_eq!(server.calls(), start_and_later_calls());
    assert!(
        server
            .received()
            .iter()
            .all(|received| received.connection == 0)
    );
}

#[compio::test]
async fn gap_is_an_error_and_cancels_the_attempt() {
    let server = engine(|| Reply::open_stream(&[token(0), token(2)])).await;
    let mut stream = start(&connections(), &server).await.unwrap();
    stream.next(deadline()).await.unwrap();
    let error = stream.next(deadline()).await.unwrap_err();
    assert!(matches!(error, SendError::Protocol { .. }), "{error:?}");
    assert_eq!(error.outcome(), Outcome::Unknown);
    drop(stream);
    server.wait_called(CANCEL_CALL).await;
}

#[compio::test]
async fn stream_without_a_last_token_is_an_error() {
    let server = engine(|| Reply::complete_stream(&[token(0)])).await;
    let mut stream = start(&connections(), &server).await.unwrap();
    stream.next(deadline()).await.unwrap();
    let error = stream.next(deadline()).await.unwrap_err();
    assert!(
        matches!(error, SendError::ConnectionFailed { .. }),
        "{error:?}"
    );
}

#[compio::test]
async fn resumed_stream_starts_at_its_offset() {
    let server = engine(|| Reply::complete_stream(&[token(3), token(4), last_token(5)])).await;
    let connections = connections();
    let mut stream = resume(&connections, &server.target, "s", attempt(4), deadline())
        .await
        .unwrap();
    assert_eq!(stream.next(deadline()).await.unwrap().offset, 4);
    assert_eq!(stream.next(deadline()).await.unwrap().offset, 5);
    assert_eq!(server.calls(), ["GET /v1/streams/s?offset=4"]);
}

/// Guards against the cancellation of an answer that may still arrive on its first connection,
/// because it could not be resumed on another one.
#[compio::test]
async fn failed_resumption_does_not_cancel_the_attempt() {
    let server = engine(|| Reply::status("503 Service Unavailable", "")).await;
    let connections = connections();
    let error = resume(&connections, &server.target, "s", attempt(4), deadline())
        .await
        .unwrap_err();
    assert!(matches!(error, SendError::Refused { .. }), "{error:?}");
    send_later_calls(&connections, &server).await;
    let mut calls = start_and_later_calls();
    calls[0] = "GET /v1/streams/s?offset=4";
    assert_eq!(server.calls(), calls);
}

/// Guards against an answer without its end, because the wait for the last token was dropped
/// after the token had been read.
#[compio::test]
async fn last_token_is_kept_if_the_wait_for_it_is_dropped() {
    let server = engine(|| Reply::open_stream(&[last_token(0)])).await;
    let mut stream = start(&connections(), &server).await.unwrap();
    let wait = stream.next(deadline());
    let dropped = compio::time::timeout(Duration::from_millis(100), wait).await;
    assert!(dropped.is_err(), "{dropped:?}");
    let frame = stream.next(deadline()).await.unwrap();
    assert_eq!(frame.finish_reason, Some(FinishReason::Length));
}

#[compio::test]
async fn dropped_stream_cancels_its_attempt() {
    let server = engine(|| Reply::open_stream(&[token(0)])).await;
    let mut stream = start(&connections(), &server).await.unwrap();
    stream.next(deadline()).await.unwrap();
    drop(stream);
    server.wait_called(CANCEL_CALL).await;
    server.wait_closed(1).await;
}

#[compio::test]
async fn start_without_a_response_cancels_the_attempt() {
    let server = engine(Reply::nothing).await;
    let error = start(&connections(), &server).await.unwrap_err();
    assert_eq!(error.outcome(), Outcome::Unknown);
    server.wait_called(CANCEL_CALL).await;
}

#[compio::test]
async fn attempt_refused_before_it_ran_is_not_cancelled() {
    let server = engine(|| {
        let refusal = ErrorBody::new("engine_full", Outcome::NotRun, "queue", "full");
        let body = serde_json::to_string(&refusal).expect("JSON");
        Reply::status("503 Service Unavailable", &body)
    })
    .await;
    let connections = connections();
    let error = start(&connections, &server).await.unwrap_err();
    assert!(matches!(error, SendError::Refused { .. }), "{error:?}");
    assert_eq!(error.outcome(), Outcome::NotRun);
    send_later_calls(&connections, &server).await;
    assert_eq!(server.calls(), start_and_later_calls());
}
