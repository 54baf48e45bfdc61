//! Processor time and memory of another process, read from `/proc`.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use thiserror::Error;

/// Id of a process.
pub type Pid = u32;

/// Ticks per second in `/proc/{pid}/stat`; fixed by the Linux ABI.
const TICKS_PER_S: u64 = 100;

/// Index of the user time among the fields that follow the program's name in
/// `/proc/{pid}/stat`.
const USER_TICKS_FIELD: usize = 11;

/// Resource usage of a process at one point in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Processor time since the process started.
    pub processor_time: Duration,
    /// Resident memory, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory so far, in bytes.
    pub resident_peak_bytes: u64,
}

/// Resource usage of a process over an interval.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// Mean processor usage, in cores.
    pub cpu_cores: f64,
    /// Resident memory at the end, in bytes.
    pub resident_bytes: u64,
    /// Peak resident memory since the process started, in bytes.
    pub resident_peak_bytes: u64,
}

/// Failure to read the usage of a process.
#[derive(Debug, Error)]
pub enum UsageError {
    /// The process does not exist or permission is denied.
    #[error("process {pid}: {source}")]
    Unreadable {
        /// Id of the process.
        pid: Pid,
        /// Error of the read.
        source: std::io::Error,
    },
    /// A field of `/proc` is missing or malformed.
    #[error("process {pid}: no {field} in /proc")]
    Missing {
        /// Id of the process.
        pid: Pid,
        /// Name of the field.
        field: &'static str,
    },
}

impl Usage {
    /// Reads the current usage of `pid`.
    ///
    /// # Errors
    /// [`UsageError`] when the process does not exist or can't be read.
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

    /// Returns the usage between `earlier` and `self`, which are `elapsed` apart.
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
    // The program's name may contain spaces and parentheses; the fields start
    // after its last closing parenthesis.
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
