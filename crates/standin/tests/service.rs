//! Sessions with the service emulator, and its fault switches.

mod session;

use mangofront_http::headers;
use mangofront_standin::service::{self, ServiceSettings};

use session::Session;

struct Standin(Session);

impl Standin {
    async fn start() -> Self {
        let settings = r#"{"service": "narudzbe-app", "delay_ms": 1}"#;
        let settings: ServiceSettings = serde_json::from_str(settings).expect("settings");
        let run = |listener, shutdown| service::run(listener, settings, shutdown);
        Self(Session::start(run).await)
    }

    /// Makes one call and returns it with its response as a line of the session.
    async fn exchange(&self, method: &str, path: &str, key: &str, body: &str) -> String {
        let named = [(headers::IDEMPOTENCY_KEY, key)];
        let answer = self.0.call(method, path, &named, body).await;
        let answer = answer.unwrap_or_else(|_| "connection broken".to_owned());
        format!("{method} {path} {key} {body}\n  {answer}\n")
    }

    async fn order(&self, key: &str) -> String {
        self.exchange("POST", "/orders/lamb", key, "{}").await
    }

    async fn control(&self, switches: &str) -> String {
        self.exchange("POST", "/control", "-", switches).await
    }

    async fn counters(&self) -> String {
        self.exchange("GET", "/control/counters", "-", "").await
    }

    async fn stop(self) {
        self.0.stop().await;
    }
}

#[compio::test]
async fn session_of_orders_and_faults() {
    let standin = Standin::start().await;
    let mut session = String::new();
    session += &standin.order("key-1").await;
    session += &standin.order("key-1").await;
    session += &standin.order("key-2").await;
    session += &standin.control(r#"{"fail_status": 500}"#).await;
    session += &standin.order("key-3").await;
    session += &standin
        .control(r#"{"fail_status": 0, "break_before_run": true}"#)
        .await;
    session += &standin.order("key-4").await;
    session += &standin
        .control(r#"{"break_before_run": false, "break_after_run": true}"#)
        .await;
    session += &standin.order("key-5").await;
    session += &standin
        .control(r#"{"break_after_run": false, "leaving": true}"#)
        .await;
    session += &standin.order("key-6").await;
    session += &standin
        .control(r#"{"leaving": false, "delay_ms": 0}"#)
        .await;
    session += &standin.order("key-6").await;
    session += &standin.control(r#"{"fail_status": 7}"#).await;
    session += &standin.counters().await;
    standin.stop().await;
    insta::assert_snapshot!(session);
}
