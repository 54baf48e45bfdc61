//! Sessions with the service emulator, and its faults.

use std::net::SocketAddr;

use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use mangofront_http::{Shutdown, ShutdownTrigger, headers};
use mangofront_standin::service::{self, ServiceSettings};

struct Standin {
    address: SocketAddr,
    client: cyper::Client,
    trigger: ShutdownTrigger,
    running: JoinHandle<()>,
}

impl Standin {
    async fn start() -> Self {
        let settings = r#"{"service": "narudzbe-app", "delay_ms": 1}"#;
        let settings: ServiceSettings = serde_json::from_str(settings).expect("settings");
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (trigger, shutdown) = Shutdown::new();
        let running = compio::runtime::spawn(service::run(listener, settings, shutdown));
        let client = mangofront_http::client().expect("client");
        Self {
            address,
            client,
            trigger,
            running,
        }
    }

    /// One exchange, as a line of a session.
    async fn exchange(&self, method: &str, path: &str, key: &str, body: &str) -> String {
        let url = format!("http://{}{path}", self.address);
        let verb = http::Method::from_bytes(method.as_bytes()).expect("method");
        let request = self.client.request(verb, url).expect("URL");
        let request = request.header(headers::IDEMPOTENCY_KEY, key).expect("key");
        let line = format!("{method} {path} {key} {body}");
        match request.body(body.to_owned()).send().await {
            Ok(response) => {
                let status = response.status().as_u16();
                let answer = response.text().await.expect("body");
                format!("{line}\n  {status} {answer}\n")
            }
            Err(_) => format!("{line}\n  connection broken\n"),
        }
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
        self.trigger.trigger();
        drop(self.client);
        self.running.await.expect("end of the stand-in");
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
