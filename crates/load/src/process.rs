//! Processor time and memory of another process, read from `/proc`.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Id of a process.
pub type Pid = u32;

/// Ticks of `/proc/{pid}/stat` in a second: fixed by Linux for programs.
const TICKS_PER_S: u64 = 100;

/// Index of the user time among the fields after the program's name.
const USER_TICKS_FIELD: usize = 11;

/// Usage of a process at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time since the process began.
    pub processor_time: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Greatest resident memory so far, in bytes.
    pub resident_peak_bytes: u64,
}

/// Usage of a process over a time.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Mean processor use, in cores.
    pub cpu_cores: f64,
    /// Resident memory at the end, in bytes.
    pub resident_bytes: u64,
    /// Greatest resident memory since the process began, in bytes.
    pub resident_peak_bytes: u64,
}

/// Process that could not be read.
#[derive(Debug, Error)]
pub enum UsageError {
    /// No such process, or not ours to read.
    #[error("process {pid}: {source}")]
    Unreadable {
        /// Id of the process.
        pid: Pid,
        /// Why it was not read.
        source: std::io::Error,
    },
    /// A field is missing.
    #[error("process {pid}: no {field} in /proc")]
    Missing {
        /// Id of the process.
        pid: Pid,
        /// Name of the field.
        field: &'static str,
    },
}

impl Usage {
    /// Usage of `pid` now.
    ///
    /// # Errors
    /// [`UsageError`] when the process is gone.
    pub fn read(pid: Pid) -> Result<Self, UsageError> {
        let stat = read(pid, "stat")?;
        let status = read(pid, "status")?;
        let ticks = processor_ticks(&stat).ok_or(UsageError::Missing {
            pid,
            field: "processor time",
        })?;
        let bytes = |field| status_bytes(&status, field).ok_or(UsageError::Missing { pid, field });
        Ok(Self {
            processor_time: Duration::from_millis(ticks * 1000 / TICKS_PER_S),
            resident_bytes: bytes("VmRSS:")?,
            resident_peak_bytes: bytes("VmHWM:")?,
        })
    }

    /// Usage from `earlier` to now, over `elapsed`.
    #[must_use]
    pub fn since(&self, earlier: &Self, elapsed: Duration) -> UsageReport {
        let used = self.processor_time.saturating_sub(earlier.processor_time);
        let cpu_cores = used.as_secs_f64() / elapsed.as_secs_f64().max(f64::MIN_POSITIVE);
        UsageReport {
            cpu_cores: (cpu_cores * 1000.0).round() / 1000.0,
            resident_bytes: self.resident_bytes,
            resident_peak_bytes: self.resident_peak_bytes,
        }
    }
}

fn read(pid: Pid, file: &str) -> Result<String, UsageError> {
    std::fs::read_to_string(format!("/proc/{pid}/{file}"))
        .map_err(|source| UsageError::Unreadable { pid, source })
}

fn processor_ticks(stat: &str) -> Option<u64> {
    // The name may hold spaces and brackets; the fields begin after the last.
    let (_, fields) = stat.rsplit_once(')')?;
    let mut fields = fields.split_ascii_whitespace().skip(USER_TICKS_FIELD);
    let user: u64 = fields.next()?.parse().ok()?;
    let system: u64 = fields.next()?.parse().ok()?;
    Some(user + system)
}

fn status_bytes(status: &str, field: &str) -> Option<u64> {
    let line = status.lines().find_map(|line| line.strip_prefix(field))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib * 1024)
}
