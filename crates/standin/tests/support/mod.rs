//! Runs an emulated engine on loopback, with shorthands for its calls.

#![allow(
    dead_code,
    reason = "each test binary uses its own part of these helpers"
)]

use std::net::SocketAddr;
use std::pin::Pin;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use futures_util::{Stream, StreamExt};
use mangofront_http::{Event, EventsError, Shutdown, ShutdownTrigger};
use mangofront_standin::engine::{EngineSettings, run};
use serde_json::{Value, json};

/// Timeout of waits, far above their expected duration.
const TIMEOUT: Duration = Duration::from_secs(15);

pub const INCARNATION: u64 = 0xabc;

/// Running engine that is shut down on drop.
pub struct TestEngine {
    pub address: SocketAddr,
    pub client: cyper::Client,
    pub ended: compio::runtime::JoinHandle<()>,
    _shutdown: ShutdownTrigger,
}

/// Settings of a small, fast engine with steps of about a millisecond.
pub fn settings() -> EngineSettings {
    EngineSettings {
        model: "assist-llm".to_owned(),
        incarnation: Some(INCARNATION),
        kv_total_tokens: 20_000,
        time_scale: 0.02,
        load_lag_ms: 0,
        cache_event_delay_ms: 0,
        ..EngineSettings::default()
    }
}

impl TestEngine {
    pub async fn start(settings: EngineSettings) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (trigger, shutdown) = Shutdown::new();
        Self {
            address,
            client: mangofront_http::client().unwrap(),
            ended: compio::runtime::spawn(run(listener, settings, shutdown)),
            _shutdown: trigger,
        }
    }

    /// Sends one call and returns status and JSON body, null if there is none.
    pub async fn call(&self, method: &str, path: &str, body: Value) -> (u16, Value) {
        let response = self.send(method, path, &[], body).await;
        let status = response.status().as_u16();
        let text = response.text().await.unwrap();
        (status, serde_json::from_str(&text).unwrap_or(Value::Null))
    }

    pub async fn get(&self, path: &str) -> Value {
        self.call("GET", path, Value::Null).await.1
    }

    pub async fn control(&self, switches: Value) {
        let (status, _) = self.call("POST", "/control", switches).await;
        assert_eq!(status, 204);
    }

    pub async fn counter(&self, name: &str) -> u64 {
        self.get("/control/counters").await[name].as_u64().unwrap()
    }

    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: Value,
    ) -> cyper::Response {
        let method = http::Method::from_bytes(method.as_bytes()).unwrap();
        let url = format!("http://{}{path}", self.address);
        let mut request = self.client.request(method, url).unwrap();
        for (name, value) in headers {
            request = request.header(*name, value.as_str()).unwrap();
        }
        if !body.is_null() {
            request = request.body(body.to_string());
        }
        request.send().await.unwrap()
    }

    pub async fn submit(&self, request: &Completion) -> cyper::Response {
        let body = json!({
            "model": "assist-llm",
            "prompt": request.prompt,
            "max_tokens": request.max_tokens,
        });
        self.send("POST", "/v1/completions", &request.headers(), body)
            .await
    }

    pub async fn cancel(&self, request: &str, attempt: u32) {
        let path = format!("/v1/requests/{request}/attempts/{attempt}");
        assert_eq!(self.call("DELETE", &path, Value::Null).await.0, 204);
    }

    /// Waits until no memory but cache is in use, checking that no invariant was
    /// broken.
    pub async fn wait_until_idle(&self) {
        wait_for(async || {
            let counters = self.get("/control/counters").await;
            assert_eq!(counters["invariants_broken"], 0, "{counters}");
            counters["kv_used_tokens"] == 0 && counters["reserved_tokens"] == 0
        })
        .await;
    }
}

/// Request to `/v1/completions`.
#[derive(Debug, Clone)]
pub struct Completion {
    pub request: String,
    pub attempt: u32,
    pub priority: u8,
    pub prompt: String,
    pub max_tokens: u32,
    pub resume_offset: u32,
    pub reservation: Option<String>,
}

impl Completion {
    /// Creates a request whose prompt has `prompt_tokens` and starts with its name.
    pub fn new(request: &str, prompt_tokens: usize, max_tokens: u32) -> Self {
        Self {
            request: request.to_owned(),
            attempt: 1,
            priority: 128,
            prompt: prompt(request, prompt_tokens),
            max_tokens,
            resume_offset: 0,
            reservation: None,
        }
    }

    fn headers(&self) -> Vec<(&'static str, String)> {
        let mut headers = vec![
            ("mangofront-request-id", self.request.clone()),
            ("mangofront-attempt", self.attempt.to_string()),
            ("mangofront-priority", self.priority.to_string()),
            ("mangofront-resume-offset", self.resume_offset.to_string()),
        ];
        if let Some(reservation) = &self.reservation {
            headers.push(("mangofront-reservation", reservation.clone()));
        }
        headers
    }

    pub fn digest(&self) -> u64 {
        let body = json!({"model": "m", "prompt": self.prompt}).to_string();
        mangofront_prompt::parse(mangofront_prompt::Endpoint::Completions, body.as_bytes())
            .unwrap()
            .digest
    }

    /// Expected text of the complete answer.
    pub fn answer(&self) -> String {
        mangofront_standin::answer::text(self.digest(), self.max_tokens)
    }
}

pub fn prompt(name: &str, tokens: usize) -> String {
    let padding = " ".repeat((tokens * 4).saturating_sub(name.len()));
    format!("{name}{padding}")
}

pub type Events = Pin<Box<dyn Stream<Item = Result<Event, EventsError>>>>;

pub fn events(response: cyper::Response) -> Events {
    Box::pin(mangofront_http::events(response.bytes_stream()))
}

/// Parses the body of a JSON response.
pub async fn body(response: cyper::Response) -> Value {
    serde_json::from_str(&response.text().await.unwrap()).unwrap()
}

/// Reads `count` frames.
pub async fn frames(events: &mut Events, count: usize) -> Vec<Value> {
    let mut frames = Vec::new();
    while frames.len() < count {
        let next = compio::time::timeout(TIMEOUT, events.next()).await;
        let event = next.unwrap().unwrap().unwrap();
        frames.push(serde_json::from_str(&event.data).unwrap());
    }
    frames
}

/// Reads a stream to its end. Returns the event data and whether the stream
/// ended without an error.
pub async fn drain(mut events: Events) -> (Vec<String>, bool) {
    let mut all = Vec::new();
    loop {
        let next = compio::time::timeout(TIMEOUT, events.next()).await;
        let Some(event) = next.unwrap() else {
            return (all, true);
        };
        match event {
            Ok(event) => all.push(event.data),
            Err(_) => return (all, false),
        }
    }
}

/// Joins the text of frames, checking that their offsets are consecutive.
pub fn joined_text(frames: &[Value], first_offset: u64) -> String {
    let mut text = String::new();
    for (index, frame) in frames.iter().enumerate() {
        assert_eq!(frame["offset"], first_offset + index as u64, "{frame}");
        text.push_str(frame["text"].as_str().unwrap());
    }
    text
}

/// Waits until `condition` holds.
pub async fn wait_for<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < TIMEOUT, "condition not met in time");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}
