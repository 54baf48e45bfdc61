//! A small fleet of processes: daemons, and emulated platforms, engines and services.

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

use crate::client::{Answer, HttpClient};
use crate::link::{Links, Route, ZONES};
use crate::process::Process;

/// Path of a non-repeatable order.
pub const ORDER: &str = "/v1/services/fleet-ops/orders/toner";

/// Time limit for a condition that a test waits for.
pub const CONDITION_TIMEOUT: Duration = Duration::from_secs(20);

const PLATFORM_PORT: u16 = 9000;
const ENGINE_PORT: u16 = 9100;
const SERVICE_PORT: u16 = 9200;
const CALLER_PORT: u16 = 9300;
const PEER_PORT: u16 = 9400;
const ADMIN_PORT: u16 = 9500;

/// Offset of the port of a forwarder from the port of its target.
const FORWARDER_PORT_OFFSET: u16 = 1000;

/// Limit on the processes of the fleets of all tests that run at once.
const PROCESS_LIMIT: usize = 40;

static FLEET_COUNT: AtomicU16 = AtomicU16::new(0);
static RUNNING_PROCESSES: Mutex<usize> = Mutex::new(0);
static PROCESSES_EXITED: Condvar = Condvar::new();

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
        .expect("the stand-in prints its address");
    assert!(
        line.starts_with("listening on"),
        "unexpected output of the stand-in: {line:?}"
    );
    process
}

/// Composition and settings of a fleet.
#[derive(Debug)]
pub struct FleetSpec {
    /// Settings of each engine.
    pub engines: Vec<Value>,
    /// Settings of each service instance.
    pub services: Vec<Value>,
    /// Number of daemons.
    pub daemons: usize,
    /// Whether each availability zone has its own platform, and the traffic between daemons and
    /// to upstreams goes through forwarders, which can simulate partitions.
    pub isolated_zones: bool,
    /// Interval between two heartbeats of a daemon.
    pub heartbeat_ms: u64,
    /// Non-default values of the settings under `limits` of each daemon.
    pub limits: Value,
    /// Longest graceful shutdown of a daemon. If set, a violated invariant doesn't end the
    /// daemon, as requests that are cut off violate one.
    pub stop_limit_ms: Option<u64>,
    /// Published configuration.
    pub configuration: Value,
}

impl Default for FleetSpec {
    fn default() -> Self {
        let engine = json!({"time_scale": 0.02, "load_lag_ms": 20});
        Self {
            engines: vec![engine.clone(), engine],
            services: vec![json!({"delay_ms": 5})],
            daemons: 1,
            isolated_zones: false,
            heartbeat_ms: 200,
            limits: json!({}),
            stop_limit_ms: None,
            configuration: configuration(),
        }
    }
}

impl FleetSpec {
    /// `daemons` daemons in three availability zones that can be partitioned, with an engine and
    /// a service instance in each.
    pub fn zones(daemons: usize) -> Self {
        let engine = json!({"time_scale": 0.02, "load_lag_ms": 20});
        Self {
            engines: vec![engine; ZONES],
            services: vec![json!({"delay_ms": 5}); ZONES],
            daemons,
            isolated_zones: true,
            ..Self::default()
        }
    }

    fn platform_count(&self) -> usize {
        if self.isolated_zones { ZONES } else { 1 }
    }

    fn process_count(&self) -> usize {
        self.engines.len() + self.services.len() + self.daemons + self.platform_count()
    }
}

/// Configuration that most tests publish first.
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

/// The running processes of a fleet and their addresses.
#[derive(Debug)]
pub struct Fleet {
    ip: String,
    directory: PathBuf,
    spec: FleetSpec,
    links: Option<Links>,
    pub platforms: Vec<Process>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub daemons: Vec<Process>,
    instances: Value,
    next_order_number: AtomicU64,
}

impl Fleet {
    /// Starts all processes and waits until each daemon is ready.
    pub fn start(spec: FleetSpec) -> Self {
        let number = FLEET_COUNT.fetch_add(1, Ordering::Relaxed);
        let id = std::process::id();
        let ip = format!("127.{}.{}.{}", 1 + (id >> 8) % 250, id % 256, 1 + number);
        let directory = std::env::temp_dir().join(format!("mangofront-{id}-{number}"));
        fs::create_dir_all(&directory).expect("the directory is created");
        reserve(spec.process_count());
        let mut fleet = Self {
            ip,
            directory,
            spec,
            links: None,
            platforms: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            instances: Value::Null,
            next_order_number: AtomicU64::new(0),
        };
        for index in 0..fleet.spec.engines.len() {
            let engine = fleet.start_engine(index);
            fleet.engines.push(engine);
        }
        for index in 0..fleet.spec.services.len() {
            let service = fleet.start_service(index);
            fleet.services.push(service);
        }
        fleet.instances = fleet.instance_list();
        if fleet.spec.isolated_zones {
            fleet.links = Some(Links::start(fleet.routes()));
        }
        for index in 0..fleet.spec.platform_count() {
            let platform = fleet.start_platform(index);
            fleet.platforms.push(platform);
        }
        for index in 0..fleet.spec.daemons {
            let daemon = fleet.start_daemon(index);
            fleet.daemons.push(daemon);
        }
        for index in 0..fleet.spec.daemons {
            fleet.wait_until_serving(index);
        }
        fleet
    }

    /// Starts the platform of `index` with the first configuration and instance list. Can be
    /// called again after the process exited.
    pub fn start_platform(&self, index: usize) -> Process {
        let configuration = &self.spec.configuration;
        let settings = json!({"configuration": configuration, "instances": self.instances});
        start_standin("platform", &self.address(PLATFORM_PORT, index), &settings)
    }

    /// Starts the engine of `index`. Can be called again after the process exited.
    pub fn start_engine(&self, index: usize) -> Process {
        let address = self.address(ENGINE_PORT, index);
        start_standin("engine", &address, &self.spec.engines[index])
    }

    /// Starts the service instance of `index`. Can be called again after the process exited.
    pub fn start_service(&self, index: usize) -> Process {
        let address = self.address(SERVICE_PORT, index);
        start_standin("service", &address, &self.spec.services[index])
    }

    /// The forwarders between availability zones.
    pub fn links(&self) -> &Links {
        self.links.as_ref().expect("the fleet has isolated zones")
    }

    /// Starts the daemon of `index`. Can be called again after the process exited.
    pub fn start_daemon(&self, index: usize) -> Process {
        let settings = json!({
            "instance": format!("entry-{index}"),
            "region": "region-1",
            "availability_zone": zone(index),
            "caller_address": self.address(CALLER_PORT, index),
            "peer_address": self.address(PEER_PORT, index),
            "admin_address": self.address(ADMIN_PORT, index),
            "platform_address": self.address(PLATFORM_PORT, index % self.spec.platform_count()),
            "peers": {
                "heartbeat_ms": self.spec.heartbeat_ms,
                "suspect_after_ms": self.spec.heartbeat_ms * 5
            },
            "limits": self.spec.limits,
            "stop_limit_ms": self.spec.stop_limit_ms,
            "logs": {"level": "debug"},
            "fatal_invariants": self.spec.stop_limit_ms.is_none()
        });
        let path = self.directory.join(format!("entry-{index}.jsonc"));
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(self.directory.join(format!("entry-{index}.log")));
        let mut command = Command::new(env!("CARGO_BIN_EXE_mangofrontd"));
        command.arg("--settings").arg(path);
        command.stderr(log.expect("the log file is created"));
        let daemon = Process::start(&mut command);
        if let Some(links) = &self.links {
            links.register_daemon(daemon.child.id(), index % ZONES);
        }
        daemon
    }

    /// Kills the daemon of `index` and starts it again.
    pub fn replace_daemon(&mut self, index: usize) {
        self.daemons[index].kill();
        self.daemons[index] = self.start_daemon(index);
    }

    /// The configuration that was published first.
    pub fn configuration(&self) -> Value {
        self.spec.configuration.clone()
    }

    /// The configuration, with a declaration that the fleet starts for the first time now.
    fn configuration_with_first_start(&self) -> Value {
        let mut configuration = self.spec.configuration.clone();
        // Later than the start of the voters by more than their clock margin of 2 s.
        let first_start = unix_ms() + 2500;
        configuration["idempotency"] = json!({"first_start_unix_ms": first_start});
        configuration
    }

    /// Waits until the daemon of `index` has a configuration.
    pub fn wait_until_serving(&self, index: usize) {
        let caller = self.caller_client(index);
        wait_until("the daemon is ready", || {
            caller.get("/v1/models").status == 200
        });
    }

    /// The instance list, in which the instances named in `leaving` are leaving.
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

    /// Address of a process in the instance list: that of its forwarder if zones are isolated.
    fn published_address(&self, base: u16, index: usize) -> String {
        let offset = if self.spec.isolated_zones {
            FORWARDER_PORT_OFFSET
        } else {
            0
        };
        self.address(base + offset, index)
    }

    fn instance_list(&self) -> Value {
        let mut instances = Vec::new();
        for index in 0..self.spec.engines.len() {
            let address = self.published_address(ENGINE_PORT, index);
            let role = json!({"kind": "engine", "address": address, "model": "assist-llm"});
            instances.push(instance(&format!("engine-{index}"), index, &role));
        }
        for (index, settings) in self.spec.services.iter().enumerate() {
            let address = self.published_address(SERVICE_PORT, index);
            let service = settings["service"].as_str().unwrap_or("fleet-ops");
            let role = json!({"kind": "service", "address": address, "service": service});
            instances.push(instance(&format!("service-{index}"), index, &role));
        }
        for index in 0..self.spec.daemons {
            let role = json!({
                "kind": "entry",
                "peer_address": self.published_address(PEER_PORT, index),
                "caller_address": self.address(CALLER_PORT, index)
            });
            instances.push(instance(&format!("entry-{index}"), index, &role));
        }
        json!({"instances": instances})
    }

    fn routes(&self) -> Vec<Route> {
        let spec = &self.spec;
        let targets = [
            (ENGINE_PORT, spec.engines.len()),
            (SERVICE_PORT, spec.services.len()),
            (PEER_PORT, spec.daemons),
        ];
        let route = |base: u16, index: usize| Route {
            listen: self
                .published_address(base, index)
                .parse()
                .expect("an address"),
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

    /// Address on which the daemon of `index` listens for callers.
    pub fn caller_address(&self, index: usize) -> String {
        self.address(CALLER_PORT, index)
    }

    /// Client for the caller address of the daemon of `index`.
    pub fn caller_client(&self, index: usize) -> HttpClient {
        HttpClient::new(self.address(CALLER_PORT, index))
    }

    /// Client for the admin address of the daemon of `index`.
    pub fn admin_client(&self, index: usize) -> HttpClient {
        HttpClient::new(self.address(ADMIN_PORT, index))
    }

    /// Client for the engine of `index`, past any forwarder.
    pub fn engine_client(&self, index: usize) -> HttpClient {
        HttpClient::new(self.address(ENGINE_PORT, index))
    }

    /// A counter of the engine of `index`; 0 if it does not answer.
    pub fn engine_counter(&self, index: usize, name: &str) -> u64 {
        let counters = self.engine_client(index).get("/control/counters").json();
        counters[name].as_u64().unwrap_or_default()
    }

    /// Sum of a counter over all engines.
    pub fn engine_counter_sum(&self, name: &str) -> u64 {
        let counter = |index| self.engine_counter(index, name);
        (0..self.spec.engines.len()).map(counter).sum()
    }

    /// Waits until no engine has memory in use or reserved.
    pub fn wait_until_memory_is_free(&self) {
        wait_until("all memory is freed", || {
            self.engine_counter_sum("kv_used_tokens") + self.engine_counter_sum("reserved_tokens")
                == 0
        });
    }

    /// Number of calls that the service instance of `index` executed.
    pub fn service_total(&self, index: usize) -> u64 {
        let counters = self.service_client(index).get("/control/counters").json();
        counters["total"].as_u64().unwrap_or_default()
    }

    /// Sends an order with the idempotency key `key` to the daemon of `index`.
    pub fn order(&self, index: usize, key: &str) -> Answer {
        let caller = self
            .caller_client(index)
            .with_header("idempotency-key", key);
        caller.post(ORDER, &json!({"toner": "black"}))
    }

    /// Declares the first start of the fleet and waits until each daemon runs orders.
    pub fn wait_until_orders_run(&self) {
        self.publish("configuration", &self.configuration_with_first_start());
        (0..self.daemons.len()).for_each(|index| self.wait_until_order_runs(index));
    }

    /// Waits until the daemon of `index` runs an order with a new key.
    pub fn wait_until_order_runs(&self, index: usize) {
        wait_until("orders run", || {
            let number = self.next_order_number.fetch_add(1, Ordering::Relaxed);
            self.order(index, &format!("ready-{number}")).status == 200
        });
    }

    /// Number of executions of each idempotency key, on all service instances together.
    pub fn executions_by_key(&self) -> BTreeMap<String, u64> {
        let mut runs = BTreeMap::new();
        for index in 0..self.spec.services.len() {
            let counters = self.service_client(index).get("/control/counters").json();
            for (key, count) in counters["by_key"].as_object().into_iter().flatten() {
                *runs.entry(key.clone()).or_default() += count.as_u64().unwrap_or_default();
            }
        }
        runs
    }

    /// Status of the daemon of `index`.
    pub fn status(&self, index: usize) -> Value {
        self.admin_client(index).get("/status").json()
    }

    /// Revision of the configuration in force at the daemon of `index`.
    pub fn revision(&self, index: usize) -> u64 {
        let status = self.status(index);
        let accepted = &status["platform"]["configuration"]["accepted"];
        accepted["revision"].as_u64().unwrap_or_default()
    }

    /// Client for the service instance of `index`, past any forwarder.
    pub fn service_client(&self, index: usize) -> HttpClient {
        HttpClient::new(self.address(SERVICE_PORT, index))
    }

    /// Client for the platform of an availability zone.
    pub fn platform_client(&self, zone: usize) -> HttpClient {
        let index = zone % self.spec.platform_count();
        HttpClient::new(self.address(PLATFORM_PORT, index))
    }

    /// Publishes a value on every platform.
    pub fn publish(&self, kind: &str, value: &Value) {
        for index in 0..self.platforms.len() {
            let published = self
                .platform_client(index)
                .put(&format!("/control/{kind}"), value);
            assert_eq!(published.status, 200, "{}", published.body);
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_logs();
        }
        let _ = fs::remove_dir_all(&self.directory);
        release(self.spec.process_count());
    }
}

impl Fleet {
    /// What the daemon of `index` has logged.
    pub fn log(&self, index: usize) -> String {
        let path = self.directory.join(format!("entry-{index}.log"));
        fs::read_to_string(path).unwrap_or_default()
    }

    /// Prints the logs of all daemons, for a test that failed.
    fn print_logs(&self) {
        for index in 0..self.spec.daemons {
            let log = self.log(index);
            eprintln!("--- log of entry-{index}\n{log}");
        }
    }
}

/// Sets the flag that ends the load of a test when dropped, also while panicking.
#[derive(Debug)]
pub struct StopLoadOnDrop<'a>(pub &'a AtomicBool);

impl Drop for StopLoadOnDrop<'_> {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Waits until `count` more processes may run.
fn reserve(count: usize) {
    let running = RUNNING_PROCESSES.lock().expect("no holder panics");
    let exceeds_limit = |running: &mut usize| *running > 0 && *running + count > PROCESS_LIMIT;
    let running = PROCESSES_EXITED.wait_while(running, exceeds_limit);
    *running.expect("no holder panics") += count;
}

fn release(count: usize) {
    *RUNNING_PROCESSES.lock().expect("no holder panics") -= count;
    PROCESSES_EXITED.notify_all();
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
    u64::try_from(since.as_millis()).expect("the time fits into 64 bits")
}

/// Polls `condition` until it is true. Panics after [`CONDITION_TIMEOUT`] with `what`, which
/// describes the condition.
pub fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "timed out waiting until: {what}"
        );
        thread::sleep(Duration::from_millis(20));
    }
}
