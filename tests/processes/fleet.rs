//! A small fleet of processes: daemons, and stand-ins for everything else.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU16, AtomicU64, Ordering};
use std::sync::{Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::caller::{Answer, Caller};
use crate::link::{Links, Route, ZONES};
use crate::process::Process;

/// An order that must not repeat.
pub const ORDER: &str = "/v1/services/fleet-ops/orders/toner";

/// How long a condition may take to come about before a test fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

const PLATFORM_PORT: u16 = 9000;
const ENGINE_PORT: u16 = 9100;
const SERVICE_PORT: u16 = 9200;
const CALLER_PORT: u16 = 9300;
const PEER_PORT: u16 = 9400;
const ADMIN_PORT: u16 = 9500;

/// Offset of a forwarder's port from that of its target.
const LINK_OFFSET: u16 = 1000;

/// Most processes that the fleets of all tests run at once.
const PROCESS_LIMIT: usize = 40;

static FLEETS: AtomicU16 = AtomicU16::new(0);
static PROCESSES: Mutex<usize> = Mutex::new(0);
static PROCESSES_ENDED: Condvar = Condvar::new();

/// Starts a stand-in and waits until it listens.
fn start_standin(kind: &str, address: &str, settings: &Value) -> Process {
    let mut command = Command::new(env!("CARGO_BIN_EXE_mangofront"));
    command.args(["standin", kind, "--address", address]);
    for (name, value) in settings.as_object().into_iter().flatten() {
        command.args(["--set", &format!("{name}={value}")]);
    }
    command.stdout(Stdio::piped()).stderr(Stdio::null());
    let mut process = Process::start(&mut command);
    let output = process.child.stdout.take().expect("the output is piped");
    let mut line = String::new();
    BufReader::new(output)
        .read_line(&mut line)
        .expect("the stand-in tells its address");
    assert!(
        line.starts_with("listening on"),
        "the stand-in said {line:?}"
    );
    process
}

/// What a fleet is made of.
#[derive(Debug)]
pub struct Plan {
    /// Settings of each engine.
    pub engines: Vec<Value>,
    /// Settings of each service instance.
    pub services: Vec<Value>,
    /// Number of daemons.
    pub daemons: usize,
    /// Whether each availability zone has a platform of its own and all
    /// traffic of daemons goes through links that can be cut.
    pub apart: bool,
    /// Time between two heartbeats of daemons.
    pub heartbeat_ms: u64,
    /// Limits of each daemon that differ from the defaults.
    pub limits: Value,
    /// Published configuration.
    pub configuration: Value,
}

impl Default for Plan {
    fn default() -> Self {
        let engine = json!({"time_scale": 0.02, "load_lag_ms": 20});
        Self {
            engines: vec![engine.clone(), engine],
            services: vec![json!({"delay_ms": 5})],
            daemons: 1,
            apart: false,
            heartbeat_ms: 200,
            limits: json!({}),
            configuration: configuration(),
        }
    }
}

impl Plan {
    /// `daemons` in three availability zones that can be cut from each other,
    /// with an engine and a service instance in each.
    pub fn zones(daemons: usize) -> Self {
        let engine = json!({"time_scale": 0.02, "load_lag_ms": 20});
        Self {
            engines: vec![engine; ZONES],
            services: vec![json!({"delay_ms": 5}); ZONES],
            daemons,
            apart: true,
            ..Self::default()
        }
    }

    fn platforms(&self) -> usize {
        if self.apart { ZONES } else { 1 }
    }

    fn processes(&self) -> usize {
        self.engines.len() + self.services.len() + self.daemons + self.platforms()
    }
}

/// Configuration that the tests publish.
pub fn configuration() -> Value {
    json!({
        "classes": {
            "diagnosis": {"time_to_first_token_ms": 2000, "allowed_delay_ms": 10000},
            "review": {"time_to_first_token_ms": 20000, "allowed_delay_ms": 40000}
        },
        "organisations": {"tuul": {"default_class": "diagnosis"}, "bijela": {}},
        "models": {"assist-llm": {}},
        "services": {
            "fleet-ops": {"non_repeatable": [{"method": "POST", "path_prefix": "/orders"}]}
        }
    })
}

/// Running processes and where they listen.
#[derive(Debug)]
pub struct Fleet {
    ip: String,
    folder: PathBuf,
    plan: Plan,
    links: Option<Links>,
    pub platforms: Vec<Process>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub daemons: Vec<Process>,
    instances: Value,
    numbers: AtomicU64,
}

impl Fleet {
    /// Starts everything and waits until each daemon serves.
    pub fn start(plan: Plan) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let id = std::process::id();
        let ip = format!("127.{}.{}.{}", 1 + (id >> 8) % 250, id % 256, 1 + number);
        let folder = std::env::temp_dir().join(format!("mangofront-{id}-{number}"));
        fs::create_dir_all(&folder).expect("the folder is made");
        reserve(plan.processes());
        let mut fleet = Self {
            ip,
            folder,
            plan,
            links: None,
            platforms: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            instances: Value::Null,
            numbers: AtomicU64::new(0),
        };
        for index in 0..fleet.plan.engines.len() {
            let engine = fleet.start_engine(index);
            fleet.engines.push(engine);
        }
        for index in 0..fleet.plan.services.len() {
            let service = fleet.start_service(index);
            fleet.services.push(service);
        }
        fleet.instances = fleet.list();
        if fleet.plan.apart {
            fleet.links = Some(Links::start(fleet.routes()));
        }
        for index in 0..fleet.plan.platforms() {
            let platform = fleet.start_platform(index);
            fleet.platforms.push(platform);
        }
        for index in 0..fleet.plan.daemons {
            let daemon = fleet.start_daemon(index);
            fleet.daemons.push(daemon);
        }
        for index in 0..fleet.plan.daemons {
            fleet.wait_until_serving(index);
        }
        fleet
    }

    /// Starts the platform of `index` at its first values, also again.
    pub fn start_platform(&self, index: usize) -> Process {
        let configuration = &self.plan.configuration;
        let settings = json!({"configuration": configuration, "instances": self.instances});
        start_standin("platform", &self.address(PLATFORM_PORT, index), &settings)
    }

    /// Starts the engine of `index`, also again after its end.
    pub fn start_engine(&self, index: usize) -> Process {
        let address = self.address(ENGINE_PORT, index);
        start_standin("engine", &address, &self.plan.engines[index])
    }

    /// Starts the service instance of `index`, also again after its end.
    pub fn start_service(&self, index: usize) -> Process {
        let address = self.address(SERVICE_PORT, index);
        start_standin("service", &address, &self.plan.services[index])
    }

    /// The links between availability zones.
    pub fn links(&self) -> &Links {
        self.links.as_ref().expect("the plan has zones apart")
    }

    /// Starts the daemon of `index`, also again after its end.
    pub fn start_daemon(&self, index: usize) -> Process {
        let settings = json!({
            "instance": format!("entry-{index}"),
            "region": "region-1",
            "availability_zone": zone(index),
            "caller_address": self.address(CALLER_PORT, index),
            "peer_address": self.address(PEER_PORT, index),
            "admin_address": self.address(ADMIN_PORT, index),
            "platform_address": self.address(PLATFORM_PORT, index % self.plan.platforms()),
            "peers": {
                "heartbeat_ms": self.plan.heartbeat_ms,
                "suspect_after_ms": self.plan.heartbeat_ms * 5
            },
            "limits": self.plan.limits,
            "logs": {"level": "debug"},
            "fatal_invariants": true
        });
        let path = self.folder.join(format!("entry-{index}.jsonc"));
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("entry-{index}.log")));
        let mut command = Command::new(env!("CARGO_BIN_EXE_mangofrontd"));
        command.arg("--settings").arg(path);
        command.stderr(log.expect("the log file is made"));
        let daemon = Process::start(&mut command);
        if let Some(links) = &self.links {
            links.know(daemon.child.id(), index % ZONES);
        }
        daemon
    }

    /// Ends the daemon of `index` at once and starts it anew.
    pub fn replace_daemon(&mut self, index: usize) {
        self.daemons[index].kill();
        self.daemons[index] = self.start_daemon(index);
    }

    /// The configuration that was published first.
    pub fn configuration(&self) -> Value {
        self.plan.configuration.clone()
    }

    /// The configuration, with an operator's word that the fleet started first just now.
    fn vouched_configuration(&self) -> Value {
        let mut configuration = self.plan.configuration.clone();
        // Past the voters' own start by more than their clock margin.
        let first_start = unix_ms() + 2500;
        configuration["idempotency"] = json!({"first_start_unix_ms": first_start});
        configuration
    }

    /// Waits until the daemon of `index` knows a configuration.
    pub fn wait_until_serving(&self, index: usize) {
        let caller = self.caller(index);
        wait_until("the daemon serves", || {
            caller.get("/v1/models").status == 200
        });
    }

    /// The instance list, with some instances leaving.
    pub fn instances_with_leaving(&self, leaving: &[&str]) -> Value {
        let mut list = self.instances.clone();
        for instance in list["instances"].as_array_mut().into_iter().flatten() {
            let name = instance["instance"].as_str().unwrap_or_default();
            if leaving.contains(&name) {
                instance["state"] = json!("leaving");
            }
        }
        list
    }

    /// Address by which daemons reach a process.
    fn listed(&self, base: u16, index: usize) -> String {
        let offset = if self.plan.apart { LINK_OFFSET } else { 0 };
        self.address(base + offset, index)
    }

    fn list(&self) -> Value {
        let mut instances = Vec::new();
        for index in 0..self.plan.engines.len() {
            let address = self.listed(ENGINE_PORT, index);
            let role = json!({"kind": "engine", "address": address, "model": "assist-llm"});
            instances.push(instance(&format!("engine-{index}"), index, &role));
        }
        for (index, settings) in self.plan.services.iter().enumerate() {
            let address = self.listed(SERVICE_PORT, index);
            let service = settings["service"].as_str().unwrap_or("fleet-ops");
            let role = json!({"kind": "service", "address": address, "service": service});
            instances.push(instance(&format!("service-{index}"), index, &role));
        }
        for index in 0..self.plan.daemons {
            let role = json!({
                "kind": "entry",
                "peer_address": self.listed(PEER_PORT, index),
                "caller_address": self.address(CALLER_PORT, index)
            });
            instances.push(instance(&format!("entry-{index}"), index, &role));
        }
        json!({"instances": instances})
    }

    fn routes(&self) -> Vec<Route> {
        let plan = &self.plan;
        let targets = [
            (ENGINE_PORT, plan.engines.len()),
            (SERVICE_PORT, plan.services.len()),
            (PEER_PORT, plan.daemons),
        ];
        let route = |base: u16, index: usize| Route {
            listen: self.listed(base, index).parse().expect("an address"),
            target: self.address(base, index).parse().expect("an address"),
            zone: index % ZONES,
        };
        targets
            .iter()
            .flat_map(|(base, count)| (0..*count).map(|index| route(*base, index)))
            .collect()
    }

    fn address(&self, base: u16, index: usize) -> String {
        let port = base + u16::try_from(index).expect("fleets are small");
        format!("{}:{port}", self.ip)
    }

    /// Where the daemon of `index` listens for callers.
    pub fn caller_address(&self, index: usize) -> String {
        self.address(CALLER_PORT, index)
    }

    /// Caller of the daemon of `index`.
    pub fn caller(&self, index: usize) -> Caller {
        Caller::new(self.address(CALLER_PORT, index))
    }

    /// Operator of the daemon of `index`.
    pub fn operator(&self, index: usize) -> Caller {
        Caller::new(self.address(ADMIN_PORT, index))
    }

    /// Direct access to the engine of `index`.
    pub fn engine(&self, index: usize) -> Caller {
        Caller::new(self.address(ENGINE_PORT, index))
    }

    /// A counter of the engine of `index`; 0 when it does not answer.
    pub fn engine_counter(&self, index: usize, name: &str) -> u64 {
        let counters = self.engine(index).get("/control/counters").json();
        counters[name].as_u64().unwrap_or_default()
    }

    /// A counter of all engines together.
    pub fn engines_counter(&self, name: &str) -> u64 {
        let counter = |index| self.engine_counter(index, name);
        (0..self.plan.engines.len()).map(counter).sum()
    }

    /// Waits until no engine holds memory for work.
    pub fn wait_until_memory_is_free(&self) {
        wait_until("all memory comes back", || {
            self.engines_counter("kv_used_tokens") + self.engines_counter("reserved_tokens") == 0
        });
    }

    /// Executed calls of the service instance of `index`.
    pub fn service_total(&self, index: usize) -> u64 {
        let counters = self.service(index).get("/control/counters").json();
        counters["total"].as_u64().unwrap_or_default()
    }

    /// Sends an order under `key` at the daemon of `index`.
    pub fn order(&self, index: usize, key: &str) -> Answer {
        let caller = self.caller(index).with("idempotency-key", key);
        caller.post(ORDER, &json!({"toner": "black"}))
    }

    /// Waits until orders run at every daemon, after the operator has vouched
    /// for the fleet's first start.
    pub fn wait_until_orders_run(&self) {
        self.publish("configuration", &self.vouched_configuration());
        (0..self.daemons.len()).for_each(|index| self.wait_until_order_runs(index));
    }

    /// Waits until the daemon of `index` runs an order under some new key.
    pub fn wait_until_order_runs(&self, index: usize) {
        wait_until("orders run", || {
            let number = self.numbers.fetch_add(1, Ordering::Relaxed);
            self.order(index, &format!("ready-{number}")).status == 200
        });
    }

    /// How often each key ran, on all service instances together.
    pub fn runs(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for index in 0..self.plan.services.len() {
            let counters = self.service(index).get("/control/counters").json();
            for (key, count) in counters["by_key"].as_object().into_iter().flatten() {
                *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or_default();
            }
        }
        runs
    }

    /// Status of the daemon of `index`.
    pub fn status(&self, index: usize) -> Value {
        self.operator(index).get("/status").json()
    }

    /// Revision of the configuration in force at the daemon of `index`.
    pub fn revision(&self, index: usize) -> u64 {
        let status = self.status(index);
        let accepted = &status["platform"]["configuration"]["accepted"];
        accepted["revision"].as_u64().unwrap_or_default()
    }

    /// Direct access to the service instance of `index`.
    pub fn service(&self, index: usize) -> Caller {
        Caller::new(self.address(SERVICE_PORT, index))
    }

    /// Direct access to the platform of an availability zone.
    pub fn platform(&self, zone: usize) -> Caller {
        let index = zone % self.plan.platforms();
        Caller::new(self.address(PLATFORM_PORT, index))
    }

    /// Publishes a value on every platform.
    pub fn publish(&self, kind: &str, value: &Value) {
        for index in 0..self.platforms.len() {
            let published = self.platform(index).put(&format!("/control/{kind}"), value);
            assert_eq!(published.status, 200, "{}", published.body);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_logs();
        }
        let _ = fs::remove_dir_all(&self.folder);
        release(self.plan.processes());
    }
}

impl Fleet {
    /// Shows what the daemons logged, for a test that failed.
    fn print_logs(&self) {
        for index in 0..self.plan.daemons {
            let path = self.folder.join(format!("entry-{index}.log"));
            let log = fs::read_to_string(path).unwrap_or_default();
            eprintln!("--- log of entry-{index}\n{log}");
        }
    }
}

/// Ends the load of a test when dropped, also by a panic.
#[derive(Debug)]
pub struct EndsLoad<'a>(pub &'a AtomicBool);

impl Drop for EndsLoad<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Waits until `count` more processes may run.
fn reserve(count: usize) {
    let running = PROCESSES.lock().expect("no holder panics");
    let fits = |running: &mut usize| *running > 0 && *running + count > PROCESS_LIMIT;
    let free = PROCESSES_ENDED.wait_while(running, fits);
    *free.expect("no holder panics") += count;
}

fn release(count: usize) {
    *PROCESSES.lock().expect("no holder panics") -= count;
    PROCESSES_ENDED.notify_all();
}

fn zone(index: usize) -> &'static str {
    ["hall-a", "hall-b", "hall-c"][index % 3]
}

fn instance(name: &str, index: usize, role: &Value) -> Value {
    json!({
        "instance": name,
        "region": "region-1",
        "availability_zone": zone(index),
        "state": "live",
        "role": role
    })
}

/// Wall-clock time in Unix milliseconds.
pub fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    let since = since.expect("the clock is past 1970");
    u64::try_from(since.as_millis()).expect("it fits")
}

/// Polls `holds` until it is true.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "did not come about: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
