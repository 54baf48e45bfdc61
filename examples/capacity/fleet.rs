//! A fleet of processes on loopback, which are killed when it is dropped.

use std::fs::{self, File};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::{Value, json};

use crate::client::HttpClient;
use crate::{BoxError, RunOptions};

/// Limit on the time for a fleet to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay of the declared first start. It exceeds the clock margin of orders, which is 2 s.
const FIRST_START_DELAY: Duration = Duration::from_millis(2100);

/// Offsets of the ports of each kind of process from the fleet's first port.
const SERVICE_PORT: u16 = 50;
const CALLER_PORT: u16 = 100;
const PEER_PORT: u16 = 200;
const ADMIN_PORT: u16 = 300;
const ENGINE_PORT: u16 = 1000;

/// Model that every engine serves.
pub const MODEL: &str = "assist-llm";

/// Composition of a fleet.
#[derive(Debug, Clone)]
pub struct FleetSpec {
    pub daemons: u16,
    /// Regions over which the daemons are spread, with two zones each.
    pub regions: u16,
    /// Engines of the first region, all in one process.
    pub engines: u16,
    /// Settings of the engines, as `NAME=VALUE`.
    pub engine_settings: Vec<String>,
    /// Number of engines that are listed in a region without daemons. No process runs for them.
    pub remote_engines: usize,
    pub organisations: usize,
    /// Whether the configuration declares the fleet's first start. Without it, voters read each
    /// other's records until the idempotency window has passed.
    pub first_start_declared: bool,
}

impl Default for FleetSpec {
    fn default() -> Self {
        Self {
            daemons: 2,
            regions: 1,
            engines: 4,
            engine_settings: Vec::new(),
            remote_engines: 0,
            organisations: 10,
            first_start_declared: true,
        }
    }
}

#[derive(Debug)]
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Both calls fail if the process has already exited.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[derive(Debug)]
pub struct Fleet {
    options: RunOptions,
    spec: FleetSpec,
    folder: PathBuf,
    processes: Vec<Process>,
    daemons: Vec<u32>,
    first_start_unix_ms: u64,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.processes.clear();
        // A failure only leaves a few files in the temporary directory.
        let _ = fs::remove_dir_all(&self.folder);
    }
}

impl Fleet {
    /// Starts everything and waits until each daemon serves.
    pub async fn start(options: &RunOptions, spec: FleetSpec) -> Result<Self, BoxError> {
        let folder = std::env::temp_dir().join(format!("capacity-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let mut fleet = Self {
            options: options.clone(),
            spec,
            folder,
            processes: Vec::new(),
            daemons: Vec::new(),
            first_start_unix_ms: 0,
        };
        fleet.start_standins()?;
        for index in 0..fleet.spec.daemons {
            fleet.start_daemon(index)?;
        }
        fleet.wait_until_serving().await?;
        if fleet.spec.first_start_declared {
            fleet.declare_first_start().await?;
        }
        Ok(fleet)
    }

    /// Declares that no idempotency key was sent before a moment in the near future, so that
    /// every daemon has adopted its voters more than the clock margin before that moment.
    async fn declare_first_start(&mut self) -> Result<(), BoxError> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH)?;
        self.first_start_unix_ms = u64::try_from((now + FIRST_START_DELAY).as_millis())?;
        let configuration = self.configuration(self.spec.organisations, 0);
        self.publish("configuration", &configuration).await
    }

    fn start_standins(&mut self) -> Result<(), BoxError> {
        let configuration = self.folder.join("configuration.json");
        let instances = self.folder.join("instances.json");
        fs::write(
            &configuration,
            self.configuration(self.spec.organisations, 0).to_string(),
        )?;
        fs::write(&instances, self.instances(0).to_string())?;
        let settings = [
            format!("configuration=@{}", configuration.display()),
            format!("instances=@{}", instances.display()),
        ];
        self.start_standin("platform", 0, 1, &settings)?;
        self.start_standin("service", SERVICE_PORT, 1, &["delay_ms=1".to_owned()])?;
        let engines = self.spec.engines;
        let mut settings = vec![format!("model={MODEL}")];
        settings.extend(self.spec.engine_settings.iter().cloned());
        self.start_standin("engine", ENGINE_PORT, engines, &settings)
    }

    fn start_standin(
        &mut self,
        kind: &str,
        port: u16,
        count: u16,
        settings: &[String],
    ) -> Result<(), BoxError> {
        let mut command = Command::new(self.options.binaries.join("mangofront"));
        command.args(["standin", kind, "--address", &self.address(port)]);
        command.args(["--count", &count.to_string()]);
        for setting in settings {
            command.args(["--set", setting]);
        }
        self.start_process(kind, command).map(|_pid| ())
    }

    fn start_daemon(&mut self, index: u16) -> Result<(), BoxError> {
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
        let mut command = Command::new(self.options.binaries.join("mangofrontd"));
        command.arg("--settings").arg(path);
        let pid = self.start_process("daemon", command)?;
        self.daemons.push(pid);
        Ok(())
    }

    fn start_process(&mut self, name: &str, mut command: Command) -> Result<u32, BoxError> {
        let log = self
            .folder
            .join(format!("{name}-{}.log", self.processes.len()));
        command.stdout(Stdio::null()).stderr(File::create(log)?);
        let child = command.spawn()?;
        let pid = child.id();
        self.processes.push(Process(child));
        Ok(pid)
    }

    async fn wait_until_serving(&self) -> Result<(), BoxError> {
        let started = Instant::now();
        for index in 0..self.daemon_count() {
            let caller = self.caller_client(index)?;
            while !caller.is_ready().await {
                if started.elapsed() > READY_TIMEOUT {
                    return Err(format!("daemon {index} did not become ready in time").into());
                }
                compio::time::sleep(Duration::from_millis(20)).await;
            }
        }
        Ok(())
    }

    fn address(&self, port: u16) -> String {
        format!("127.0.0.1:{}", self.options.port + port)
    }

    fn region(&self, index: u16) -> String {
        format!("region-{}", index % self.spec.regions)
    }

    fn zone(&self, index: u16) -> String {
        format!("zone-{}", index % (2 * self.spec.regions))
    }

    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    /// Process ID of a daemon.
    pub fn pid(&self, daemon: usize) -> u32 {
        self.daemons[daemon]
    }

    /// Client for the caller address of a daemon.
    pub fn caller_client(&self, daemon: usize) -> Result<HttpClient, BoxError> {
        HttpClient::new(self.address(CALLER_PORT + u16::try_from(daemon)?))
    }

    /// Client for the admin address of a daemon.
    pub fn admin_client(&self, daemon: usize) -> Result<HttpClient, BoxError> {
        HttpClient::new(self.address(ADMIN_PORT + u16::try_from(daemon)?))
    }

    /// Publishes a value, of kind `configuration` or `instances`, on the platform.
    pub async fn publish(&self, kind: &str, value: &Value) -> Result<(), BoxError> {
        let platform = HttpClient::new(self.address(0))?;
        platform
            .put(&format!("/control/{kind}"), value.to_string())
            .await
    }

    /// Configuration with `organisations` organisations; a different `change` gives a different
    /// value.
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

    /// Instance list; a different `change` gives a different value if there are remote engines.
    pub fn instances(&self, change: u64) -> Value {
        let daemons = (0..self.spec.daemons).map(|index| {
            let role = json!({
                "kind": "entry",
                "peer_address": self.address(PEER_PORT + index),
                "caller_address": self.address(CALLER_PORT + index)
            });
            let name = format!("entry-{index:03}");
            instance(&name, &self.region(index), &self.zone(index), &role)
        });
        let engines = (0..self.spec.engines).map(|index| {
            let zone = format!("zone-{}", index % 2 * self.spec.regions);
            let role = engine_role(&self.address(ENGINE_PORT + index));
            instance(&format!("engine-{index:05}"), "region-0", &zone, &role)
        });
        let remote = (0..self.spec.remote_engines).map(|index| {
            let role = engine_role("127.0.0.1:9");
            let name = format!("engine-{:05}", index as u64 + 10_000 + change);
            instance(&name, "region-far", "zone-far", &role)
        });
        let role = json!({
            "kind": "service",
            "address": self.address(SERVICE_PORT),
            "service": "fleet-ops"
        });
        let service = instance("service-0", "region-0", "zone-0", &role);
        let all = daemons.chain(engines).chain(remote).chain([service]);
        json!({"instances": all.collect::<Vec<_>>()})
    }
}

fn engine_role(address: &str) -> Value {
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
