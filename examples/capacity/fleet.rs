//! A fleet of processes on loopback, ended by their ids when it is dropped.

use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::callers::Caller;
use crate::{Failure, Plan};

/// Time for a fleet to become ready.
const READY_LIMIT: Duration = Duration::from_secs(60);

/// Time past the clock margin of orders, which is 2 s.
const VOUCH_AFTER: Duration = Duration::from_millis(2100);

/// Ports above the fleet's first, for each kind of process.
const SERVICE_PORT: u16 = 50;
const CALLER_PORT: u16 = 100;
const PEER_PORT: u16 = 200;
const ADMIN_PORT: u16 = 300;
const ENGINE_PORT: u16 = 1000;

/// Model that every engine serves.
pub const MODEL: &str = "assist-llm";

/// What a fleet is made of.
#[derive(Debug, Clone)]
pub struct Shape {
    pub daemons: u16,
    /// Regions over which the daemons are spread, with two zones each.
    pub regions: u16,
    /// Engines of the first region, all in one process.
    pub engines: u16,
    /// Settings of the engines, as `NAME=VALUE`.
    pub engine_settings: Vec<String>,
    /// Engines listed in a region without daemons; they don't exist.
    pub far_engines: usize,
    pub organisations: usize,
    /// Whether the fleet is told to be a first start; else its voters read each
    /// other's records until the window has passed.
    pub vouched: bool,
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            daemons: 2,
            regions: 1,
            engines: 4,
            engine_settings: Vec::new(),
            far_engines: 0,
            organisations: 10,
            vouched: true,
        }
    }
}

#[derive(Debug)]
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Ending a process that has ended already fails, and that is fine.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    shape: Shape,
    folder: PathBuf,
    processes: Vec<Process>,
    daemons: Vec<u32>,
    first_start_unix_ms: u64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        // What is left behind is a few files in the temporary folder.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts everything and waits until each daemon serves.
    pub async fn start(plan: &Plan, shape: Shape) -> Result<Self, Failure> {
        let folder = std::env::temp_dir().join(format!("capacity-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            plan: plan.clone(),
            shape,
            folder,
            processes: Vec::new(),
            daemons: Vec::new(),
            first_start_unix_ms: 0,
        };
        fleet.start_standins()?;
        for index in 0..fleet.shape.daemons {
            fleet.start_daemon(index)?;
        }
        fleet.wait_until_serving().await?;
        if fleet.shape.vouched {
            fleet.vouch().await?;
        }
        Ok(fleet)
    }

    /// Tells that no key was sent before a time that is yet to come, so that
    /// every daemon took its voters before it by more than the clock margin.
    async fn vouch(&mut self) -> Result<(), Failure> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
        self.first_start_unix_ms = u64::try_from((now + VOUCH_AFTER).as_millis())?;
        let configuration = self.configuration(self.shape.organisations, 0);
        self.publish("configuration", &configuration).await
    }

    fn start_standins(&mut self) -> Result<(), Failure> {
        let configuration = self.folder.join("configuration.json");
        let instances = self.folder.join("instances.json");
        fs::write(
            &configuration,
            self.configuration(self.shape.organisations, 0).to_string(),
        )?;
        fs::write(&instances, self.instances(0).to_string())?;
        let settings = [
            format!("configuration=@{}", configuration.display()),
            format!("instances=@{}", instances.display()),
        ];
        self.start_standin("platform", 0, 1, &settings)?;
        self.start_standin("service", SERVICE_PORT, 1, &["delay_ms=1".to_owned()])?;
        let engines = self.shape.engines;
        let mut settings = vec![format!("model={MODEL}")];
        settings.extend(self.shape.engine_settings.iter().cloned());
        self.start_standin("engine", ENGINE_PORT, engines, &settings)
    }

    fn start_standin(
        &mut self,
        kind: &str,
        port: u16,
        count: u16,
        settings: &[String],
    ) -> Result<(), Failure> {
        let mut command = Command::new(self.plan.binaries.join("mangofront"));
        command.args(["standin", kind, "--address", &self.address(port)]);
        command.args(["--count", &count.to_string()]);
        for setting in settings {
            command.args(["--set", setting]);
        }
        self.start_process(kind, command).map(|_pid| ())
    }

    fn start_daemon(&mut self, index: u16) -> Result<(), Failure> {
        let settings = json!({
            "instance": format!("entry-{index:03}"),
            "region": self.region(index),
            "availability_zone": self.zone(index),
            "caller_address": self.address(CALLER_PORT + index),
            "peer_address": self.address(PEER_PORT + index),
            "admin_address": self.address(ADMIN_PORT + index),
            "platform_address": self.address(0),
            "logs": {"level": "warn"}
        });
        let path = self.folder.join(format!("entry-{index}.json"));
        fs::write(&path, settings.to_string())?;
        let mut command = Command::new(self.plan.binaries.join("mangofrontd"));
        command.arg("--settings").arg(path);
        let pid = self.start_process("daemon", command)?;
        self.daemons.push(pid);
        Ok(())
    }

    fn start_process(&mut self, name: &str, mut command: Command) -> Result<u32, Failure> {
        let log = self
            .folder
            .join(format!("{name}-{}.log", self.processes.len()));
        command.stdout(Stdio::null()).stderr(File::create(log)?);
        let child = command.spawn()?;
        let pid = child.id();
        self.processes.push(Process(child));
        Ok(pid)
    }

    async fn wait_until_serving(&self) -> Result<(), Failure> {
        let started = Instant::now();
        for index in 0..self.daemon_count() {
            let caller = self.caller(index)?;
            while !caller.is_ready().await {
                if started.elapsed() > READY_LIMIT {
                    return Err(format!("daemon {index} does not serve").into());
                }
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    fn address(&self, port: u16) -> String {
        format!("127.0.0.1:{}", self.plan.port + port)
    }

    fn region(&self, index: u16) -> String {
        format!("region-{}", index % self.shape.regions)
    }

    fn zone(&self, index: u16) -> String {
        format!("zone-{}", index % (2 * self.shape.regions))
    }

    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Process of a daemon.
    pub fn pid(&self, daemon: usize) -> u32 {
        self.daemons[daemon]
    }

    /// Caller of a daemon.
    pub fn caller(&self, daemon: usize) -> Result<Caller, Failure> {
        Caller::new(self.address(CALLER_PORT + u16::try_from(daemon)?))
    }

    /// Operator of a daemon.
    pub fn operator(&self, daemon: usize) -> Result<Caller, Failure> {
        Caller::new(self.address(ADMIN_PORT + u16::try_from(daemon)?))
    }

    /// Publishes a value of the platform.
    pub async fn publish(&self, kind: &str, value: &Value) -> Result<(), Failure> {
        let platform = Caller::new(self.address(0))?;
        platform
            .put(&format!("/control/{kind}"), value.to_string())
            .await
    }

    /// Configuration with that many organisations; `change` makes it differ.
    pub fn configuration(&self, organisations: usize, change: u64) -> Value {
        let organisations: serde_json::Map<String, Value> = (0..organisations)
            .map(|number| {
                let name = format!("organisation-{number:05}");
                (name, json!({"default_class": "diagnosis"}))
            })
            .collect();
        json!({
            "classes": {
                "diagnosis": {
                    "time_to_first_token_ms": 60_000,
                    "allowed_delay_ms": 600_000 + change
                }
            },
            "organisations": organisations,
            "models": {MODEL: {}},
            "services": {
                "fleet-ops": {"non_repeatable": [{"method": "POST", "path_prefix": "/orders"}]}
            },
            "idempotency": {
                "window_ms": 900_000,
                "first_start_unix_ms": self.first_start_unix_ms
            }
        })
    }

    /// Instance list; `change` makes it differ.
    pub fn instances(&self, change: u64) -> Value {
        let daemons = (0..self.shape.daemons).map(|index| {
            let role = json!({
                "kind": "entry",
                "peer_address": self.address(PEER_PORT + index),
                "caller_address": self.address(CALLER_PORT + index)
            });
            let name = format!("entry-{index:03}");
            instance(&name, &self.region(index), &self.zone(index), &role)
        });
        let engines = (0..self.shape.engines).map(|index| {
            let zone = format!("zone-{}", index % 2 * self.shape.regions);
            let role = engine(&self.address(ENGINE_PORT + index));
            instance(&format!("engine-{index:05}"), "region-0", &zone, &role)
        });
        let far = (0..self.shape.far_engines).map(|index| {
            let role = engine("127.0.0.1:9");
            let name = format!("engine-{:05}", index as u64 + 10_000 + change);
            instance(&name, "region-far", "zone-far", &role)
        });
        let role = json!({
            "kind": "service",
            "address": self.address(SERVICE_PORT),
            "service": "fleet-ops"
        });
        let service = instance("service-0", "region-0", "zone-0", &role);
        let all = daemons.chain(engines).chain(far).chain([service]);
        json!({"instances": all.collect::<Vec<_>>()})
    }
}

fn engine(address: &str) -> Value {
    json!({"kind": "engine", "address": address, "model": MODEL})
}

fn instance(name: &str, region: &str, zone: &str, role: &Value) -> Value {
    json!({
        "instance": name,
        "region": region,
        "availability_zone": zone,
        "state": "live",
        "role": role
    })
}
