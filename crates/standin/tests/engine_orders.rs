//! Reservations, segments, orders and the weight store.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use compio::net::TcpListener;
use mangofront_http::Shutdown;
use mangofront_settings::published::Fencing;
use mangofront_standin::weights::{self, WeightsSettings};
use serde_json::{Value, json};
use support::{Completion, TestEngine, drain, events, frames, settings, wait_for};

async fn reserve(engine: &TestEngine, id: &str, tokens: u64, lease_ms: u64) -> (u16, Value) {
    let body = json!({"reservation": id, "tokens": tokens, "lease_ms": lease_ms});
    engine.call("POST", "/v1/reservations", body).await
}

fn segment(reservation: &str, tokens: u64) -> Value {
    json!({"reservation": reservation, "request": "long", "attempt": 1, "tokens": tokens,
        "priority": 200})
}

#[compio::test]
async fn prompt_larger_than_the_engine_runs_under_a_reservation() {
    let engine = TestEngine::start(settings()).await;
    assert_eq!(reserve(&engine, "r", 15_000, 60_000).await.0, 201);
    assert_eq!(reserve(&engine, "r", 15_000, 60_000).await.0, 201);
    assert_eq!(reserve(&engine, "other", 15_000, 60_000).await.0, 409);
    assert_eq!(engine.counter("reserved_tokens").await, 15_000);
    let (status, _) = engine
        .call("POST", "/v1/segments", segment("r", 10_000))
        .await;
    assert_eq!(status, 200);
    let (status, _) = engine
        .call("POST", "/v1/segments", segment("r", 10_000))
        .await;
    assert_eq!(status, 409);
    let mut completion = Completion::new("long", 50_000, 10);
    completion.reservation = Some("r".to_owned());
    let (data, clean) = drain(events(engine.submit(&completion).await)).await;
    assert!(clean);
    assert_eq!(data.last().unwrap(), "[DONE]");
    let (status, _) = engine
        .call("DELETE", "/v1/reservations/r", Value::Null)
        .await;
    assert_eq!(status, 204);
    engine.wait_until_idle().await;
}

#[compio::test]
async fn segment_attends_to_the_preceding_context() {
    let mut settings = settings();
    settings.time_scale = 1.0;
    settings.step.base_us = 0.0;
    settings.step.prefill_token_us = 0.0;
    settings.step.prefill_context_us = 50.0;
    let engine = TestEngine::start(settings).await;
    let compute = async |reservation: &str, offset_tokens: u64| {
        assert_eq!(reserve(&engine, reservation, 2_000, 60_000).await.0, 201);
        let mut body = segment(reservation, 1_000);
        body["offset_tokens"] = offset_tokens.into();
        let began = std::time::Instant::now();
        assert_eq!(engine.call("POST", "/v1/segments", body).await.0, 200);
        began.elapsed()
    };
    // A mean context of 10.5 thousand tokens takes 525 ms, one of 0.5 thousand
    // 25 ms; compensated lateness shortens steps by at most 50 ms.
    compute("first", 0).await;
    let later = compute("later", 10_000).await;
    assert!(later.as_millis() >= 475, "{later:?}");
}

#[compio::test]
async fn expired_lease_frees_memory_and_ends_its_sequences() {
    let mut settings = settings();
    settings.time_scale = 10.0;
    let engine = TestEngine::start(settings).await;
    assert_eq!(reserve(&engine, "r", 15_000, 100).await.0, 201);
    let (status, answer) = engine
        .call("POST", "/v1/segments", segment("r", 14_000))
        .await;
    assert_eq!(status, 409);
    assert_eq!(answer["error"]["code"], "reservation_gone");
    engine.wait_until_idle().await;
    let (status, _) = engine
        .call("POST", "/v1/segments", segment("r", 14_000))
        .await;
    assert_eq!(status, 404);
    let mut completion = Completion::new("late", 100, 10);
    completion.reservation = Some("r".to_owned());
    assert_eq!(engine.submit(&completion).await.status().as_u16(), 404);
}

#[compio::test]
async fn reservation_released_before_it_arrives_takes_no_memory() {
    let engine = TestEngine::start(settings()).await;
    let (status, _) = engine
        .call("DELETE", "/v1/reservations/r", Value::Null)
        .await;
    assert_eq!(status, 204);
    assert_eq!(reserve(&engine, "r", 100, 60_000).await.0, 409);
    assert_eq!(engine.counter("reserved_tokens").await, 0);
}

async fn order(engine: &TestEngine, kind: &str, term: u64, value: &str) -> (u16, Value) {
    let token = json!({"revision": 1, "term": term, "incarnation": 1});
    let body = json!({"token": token, "value": value});
    engine
        .call("PUT", &format!("/v1/orders/{kind}"), body)
        .await
}

#[compio::test]
async fn old_fencing_token_is_refused_only_where_it_is_checked() {
    for (fencing, old_order) in [(Fencing::Checked, 409), (Fencing::Ignored, 200)] {
        let mut settings = settings();
        settings.fencing = fencing;
        let engine = TestEngine::start(settings).await;
        assert_eq!(order(&engine, "role", 2, "prefill").await.0, 200);
        assert_eq!(order(&engine, "role", 2, "prefill").await.0, 200);
        assert_eq!(order(&engine, "role", 1, "decode").await.0, old_order);
        assert_eq!(order(&engine, "role", 3, "idle").await.0, 400);
        let role = engine.get("/v1/state").await["role"].clone();
        let expected = if old_order == 200 {
            "decode"
        } else {
            "prefill"
        };
        assert_eq!(role, expected);
    }
}

async fn start_store(settings: WeightsSettings) -> (std::net::SocketAddr, impl Drop) {
    struct Store(Option<mangofront_http::ShutdownTrigger>);
    impl Drop for Store {
        fn drop(&mut self) {
            drop(self.0.take());
        }
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (trigger, shutdown) = Shutdown::new();
    compio::runtime::spawn(weights::run(listener, settings, shutdown)).detach();
    (address, Store(Some(trigger)))
}

#[compio::test]
async fn model_is_fetched_from_the_rate_limited_store() {
    let store = WeightsSettings {
        fetches_per_minute: 120.0,
        burst_fetches: 1.0,
        transfer_time_ms: 10,
        time_scale: 1.0,
    };
    let (address, _store) = start_store(store).await;
    let mut settings = settings();
    settings.weights_address = Some(address);
    settings.load_time_ms = 100;
    let engine = TestEngine::start(settings).await;
    drain(events(engine.submit(&Completion::new("old", 300, 1)).await)).await;
    let mut stream = events(engine.submit(&Completion::new("running", 10, 500)).await);
    frames(&mut stream, 1).await;
    assert_eq!(
        order(&engine, "version", 1, "2").await.1["state"],
        "loading"
    );
    assert_eq!(
        order(&engine, "version", 1, "2").await.1["state"],
        "loading"
    );
    let refused = engine.submit(&Completion::new("refused", 10, 1)).await;
    assert_eq!(refused.status().as_u16(), 503);
    let (data, _) = drain(stream).await;
    assert_eq!(
        data.last().unwrap(),
        "[DONE]",
        "a running answer is not cut off"
    );
    wait_for(async || engine.get("/v1/state").await["state"] == "ready").await;
    assert_eq!(order(&engine, "version", 1, "2").await.1["state"], "ready");
    let cache = engine.get("/v1/cache").await;
    assert_eq!(
        cache["blocks"],
        json!([]),
        "KV of another version is dropped"
    );
    assert_eq!(
        order(&engine, "adapter", 1, "toner").await.1["state"],
        "loading"
    );
    wait_for(async || engine.get("/v1/state").await["adapters"] == json!(["toner"])).await;
    let url = format!("http://{address}/control/counters");
    let request = engine.client.get(url).unwrap();
    let counters = support::body(request.send().await.unwrap()).await;
    assert_eq!(counters["served"], 2, "{counters}");
}

#[compio::test]
async fn store_refuses_above_its_rate_with_a_retry_delay() {
    let store = WeightsSettings {
        fetches_per_minute: 1.0,
        burst_fetches: 2.0,
        transfer_time_ms: 0,
        time_scale: 1.0,
    };
    let (address, _store) = start_store(store).await;
    let client = mangofront_http::client().unwrap();
    let mut statuses = Vec::new();
    for _ in 0..3 {
        let url = format!("http://{address}/v1/weights/assist-llm/1");
        let response = client.get(url).unwrap().send().await.unwrap();
        statuses.push(response.status().as_u16());
        let retry_after = response.headers().get("retry-after");
        assert_eq!(retry_after.is_some(), response.status().as_u16() == 429);
        response.bytes().await.unwrap();
    }
    assert_eq!(statuses, [200, 200, 429]);
}
