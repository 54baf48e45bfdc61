//! Support of the tests: a stand-in for the service and a recorder of changes.
#![allow(dead_code, reason = "each test binary uses a part of these")]

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use compio::runtime::JoinHandle;
use mangofront_configuration::{Document, Kind, Platform, PlatformChange, PlatformOptions};
use mangofront_configuration::{PlatformOptionsBuilder, Source};
use mangofront_http::{Shutdown, ShutdownTrigger};
use mangofront_standin::platform::{self, PlatformSettings};

/// Time within which an expected state has to be reached.
const WAIT_TIMEOUT: Duration = Duration::from_secs(10);

/// Time for which a watch waits in the tests.
pub const WAIT: Duration = Duration::from_millis(200);

/// Maximum pause after failures in the tests.
pub const BACKOFF_CAP: Duration = Duration::from_millis(80);

/// Changes that a platform reported.
pub type Changes = Rc<RefCell<Vec<PlatformChange>>>;

/// Numbers of calls that the service counted.
#[derive(Debug, serde::Deserialize)]
pub struct Counters {
    pub reads: u64,
    pub watches: u64,
}

pub struct Standin {
    pub address: SocketAddr,
    client: cyper::Client,
    trigger: ShutdownTrigger,
    running: JoinHandle<()>,
}

impl Standin {
    /// Starts a service whose first configuration is `configuration`.
    pub async fn start(configuration: &str) -> Self {
        Self::start_at("127.0.0.1:0".parse().expect("address"), configuration).await
    }

    pub async fn start_at(address: SocketAddr, configuration: &str) -> Self {
        let settings = PlatformSettings {
            configuration: Some(serde_json::from_str(configuration).expect("JSON")),
            instances: Some(serde_json::json!({ "instances": [] })),
            ..PlatformSettings::default()
        };
        let listener = TcpListener::bind(address).await.expect("bind");
        let address = listener.local_addr().expect("address");
        let (trigger, shutdown) = Shutdown::new();
        let running = compio::runtime::spawn(platform::run(listener, settings, shutdown));
        Self {
            address,
            client: mangofront_http::client().expect("client"),
            trigger,
            running,
        }
    }

    pub async fn publish(&self, value: impl Into<Bytes>) {
        self.send(http::Method::PUT, "/control/configuration", value.into())
            .await;
    }

    pub async fn control(&self, switches: &'static str) {
        self.send(http::Method::POST, "/control", switches.into())
            .await;
    }

    pub async fn counters(&self) -> Counters {
        let answer = self
            .send(http::Method::GET, "/control/counters", Bytes::new())
            .await;
        serde_json::from_slice(&answer).expect("counters")
    }

    pub async fn stop(self) {
        self.trigger.trigger();
        drop(self.client);
        self.running.await.expect("end of the stand-in");
    }

    async fn send(&self, method: http::Method, path: &str, body: Bytes) -> Bytes {
        let url = format!("http://{}{path}", self.address);
        let request = self.client.request(method, url).expect("URL").body(body);
        let response = request.send().await.expect("answer");
        assert!(response.status().is_success(), "{}", response.status());
        response.bytes().await.expect("body")
    }
}

/// Options with short times.
pub fn options(address: SocketAddr) -> PlatformOptionsBuilder {
    PlatformOptions::builder(address)
        .wait(WAIT)
        .read_timeout(Duration::from_secs(2))
        .backoff(Duration::from_millis(10), BACKOFF_CAP)
}

/// Starts a platform and records the changes it reports.
pub fn start(options: PlatformOptionsBuilder) -> (Platform, Changes) {
    let changes = Changes::default();
    let recorder = Rc::clone(&changes);
    let options = options.on_change(move |change| recorder.borrow_mut().push(change));
    (Platform::start(options.build()).expect("client"), changes)
}

/// Configuration that is identified by the target of its class.
pub fn configuration(target_ms: u64) -> String {
    format!(
        r#"{{"classes": {{"diagnosis": {{"time_to_first_token_ms": {target_ms}, "allowed_delay_ms": 5000}}}}, "organisations": {{"tuul": {{"default_class": "diagnosis"}}}}}}"#
    )
}

pub fn document(revision: u64, body: impl Into<Bytes>) -> Document {
    Document {
        kind: Kind::Configuration,
        revision,
        body: body.into(),
    }
}

pub fn peer() -> Source {
    Source::Peer("hall-b-1".to_owned())
}

/// Target in the configuration in force, which identifies it.
pub fn target_ms(platform: &Platform) -> Option<u64> {
    let accepted = platform.configuration()?;
    let class = accepted.configuration.classes.get("diagnosis")?;
    Some(class.time_to_first_token_ms)
}

pub fn revision(platform: &Platform) -> Option<u64> {
    platform.configuration().map(|accepted| accepted.revision)
}

/// Waits until `reached` returns true; panics if it takes too long.
pub async fn wait_until(what: &str, reached: impl Fn() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !reached() {
        assert!(Instant::now() < deadline, "never: {what}");
        compio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The changes of the configuration and the service, one per line.
///
/// The service's address differs from run to run and is replaced by a placeholder.
pub fn change_log(changes: &Changes, address: SocketAddr) -> String {
    let changes = changes.borrow();
    let lines = changes.iter().filter(|change| !concerns_instances(change));
    let lines: Vec<_> = lines.map(ToString::to_string).collect();
    lines.join("\n").replace(&address.to_string(), "[address]")
}

fn concerns_instances(change: &PlatformChange) -> bool {
    match change {
        PlatformChange::Accepted { kind, .. }
        | PlatformChange::Refused { kind, .. }
        | PlatformChange::Diverged { kind, .. } => *kind == Kind::Instances,
        PlatformChange::ServiceLost { .. } | PlatformChange::ServiceBack => false,
    }
}
