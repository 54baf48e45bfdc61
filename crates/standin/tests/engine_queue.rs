//! Scheduling order, memory pressure and refusals of the emulated engine.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use serde_json::{Value, json};
use support::{Completion, TestEngine, drain, events, frames, joined_text, settings, wait_for};

async fn wait_for_load(engine: &TestEngine, running: u64, waiting: u64) {
    wait_for(async || {
        let load = engine.get("/v1/load").await;
        load["running"] == running && load["waiting"] == waiting
    })
    .await;
}

#[compio::test]
async fn urgent_request_overtakes_a_long_prefill() {
    let mut settings = settings();
    settings.kv_total_tokens = 400_000;
    let engine = TestEngine::start(settings).await;
    let mut long = Completion::new("long", 300_000, 1);
    long.priority = 200;
    let long_response = engine.submit(&long).await;
    wait_for_load(&engine, 1, 0).await;
    let mut urgent = Completion::new("urgent", 500, 3);
    urgent.priority = 10;
    let (data, clean) = drain(events(engine.submit(&urgent).await)).await;
    assert!(clean);
    assert_eq!(data.len(), 4);
    assert_eq!(
        engine.counter("tokens").await,
        3,
        "the long prompt came first"
    );
    drop(long_response);
    engine.cancel("long", 1).await;
    engine.wait_until_idle().await;
}

#[compio::test]
async fn urgent_request_takes_memory_of_a_less_urgent_one() {
    let engine = TestEngine::start(settings()).await;
    let mut slow = Completion::new("slow", 12_000, 1500);
    slow.priority = 200;
    let mut slow_events = events(engine.submit(&slow).await);
    let mut slow_frames = frames(&mut slow_events, 2).await;
    let mut urgent = Completion::new("urgent", 9_000, 2);
    urgent.priority = 10;
    let (_, clean) = drain(events(engine.submit(&urgent).await)).await;
    assert!(clean);
    assert_eq!(
        engine.counter("finished").await,
        1,
        "the slow request must not have finished"
    );
    let remaining = slow.max_tokens as usize - 2;
    slow_frames.extend(frames(&mut slow_events, remaining).await);
    assert_eq!(joined_text(&slow_frames, 0), slow.answer());
    engine.wait_until_idle().await;
}

#[compio::test]
async fn smaller_request_does_not_overtake_one_that_waits_for_memory() {
    let mut settings = settings();
    // A step takes longer than the test.
    settings.time_scale = 1e4;
    let engine = TestEngine::start(settings).await;
    let first = engine.submit(&Completion::new("first", 15_000, 10)).await;
    wait_for_load(&engine, 1, 0).await;
    let second = engine.submit(&Completion::new("second", 15_000, 10)).await;
    let third = engine.submit(&Completion::new("third", 100, 10)).await;
    wait_for_load(&engine, 1, 2).await;
    let load = engine.get("/v1/load").await;
    assert_eq!(load["kv_used_tokens"], 15_010);
    assert_eq!(load["waiting_prefill_tokens"], 30_100);
    for request in ["first", "second", "third"] {
        engine.cancel(request, 1).await;
    }
    for response in [first, second, third] {
        let (data, clean) = drain(events(response)).await;
        assert!(clean);
        let last: Value = serde_json::from_str(data.last().unwrap()).unwrap();
        assert_eq!(last["error"]["code"], "cancelled");
    }
    engine.wait_until_idle().await;
    assert_eq!(engine.counter("cancelled").await, 3);
}

#[compio::test]
async fn full_queue_is_busy() {
    let mut settings = settings();
    settings.time_scale = 10.0;
    settings.max_running = 1;
    settings.max_waiting = 1;
    let engine = TestEngine::start(settings).await;
    let _running = engine.submit(&Completion::new("running", 100, 10)).await;
    wait_for_load(&engine, 1, 0).await;
    let _waiting = engine.submit(&Completion::new("waiting", 100, 10)).await;
    let refused = engine.submit(&Completion::new("refused", 100, 10)).await;
    assert_eq!(refused.status().as_u16(), 429);
    assert!(refused.headers().contains_key("retry-after"));
    let answer = support::body(refused).await;
    assert_eq!(answer["error"]["code"], "busy");
    assert_eq!(answer["error"]["outcome"], "not_run");
    // The waiting request holds no memory, so all of it is free after both are
    // cancelled.
    engine.cancel("running", 1).await;
    engine.cancel("waiting", 1).await;
    engine.wait_until_idle().await;
}

#[compio::test]
async fn hundreds_of_streams_on_several_engines_get_their_own_answers() {
    let mut engines = Vec::new();
    for _ in 0..3 {
        let mut settings = settings();
        settings.kv_total_tokens = 100_000;
        engines.push(TestEngine::start(settings).await);
    }
    let mut open = Vec::new();
    for index in 0..240 {
        let completion = Completion::new(&format!("request {index}"), 300 + index, 20);
        let response = engines[index % engines.len()].submit(&completion).await;
        assert_eq!(response.status().as_u16(), 200);
        open.push((completion, response));
    }
    for (completion, response) in open {
        let mut stream = events(response);
        let length = mangofront_standin::answer::length_tokens(completion.digest(), 20);
        let frames = frames(&mut stream, length as usize).await;
        assert_eq!(joined_text(&frames, 0), completion.answer());
        assert!(
            frames
                .iter()
                .all(|frame| frame["request"] == completion.request)
        );
    }
    for engine in &engines {
        engine.wait_until_idle().await;
    }
}

#[compio::test]
async fn passed_deadline_ends_the_answer() {
    let mut settings = settings();
    settings.time_scale = 10.0;
    let engine = TestEngine::start(settings).await;
    let headers = [("mangofront-deadline-ms", "40".to_owned())];
    let body = json!({"model": "assist-llm", "prompt": "word", "max_tokens": 100});
    let response = engine.send("POST", "/v1/completions", &headers, body).await;
    let (data, _) = drain(events(response)).await;
    let last: Value = serde_json::from_str(data.last().unwrap()).unwrap();
    assert_eq!(last["error"]["code"], "deadline");
    engine.wait_until_idle().await;
    assert_eq!(engine.counter("failed").await, 1);
}
