//! Snapshot of a session with an emulated engine.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]

mod support;

use std::fmt::Write as _;

use serde_json::{Value, json};
use support::{Completion, TestEngine, drain, events, settings};

/// Log of the calls of a session and their responses.
struct Session {
    engine: TestEngine,
    log: String,
}

impl Session {
    async fn call(&mut self, method: &str, path: &str, body: Value) {
        let (status, mut answer) = self.engine.call(method, path, body.clone()).await;
        normalise(&mut answer);
        let sent = if body.is_null() {
            String::new()
        } else {
            format!(" {body}")
        };
        writeln!(self.log, "{method} {path}{sent}\n  {status} {answer}").unwrap();
    }

    async fn complete(&mut self, completion: &Completion) {
        let response = self.engine.submit(completion).await;
        writeln!(
            self.log,
            "POST /v1/completions {} attempt {} offset {}",
            completion.request, completion.attempt, completion.resume_offset,
        )
        .unwrap();
        self.log_stream(response).await;
    }

    async fn resume(&mut self, path: &str) {
        let response = self.engine.send("GET", path, &[], Value::Null).await;
        writeln!(self.log, "GET {path}").unwrap();
        self.log_stream(response).await;
    }

    async fn log_stream(&mut self, response: cyper::Response) {
        let status = response.status();
        let stream_id = response.headers().get("mangofront-stream-id");
        let stream_id = stream_id.map_or("none", |id| id.to_str().unwrap());
        writeln!(self.log, "  {status} stream {stream_id}").unwrap();
        if !status.is_success() {
            writeln!(self.log, "  {}", response.text().await.unwrap()).unwrap();
            return;
        }
        for data in drain(events(response)).await.0 {
            writeln!(self.log, "  data: {data}").unwrap();
        }
    }
}

/// Masks values that depend on the clock.
fn normalise(value: &mut Value) {
    for field in [
        "sequence",
        "age_ms",
        "prefill_tokens_per_s",
        "decode_step_ms",
    ] {
        if let Some(value) = value.get_mut(field) {
            *value = json!("…");
        }
    }
}

#[compio::test]
async fn whole_session() {
    let engine = TestEngine::start(settings()).await;
    let log = String::new();
    let mut session = Session { engine, log };
    session.call("GET", "/v1/health", Value::Null).await;
    let first = Completion::new("first", 600, 4);
    session.complete(&first).await;
    let mut cached = first.clone();
    cached.request = "again".to_owned();
    session.complete(&cached).await;
    let mut resumed = first.clone();
    resumed.attempt = 2;
    resumed.resume_offset = 2;
    session.complete(&resumed).await;
    session.complete(&first).await;
    session.resume("/v1/streams/abc-1?offset=3").await;
    session.resume("/v1/streams/abd-1?offset=3").await;
    session
        .complete(&Completion::new("large", 19_990, 100))
        .await;
    session.call("GET", "/v1/load", Value::Null).await;
    session.call("GET", "/v1/cache", Value::Null).await;
    session
        .call("GET", "/v1/cache/events?from=0", Value::Null)
        .await;
    let blocks = session.engine.get("/v1/cache").await["blocks"].clone();
    let exported = json!({"blocks": blocks});
    session
        .call("POST", "/v1/kv/export", exported.clone())
        .await;
    let (_, mut export) = session.engine.call("POST", "/v1/kv/export", exported).await;
    session.call("POST", "/v1/kv/import", export.clone()).await;
    export["payload"] = json!("other");
    session.call("POST", "/v1/kv/import", export).await;
    let reservation = json!({"reservation": "r", "tokens": 5000, "lease_ms": 60_000});
    session.call("POST", "/v1/reservations", reservation).await;
    let segment = json!({"reservation": "r", "request": "long", "attempt": 1, "tokens": 2000,
        "priority": 9});
    session.call("POST", "/v1/segments", segment.clone()).await;
    session.call("GET", "/control/counters", Value::Null).await;
    session
        .call("PUT", "/v1/reservations/r", json!({"lease_ms": 70_000}))
        .await;
    session
        .call("DELETE", "/v1/reservations/r", Value::Null)
        .await;
    session
        .call("PUT", "/v1/reservations/r", json!({"lease_ms": 70_000}))
        .await;
    session.call("POST", "/v1/segments", segment).await;
    let token = json!({"revision": 1, "term": 1, "incarnation": 1});
    let order = json!({"token": token, "value": "decode"});
    session.call("PUT", "/v1/orders/role", order).await;
    session.call("GET", "/v1/state", Value::Null).await;
    session
        .call("POST", "/control", json!({"leaving": true}))
        .await;
    session.complete(&Completion::new("late", 10, 1)).await;
    session.call("GET", "/control/counters", Value::Null).await;
    session
        .call("POST", "/v1/completions", json!({"prompt": 5}))
        .await;
    insta::assert_snapshot!(session.log);
}
