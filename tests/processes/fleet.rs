//! A small fleet of processes: daemons, and stand-ins for everything else.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};

/// How long a condition may take to come about before a test fails.
pub const PATIENCE: Duration = Duration::from_secs(20);

const PLATFORM_PORT: u16 = 9000;
const ENGINE_PORT: u16 = 9100;
const SERVICE_PORT: u16 = 9200;
const CALLER_PORT: u16 = 9300;
const PEER_PORT: u16 = 9400;
const ADMIN_PORT: u16 = 9500;

static FLEETS: AtomicU16 = AtomicU16::new(0);

/// A process that ends with its owner.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    fn start(command: &mut Command) -> Self {
        let child = command.spawn().expect("the process starts");
        Self { child }
    }

    /// Starts a stand-in and waits until it listens.
    fn standin(kind: &str, address: &str, settings: &Value) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_mangofront"));
        command.args(["standin", kind, "--address", address]);
        for (name, value) in settings.as_object().into_iter().flatten() {
            command.args(["--set", &format!("{name}={value}")]);
        }
        command.stdout(Stdio::piped()).stderr(Stdio::null());
        let mut process = Self::start(&mut command);
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

    /// Sends a signal by its name.
    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status();
        assert!(
            sent.expect("kill runs").success(),
            "signal {name} reaches {id}"
        );
    }

    /// Waits for the process to end by itself; its exit code.
    pub fn exit_code(&mut self) -> Option<i32> {
        let started = Instant::now();
        while started.elapsed() < PATIENCE {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process can be waited for")
            {
                return status.code();
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the process did not end in time");
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Ending a process that has ended already fails, and that is fine.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
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
            configuration: configuration(),
        }
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
    pub platform: Option<Process>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub daemons: Vec<Process>,
    instances: Value,
}

impl Fleet {
    /// Starts everything and waits until each daemon serves.
    pub fn start(plan: Plan) -> Self {
        let number = FLEETS.fetch_add(1, Ordering::Relaxed);
        let id = std::process::id();
        let ip = format!("127.{}.{}.{}", 1 + (id >> 8) % 250, id % 256, 1 + number);
        let folder = std::env::temp_dir().join(format!("mangofront-{id}-{number}"));
        fs::create_dir_all(&folder).expect("the folder is made");
        let mut fleet = Self {
            ip,
            folder,
            platform: None,
            engines: Vec::new(),
            services: Vec::new(),
            daemons: Vec::new(),
            instances: Value::Null,
        };
        for (index, settings) in plan.engines.iter().enumerate() {
            let address = fleet.address(ENGINE_PORT, index);
            fleet
                .engines
                .push(Process::standin("engine", &address, settings));
        }
        for (index, settings) in plan.services.iter().enumerate() {
            let address = fleet.address(SERVICE_PORT, index);
            fleet
                .services
                .push(Process::standin("service", &address, settings));
        }
        fleet.instances = fleet.list(&plan);
        fleet.start_platform(&plan.configuration);
        for index in 0..plan.daemons {
            let daemon = fleet.start_daemon(index);
            fleet.daemons.push(daemon);
        }
        for index in 0..plan.daemons {
            fleet.wait_until_serving(index);
        }
        fleet
    }

    fn start_platform(&mut self, configuration: &Value) {
        let settings = json!({"configuration": configuration, "instances": self.instances});
        let address = self.address(PLATFORM_PORT, 0);
        self.platform = Some(Process::standin("platform", &address, &settings));
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
            "platform_address": self.address(PLATFORM_PORT, 0),
            "fatal_invariants": true
        });
        let path = self.folder.join(format!("entry-{index}.jsonc"));
        fs::write(&path, settings.to_string()).expect("the settings are written");
        let log = fs::File::create(self.folder.join(format!("entry-{index}.log")));
        let mut command = Command::new(env!("CARGO_BIN_EXE_mangofrontd"));
        command.arg("--settings").arg(path);
        command.stderr(log.expect("the log file is made"));
        Process::start(&mut command)
    }

    /// Waits until the daemon of `index` knows a configuration.
    pub fn wait_until_serving(&self, index: usize) {
        let caller = self.caller(index);
        wait_until("the daemon serves", || {
            caller.get("/v1/models").status == 200
        });
    }

    fn list(&self, plan: &Plan) -> Value {
        let mut instances = Vec::new();
        for index in 0..plan.engines.len() {
            let address = self.address(ENGINE_PORT, index);
            let role = json!({"kind": "engine", "address": address, "model": "assist-llm"});
            instances.push(instance(&format!("engine-{index}"), index, &role));
        }
        for index in 0..plan.services.len() {
            let address = self.address(SERVICE_PORT, index);
            let role = json!({"kind": "service", "address": address, "service": "fleet-ops"});
            instances.push(instance(&format!("service-{index}"), index, &role));
        }
        for index in 0..plan.daemons {
            let role = json!({
                "kind": "entry",
                "peer_address": self.address(PEER_PORT, index),
                "caller_address": self.address(CALLER_PORT, index)
            });
            instances.push(instance(&format!("entry-{index}"), index, &role));
        }
        json!({"instances": instances})
    }

    /// List of instances as it was published at the start.
    pub fn instances(&self) -> Value {
        self.instances.clone()
    }

    fn address(&self, base: u16, index: usize) -> String {
        let port = base + u16::try_from(index).expect("fleets are small");
        format!("{}:{port}", self.ip)
    }

    /// Caller of the daemon of `index`.
    pub fn caller(&self, index: usize) -> crate::caller::Caller {
        crate::caller::Caller::new(self.address(CALLER_PORT, index))
    }

    /// Operator of the daemon of `index`.
    pub fn operator(&self, index: usize) -> crate::caller::Caller {
        crate::caller::Caller::new(self.address(ADMIN_PORT, index))
    }

    /// Direct access to the engine of `index`.
    pub fn engine(&self, index: usize) -> crate::caller::Caller {
        crate::caller::Caller::new(self.address(ENGINE_PORT, index))
    }

    /// Direct access to the service instance of `index`.
    pub fn service(&self, index: usize) -> crate::caller::Caller {
        crate::caller::Caller::new(self.address(SERVICE_PORT, index))
    }

    /// Direct access to the platform.
    pub fn platform_control(&self) -> crate::caller::Caller {
        crate::caller::Caller::new(self.address(PLATFORM_PORT, 0))
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        if thread::panicking() {
            self.print_logs();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Shows what the daemons logged, for a test that failed.
    fn print_logs(&self) {
        for index in 0..self.daemons.len() {
            let path = self.folder.join(format!("entry-{index}.log"));
            let log = fs::read_to_string(path).unwrap_or_default();
            eprintln!("--- log of entry-{index}\n{log}");
        }
    }
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

/// Polls `holds` until it is true.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    let started = Instant::now();
    while !holds() {
        assert!(started.elapsed() < PATIENCE, "did not come about: {what}");
        thread::sleep(Duration::from_millis(20));
    }
}
