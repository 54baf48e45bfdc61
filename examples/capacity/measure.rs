//! Measures the resource use of daemons.

use std::fs;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::BoxError;
use crate::fleet::Fleet;

/// Resource use of one daemon, as the mean over all daemons of a fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Processor time, in milliseconds a second; 10 ms/s are 1% of a core.
    pub cpu_ms_per_s: f64,
    /// Resident memory at the end of the measurement, in megabytes.
    pub resident_mb: f64,
    /// Gossip sent and received, in bytes a second.
    pub gossip_bytes_per_s: f64,
    /// Calls between daemons sent and received, in bytes a second.
    pub calls_bytes_per_s: f64,
    /// Short calls to engines, sent and received, in bytes a second.
    pub engines_bytes_per_s: f64,
    /// Number of short calls to engines a second.
    pub engine_calls_per_s: f64,
    /// Number of calls to the platform a minute.
    pub platform_calls_per_min: f64,
}

/// Counters of one daemon at one moment.
#[derive(Debug, Clone, Copy, Default)]
struct Counters {
    gossip_bytes: f64,
    calls_bytes: f64,
    engines_bytes: f64,
    engine_calls: f64,
    platform_calls: f64,
}

/// Measures all daemons of `fleet` over `window`.
///
/// The counters are read outside of the window in which processor time is measured, since
/// answering the status requests costs the daemon processor time.
pub async fn measure(fleet: &Fleet, window: Duration) -> Result<Usage, BoxError> {
    let mut before = Vec::new();
    for daemon in 0..fleet.daemon_count() {
        before.push((counters(fleet, daemon).await?, Instant::now()));
    }
    let cpu = cpu_of_all(fleet)?;
    let started = Instant::now();
    compio::time::sleep(window).await;
    let elapsed_s = started.elapsed().as_secs_f64();
    let spent: Vec<Duration> = cpu_of_all(fleet)?
        .iter()
        .zip(&cpu)
        .map(|(after, before)| after.saturating_sub(*before))
        .collect();
    let mut total = Usage::default();
    for (daemon, (before, since)) in before.iter().enumerate() {
        let after = counters(fleet, daemon).await?;
        let passed_s = since.elapsed().as_secs_f64();
        let rate = |after: f64, before: f64| (after - before) / passed_s;
        total.cpu_ms_per_s += spent[daemon].as_secs_f64() * 1000.0 / elapsed_s;
        total.resident_mb += resident_mb(fleet.pid(daemon))?;
        total.gossip_bytes_per_s += rate(after.gossip_bytes, before.gossip_bytes);
        total.calls_bytes_per_s += rate(after.calls_bytes, before.calls_bytes);
        total.engines_bytes_per_s += rate(after.engines_bytes, before.engines_bytes);
        total.engine_calls_per_s += rate(after.engine_calls, before.engine_calls);
        total.platform_calls_per_min += rate(after.platform_calls, before.platform_calls) * 60.0;
    }
    Ok(total.divided_by(fleet.daemon_count() as f64))
}

impl Usage {
    fn divided_by(self, daemons: f64) -> Self {
        Self {
            cpu_ms_per_s: self.cpu_ms_per_s / daemons,
            resident_mb: self.resident_mb / daemons,
            gossip_bytes_per_s: self.gossip_bytes_per_s / daemons,
            calls_bytes_per_s: self.calls_bytes_per_s / daemons,
            engines_bytes_per_s: self.engines_bytes_per_s / daemons,
            engine_calls_per_s: self.engine_calls_per_s / daemons,
            platform_calls_per_min: self.platform_calls_per_min / daemons,
        }
    }
}

async fn counters(fleet: &Fleet, daemon: usize) -> Result<Counters, BoxError> {
    let status = fleet.admin_client(daemon)?.get_json("/status").await?;
    let total_bytes = |part: &Value| number(&part["bytes_sent"]) + number(&part["bytes_received"]);
    let platform = &status["platform"];
    Ok(Counters {
        gossip_bytes: total_bytes(&status["peers"]["gossip"]),
        calls_bytes: total_bytes(&status["peers"]["calls"]),
        engines_bytes: total_bytes(&status["engine_calls"]),
        engine_calls: number(&status["engine_calls"]["messages"]),
        platform_calls: number(&platform["reads"]) + number(&platform["watches"]),
    })
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}

fn cpu_of_all(fleet: &Fleet) -> Result<Vec<Duration>, BoxError> {
    (0..fleet.daemon_count())
        .map(|daemon| cpu(fleet.pid(daemon)))
        .collect()
}

/// Processor time of all threads of a process.
///
/// Reads `schedstat`, which counts nanoseconds; `stat` counts ticks of 10 ms.
pub fn cpu(pid: u32) -> Result<Duration, BoxError> {
    let mut spent = Duration::ZERO;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else {
            // The thread exited after the directory was listed.
            continue;
        };
        let nanoseconds = text.split_whitespace().next().unwrap_or_default();
        spent += Duration::from_nanos(nanoseconds.parse()?);
    }
    Ok(spent)
}

/// Resident memory of a process, in megabytes.
pub fn resident_mb(pid: u32) -> Result<f64, BoxError> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: f64 = kib
        .ok_or("/proc status of the process has no VmRSS")?
        .parse()?;
    Ok(kib * 1024.0 / 1e6)
}

/// The machine's load average, as the text of `/proc/loadavg`.
pub fn load_average() -> Result<String, BoxError> {
    let text = fs::read_to_string("/proc/loadavg")?;
    Ok(text.trim().to_owned())
}
