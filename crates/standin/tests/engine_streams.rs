//! Resumption, cancellation and disconnected readers of the engine's streams.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use mangofront_standin::answer::length_tokens;
use serde_json::Value;
use support::{Completion, TestEngine, drain, events, frames, joined_text, settings, wait_for};

fn stream_id(response: &cyper::Response) -> String {
    let id = response.headers().get("mangofront-stream-id").unwrap();
    id.to_str().unwrap().to_owned()
}

#[compio::test]
async fn resumed_answer_has_no_gap_and_no_repeat() {
    let engine = TestEngine::start(settings()).await;
    let other = TestEngine::start(settings()).await;
    let mut completion = Completion::new("resumed", 900, 400);
    let length = length_tokens(completion.digest(), 400) as usize;

    let response = engine.submit(&completion).await;
    let path = format!("/v1/streams/{}?offset=3", stream_id(&response));
    let mut stream = events(response);
    let mut seen = frames(&mut stream, 3).await;
    drop(stream);

    let response = engine.send("GET", &path, &[], Value::Null).await;
    let mut stream = events(response);
    seen.extend(frames(&mut stream, 4).await);
    drop(stream);

    completion.attempt = 2;
    completion.resume_offset = 7;
    let mut stream = events(other.submit(&completion).await);
    seen.extend(frames(&mut stream, length - 7).await);
    assert_eq!(joined_text(&seen, 0), completion.answer());
    assert_eq!(drain(stream).await, (vec!["[DONE]".to_owned()], true));
    engine.cancel("resumed", 1).await;
    engine.wait_until_idle().await;
    other.wait_until_idle().await;
}

#[compio::test]
async fn stream_that_nobody_reads_is_cancelled_after_its_window() {
    let mut settings = settings();
    settings.time_scale = 1.0;
    settings.resume_window_ms = 40;
    let engine = TestEngine::start(settings).await;
    let response = engine.submit(&Completion::new("lost", 10, 10_000)).await;
    let path = format!("/v1/streams/{}", stream_id(&response));
    let mut stream = events(response);
    frames(&mut stream, 1).await;
    drop(stream);
    wait_for(async || engine.counter("cancelled").await == 1).await;
    engine.wait_until_idle().await;
    wait_for(async || engine.call("GET", &path, Value::Null).await.0 == 404).await;
    // The engine has removed the stream, but must not report it as "not run".
    let again = engine.submit(&Completion::new("lost", 10, 10_000)).await;
    assert_eq!(again.status().as_u16(), 409);
    let answer = support::body(again).await;
    assert_eq!(answer["error"]["outcome"], "unknown");
}

#[compio::test]
async fn cancel_before_arrival_prevents_the_request() {
    let engine = TestEngine::start(settings()).await;
    engine.cancel("early", 1).await;
    engine.cancel("early", 1).await;
    let mut completion = Completion::new("early", 100, 5);
    let response = engine.submit(&completion).await;
    assert_eq!(response.status().as_u16(), 409);
    let answer = support::body(response).await;
    assert_eq!(answer["error"]["code"], "cancelled");
    assert_eq!(answer["error"]["outcome"], "not_run");
    assert_eq!(engine.counter("started").await, 0);
    completion.attempt = 2;
    let (_, clean) = drain(events(engine.submit(&completion).await)).await;
    assert!(clean);
    assert_eq!(engine.counter("finished").await, 1);
}

#[compio::test]
async fn cancel_frees_memory_mid_stream() {
    let mut settings = settings();
    settings.time_scale = 1.0;
    let engine = TestEngine::start(settings).await;
    let mut stream = events(engine.submit(&Completion::new("gone", 700, 10_000)).await);
    frames(&mut stream, 1).await;
    assert!(engine.counter("kv_used_tokens").await >= 10_700);
    engine.cancel("gone", 1).await;
    assert_eq!(engine.counter("kv_used_tokens").await, 0);
    let (data, clean) = drain(stream).await;
    assert!(clean);
    let last: Value = serde_json::from_str(data.last().unwrap()).unwrap();
    assert_eq!(last["error"]["code"], "cancelled");
    engine.wait_until_idle().await;
}

#[compio::test]
async fn slow_reader_gets_everything_in_order() {
    let engine = TestEngine::start(settings()).await;
    let completion = Completion::new("slow reader", 50, 500);
    let length = length_tokens(completion.digest(), 500);
    let response = engine.submit(&completion).await;
    wait_for(async || engine.counter("finished").await == 1).await;
    let mut stream = events(response);
    let frames = frames(&mut stream, length as usize).await;
    assert_eq!(joined_text(&frames, 0), completion.answer());
    engine.wait_until_idle().await;
}
