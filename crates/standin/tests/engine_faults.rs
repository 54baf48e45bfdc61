//! Fault injection switches of the emulated engine.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::time::{Duration, Instant};

use compio::net::{TcpListener, TcpStream};
use mangofront_http::Shutdown;
use mangofront_standin::engine::run;
use serde_json::{Value, json};
use support::{Completion, TestEngine, drain, events, frames, settings};

#[compio::test]
async fn engine_crashes_mid_stream() {
    let engine = TestEngine::start(settings()).await;
    engine.control(json!({"die_after_tokens": 5})).await;
    let response = engine.submit(&Completion::new("broken", 100, 1000)).await;
    let (data, clean) = drain(events(response)).await;
    assert!(!clean, "the connection breaks");
    assert!(data.len() <= 5, "{data:?}");
    let TestEngine { ended, address, .. } = engine;
    ended.await.unwrap();
    assert!(TcpStream::connect(address).await.is_err());
}

#[compio::test]
async fn frozen_engine_neither_responds_nor_steps() {
    let engine = TestEngine::start(settings()).await;
    let mut stream = events(engine.submit(&Completion::new("held", 10, 15_000)).await);
    frames(&mut stream, 1).await;
    let began = Instant::now();
    engine.control(json!({"freeze_ms": 150})).await;
    let tokens = engine.counter("tokens").await;
    compio::time::sleep(Duration::from_millis(20)).await;
    if began.elapsed() < Duration::from_millis(150) {
        assert_eq!(engine.counter("tokens").await, tokens);
    }
    engine.get("/v1/health").await;
    assert!(began.elapsed() >= Duration::from_millis(150));
    frames(&mut stream, 1).await;
    engine.cancel("held", 1).await;
}

#[compio::test]
async fn cache_events_are_delayed_and_have_gaps() {
    let engine = TestEngine::start(settings()).await;
    let switches = json!({"cache_event_delay_ms": 200});
    engine.control(switches).await;
    let began = Instant::now();
    drain(events(engine.submit(&Completion::new("one", 300, 1)).await)).await;
    let events_path = "/v1/cache/events?from=0&wait_ms=10000";
    let first = engine.get(events_path).await;
    assert!(began.elapsed() >= Duration::from_millis(200));
    assert_eq!(first["events"].as_array().unwrap().len(), 1);
    let switches = json!({"cache_event_delay_ms": 0, "drop_cache_events": true});
    engine.control(switches).await;
    drain(events(engine.submit(&Completion::new("two", 300, 1)).await)).await;
    engine.control(json!({"drop_cache_events": false})).await;
    drain(events(
        engine.submit(&Completion::new("three", 300, 1)).await,
    ))
    .await;
    let all = engine.get("/v1/cache/events?from=0").await;
    let sequences: Vec<&Value> = all["events"]
        .as_array()
        .unwrap()
        .iter()
        .map(|event| &event["sequence"])
        .collect();
    assert_eq!(json!(sequences), json!([0, 2]), "{all}");
    assert_eq!(all["next_sequence"], 3);
    let cache = engine.get("/v1/cache").await;
    assert_eq!(cache["sequence"], 3);
    assert_eq!(cache["blocks"].as_array().unwrap().len(), 3);
}

#[compio::test]
async fn cache_evicts_the_least_recently_used_block() {
    let mut settings = settings();
    settings.kv_total_tokens = 1024;
    let engine = TestEngine::start(settings).await;
    for name in ["one", "two", "one", "three", "four"] {
        let completion = Completion {
            request: format!("{name} at {:?}", Instant::now()),
            ..Completion::new(name, 256, 20)
        };
        let (_, clean) = drain(events(engine.submit(&completion).await)).await;
        assert!(clean);
    }
    let cache = engine.get("/v1/cache").await;
    let blocks = cache["blocks"].as_array().unwrap();
    assert_eq!(blocks.len(), 3, "{cache}");
    let log = engine.get("/v1/cache/events?from=0").await;
    let log = log["events"].as_array().unwrap();
    let evicted: Vec<&Value> = log
        .iter()
        .filter(|event| event["kind"] == "evicted")
        .collect();
    assert_eq!(evicted.len(), 1);
    // "one" was used again after "two", which was stored second.
    assert_eq!(evicted[0]["blocks"], log[1]["blocks"]);
    engine.wait_until_idle().await;
}

#[compio::test]
async fn load_report_lags_and_may_be_implausible() {
    let mut settings = settings();
    settings.time_scale = 10.0;
    let engine = TestEngine::start(settings).await;
    engine.control(json!({"load_lag_ms": 600_000})).await;
    let before = engine.get("/v1/load").await;
    let _open = engine.submit(&Completion::new("unseen", 100, 5)).await;
    let after = engine.get("/v1/load").await;
    assert_eq!(
        (&before["running"], &before["waiting"]),
        (&json!(0), &json!(0))
    );
    assert_eq!(
        (&after["running"], &after["waiting"]),
        (&json!(0), &json!(0))
    );
    engine.control(json!({"load_lag_ms": 0})).await;
    let seen = engine.get("/v1/load").await;
    assert_eq!(
        seen["running"].as_u64().unwrap() + seen["waiting"].as_u64().unwrap(),
        1
    );
    engine.control(json!({"nonsense_load": true})).await;
    let nonsense = engine.get("/v1/load").await;
    assert!(nonsense["kv_used_tokens"].as_u64() > nonsense["kv_total_tokens"].as_u64());
    engine.cancel("unseen", 1).await;
}

#[compio::test]
async fn shutdown_lets_streams_complete() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let url = format!("http://{}/v1/completions", listener.local_addr().unwrap());
    let (trigger, shutdown) = Shutdown::new();
    let ended = compio::runtime::spawn(run(listener, settings(), shutdown));
    let client = mangofront_http::client().unwrap();
    let body = json!({"model": "assist-llm", "prompt": "stop", "max_tokens": 50});
    let request = client.post(url).unwrap().body(body.to_string());
    let response = request.send().await.unwrap();
    trigger.trigger();
    let (data, clean) = drain(events(response)).await;
    assert!(clean);
    assert_eq!(data.last().unwrap(), "[DONE]");
    ended.await.unwrap();
}
