//! What one daemon used over a while.

use std::fs;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::Failure;
use crate::fleet::Fleet;

/// Use of a daemon, the mean of all daemons of a fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Use {
    /// Processor time, in milliseconds for each second: ten are 1% of a core.
    pub cpu_ms_per_s: f64,
    /// Resident memory at the end, in megabytes.
    pub resident_mb: f64,
    /// Gossip sent and received, in bytes a second.
    pub gossip_bytes_per_s: f64,
    /// Calls between daemons sent and received, in bytes a second.
    pub calls_bytes_per_s: f64,
    /// Short calls to engines, both directions, in bytes a second.
    pub engines_bytes_per_s: f64,
    /// Short calls to engines, a second.
    pub engine_calls_per_s: f64,
    /// Calls to the platform, a minute.
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
/// The counters are read outside of the window in which processor time is
/// counted, since the daemon spends some on the answer.
pub async fn measure(fleet: &Fleet, window: Duration) -> Result<Use, Failure> {
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
    let mut total = Use::default();
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

impl Use {
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

async fn counters(fleet: &Fleet, daemon: usize) -> Result<Counters, Failure> {
    let status = fleet.operator(daemon)?.get_json("/status").await?;
    let both = |part: &Value| number(&part["bytes_sent"]) + number(&part["bytes_received"]);
    let platform = &status["platform"];
    Ok(Counters {
        gossip_bytes: both(&status["peers"]["gossip"]),
        calls_bytes: both(&status["peers"]["calls"]),
        engines_bytes: both(&status["engine_calls"]),
        engine_calls: number(&status["engine_calls"]["messages"]),
        platform_calls: number(&platform["reads"]) + number(&platform["watches"]),
    })
}

fn number(value: &Value) -> f64 {
    value.as_f64().unwrap_or_default()
}

fn cpu_of_all(fleet: &Fleet) -> Result<Vec<Duration>, Failure> {
    (0..fleet.daemon_count())
        .map(|daemon| cpu(fleet.pid(daemon)))
        .collect()
}

/// Processor time of all threads of a process.
///
/// `schedstat` counts nanoseconds, where `stat` counts ticks of 10 ms.
pub fn cpu(pid: u32) -> Result<Duration, Failure> {
    let mut spent = Duration::ZERO;
    for task in fs::read_dir(format!("/proc/{pid}/task"))? {
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else {
            // The thread ended in between.
            continue;
        };
        let nanoseconds = text.split_whitespace().next().unwrap_or_default();
        spent += Duration::from_nanos(nanoseconds.parse()?);
    }
    Ok(spent)
}

/// Resident memory of a process, in megabytes.
pub fn resident_mb(pid: u32) -> Result<f64, Failure> {
    let status = fs::read_to_string(format!("/proc/{pid}/status"))?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    let kib: f64 = kib.ok_or("no VmRSS")?.parse()?;
    Ok(kib * 1024.0 / 1e6)
}

/// The machine's load average, as the kernel tells it.
pub fn load_average() -> Result<String, Failure> {
    let text = fs::read_to_string("/proc/loadavg")?;
    Ok(text.trim().to_owned())
}
