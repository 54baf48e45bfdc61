//! Emulated engines on loopback, and would-be responsible daemons.

#![allow(clippy::unwrap_used, reason = "a helper that fails ends its test")]
#![allow(
    dead_code,
    reason = "each test binary uses its own part of these helpers"
)]

pub mod delay;

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpListener;
use compio::runtime::{JoinHandle, spawn};
use mangofront_http::{Shutdown, ShutdownTrigger};
use mangofront_orders::{
    OrderChange, Orders, OrdersDaemon, OrdersEngine, OrdersOptions, OrdersOptionsBuilder,
    OrdersView,
};
use mangofront_settings::published::{Fencing, Model};
use mangofront_standin::engine::{EngineSettings, run};
use mangofront_standin::weights::{self, WeightsSettings};
use mangofront_upstream::{Connections, ConnectionsOptions};
use serde_json::{Value, json};

/// Longest time for something to come true, far beyond what is expected.
const PATIENCE: Duration = Duration::from_secs(15);

/// A running engine; dropped, it shuts down.
pub struct TestEngine {
    pub address: SocketAddr,
    _shutdown: ShutdownTrigger,
    _serving: JoinHandle<()>,
}

/// An engine that loads within some tens of milliseconds.
pub fn settings(fencing: Fencing) -> EngineSettings {
    EngineSettings {
        incarnation: Some(1),
        fencing,
        time_scale: 0.01,
        load_time_ms: 5_000,
        ..EngineSettings::default()
    }
}

impl TestEngine {
    pub async fn start(settings: EngineSettings) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (trigger, shutdown) = Shutdown::new();
        Self {
            address: listener.local_addr().unwrap(),
            _shutdown: trigger,
            _serving: spawn(run(listener, settings, shutdown)),
        }
    }

    pub async fn get(&self, path: &str) -> Value {
        get(self.address, path).await
    }

    /// Orders as the engine counted them: kind, value, and whether it took them.
    pub async fn orders(&self) -> Vec<(String, String, bool)> {
        let counters = self.get("/control/counters").await;
        let orders = counters["orders"].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap().to_owned();
        orders
            .iter()
            .map(|order| {
                let accepted = order["accepted"].as_bool().unwrap();
                (text(&order["kind"]), text(&order["value"]), accepted)
            })
            .collect()
    }

    /// Switches the emulator's faults.
    pub async fn control(&self, switches: Value) {
        let client = mangofront_http::client().unwrap();
        let url = format!("http://{}/control", self.address);
        let request = client.post(url).unwrap().body(switches.to_string());
        assert!(request.send().await.unwrap().status().is_success());
    }

    /// Sends an order past all daemons; the answer's status.
    pub async fn order(&self, kind: &str, token: Value, value: &str) -> u16 {
        let client = mangofront_http::client().unwrap();
        let url = format!("http://{}/v1/orders/{kind}", self.address);
        let body = json!({"token": token, "value": value}).to_string();
        let request = client.put(url).unwrap().body(body);
        request.send().await.unwrap().status().as_u16()
    }

    /// Waits until `field` of the state is `value` and nothing is loaded.
    pub async fn wait_for(&self, field: &str, value: Value) {
        wait_until(&format!("{field} is {value}"), async || {
            let state = self.get("/v1/state").await;
            state[field] == value && state["state"] == "ready"
        })
        .await;
    }
}

pub async fn get(address: SocketAddr, path: &str) -> Value {
    let client = mangofront_http::client().unwrap();
    let url = format!("http://{address}{path}");
    let answer = client.get(url).unwrap().send().await.unwrap();
    serde_json::from_str(&answer.text().await.unwrap()).unwrap()
}

/// A running weight store; dropped, it shuts down.
pub struct TestStore {
    pub address: SocketAddr,
    _shutdown: ShutdownTrigger,
    _serving: JoinHandle<()>,
}

impl TestStore {
    pub async fn start(settings: WeightsSettings) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let (trigger, shutdown) = Shutdown::new();
        Self {
            address: listener.local_addr().unwrap(),
            _shutdown: trigger,
            _serving: spawn(weights::run(listener, settings, shutdown)),
        }
    }

    pub async fn counter(&self, name: &str) -> u64 {
        let counters = get(self.address, "/control/counters").await;
        counters[name].as_u64().unwrap()
    }
}

/// Polls `holds` until it is true.
pub async fn wait_until(what: &str, holds: impl AsyncFn() -> bool) {
    let started = Instant::now();
    while !holds().await {
        assert!(started.elapsed() < PATIENCE, "did not come about: {what}");
        pause(5).await;
    }
}

pub async fn pause(time_ms: u64) {
    compio::time::sleep(Duration::from_millis(time_ms)).await;
}

/// A daemon's orders with the changes they told.
pub struct TestDaemon {
    pub name: String,
    pub incarnation: u64,
    pub orders: Orders,
    pub changes: Rc<RefCell<Vec<OrderChange>>>,
}

/// Options of a daemon that is a hundred times as hasty as a real one; its
/// lease is an ordinary one, so that a busy machine ends none.
pub fn hasty() -> OrdersOptionsBuilder {
    OrdersOptions::builder(Connections::new(ConnectionsOptions::default()))
        .poll_interval(Duration::from_millis(10))
        .takeover_wait(Duration::from_millis(200))
        .backoff(Duration::from_millis(100), Duration::from_secs(5))
}

impl TestDaemon {
    pub fn new(name: &str, incarnation: u64, options: OrdersOptionsBuilder) -> Self {
        let changes: Rc<RefCell<Vec<OrderChange>>> = Rc::default();
        let told = Rc::clone(&changes);
        let options = options.on_change(move |change| told.borrow_mut().push(change));
        Self {
            name: name.to_owned(),
            incarnation,
            orders: Orders::new(options.build()),
            changes,
        }
    }

    /// Hands in `view` as this daemon's own.
    pub fn see(&self, view: &OrdersView) {
        self.orders.set_view(self.own_view(view));
    }

    fn own_view(&self, view: &OrdersView) -> OrdersView {
        OrdersView {
            own_instance: self.name.clone(),
            incarnation: self.incarnation,
            ..view.clone()
        }
    }

    /// Hands in `view` again and again, as an embedder does.
    pub fn keep_seeing(&self, view: &OrdersView) -> JoinHandle<()> {
        let view = self.own_view(view);
        let orders = self.orders.clone();
        spawn(async move {
            loop {
                orders.set_view(view.clone());
                pause(20).await;
            }
        })
    }
}

/// A view of `daemons` in zone hall-a and of `engines`, by turns in the halls
/// of `zones`.
pub fn view(
    daemons: &[&str],
    engines: &[&TestEngine],
    zones: &[&str],
    (revision, model): (u64, Model),
) -> OrdersView {
    let engines = engines
        .iter()
        .enumerate()
        .map(|(index, engine)| OrdersEngine {
            instance: format!("engine-{index}"),
            model: "assist-llm".to_owned(),
            availability_zone: zones[index % zones.len()].to_owned(),
            address: engine.address,
            leaving: false,
            role: None,
        });
    let daemons = daemons.iter().map(|name| OrdersDaemon {
        instance: (*name).to_owned(),
        availability_zone: "hall-a".to_owned(),
    });
    OrdersView {
        own_instance: String::new(),
        incarnation: 0,
        daemons: daemons.collect(),
        engines: engines.collect(),
        revision,
        models: BTreeMap::from([("assist-llm".to_owned(), model)]),
    }
}

pub fn model(fencing: Fencing, version: &str) -> Model {
    Model {
        fencing,
        version: Some(version.to_owned()),
        adapters: Vec::new(),
    }
}

/// An order that an engine took, as [`TestEngine::orders`] tells it.
pub fn taken(kind: &str, value: &str) -> (String, String, bool) {
    (kind.to_owned(), value.to_owned(), true)
}
