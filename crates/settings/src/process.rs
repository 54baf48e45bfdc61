//! Settings of one daemon process.
//!
//! The settings file is a process's only source of its own addresses and
//! availability zone. The file is JSONC. Each section is a struct of its own, whose
//! `Default` applies to a missing section or key; `docs/settings.md` lists every
//! field with unit and default.

mod builder;
mod changes;
mod choice;
mod fields;
mod gateway;
mod read;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use crate::check::SettingsError;
pub use builder::DaemonSettingsBuilder;
pub use changes::{FieldPath, changed_fields};
pub use choice::ChoiceOptions;
pub use gateway::{GatewaySettings, MIN_CHANGE_BOUND};
pub use read::{check_daemon_settings, read_daemon_settings};

use crate::ids::{AvailabilityZone, InstanceId, Region};

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the instance, as in the platform's list.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: Region,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Address on which callers are served.
    pub caller_address: SocketAddr,
    /// Address for connections between daemons.
    pub peer_address: SocketAddr,
    /// Address of the operators' interface.
    pub admin_address: SocketAddr,
    /// Address of the platform's service.
    pub platform_address: SocketAddr,
    /// Limits on callers and upstreams.
    #[serde(default)]
    pub limits: Limits,
    /// Level and format of the log.
    #[serde(default)]
    pub logs: LogSettings,
    /// Connections between daemons.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Capacity of the audit trail, in entries.
    #[serde(default = "default_audit_capacity_entries")]
    pub audit_capacity_entries: u32,
    /// Maximum duration of a graceful shutdown, in milliseconds; if unset, the
    /// longest time limit of any class.
    #[serde(default)]
    pub stop_limit_ms: Option<u64>,
    /// Whether a violated invariant ends the process; for tests.
    #[serde(default)]
    pub fatal_invariants: bool,
    /// Settings for serving published routes; if unset, the daemon serves its own
    /// interface instead.
    #[serde(default)]
    pub gateway: Option<GatewaySettings>,
}

const fn default_audit_capacity_entries() -> u32 {
    4096
}

/// Limits on callers and upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Maximum size of a request's headers, in bytes.
    pub header_limit_bytes: u32,
    /// Maximum size of a request's body, in bytes.
    pub body_limit_bytes: u32,
    /// Maximum number of requests in progress.
    pub in_progress_limit_requests: u32,
    /// Memory that the process may use, in megabytes; if unset, what the machine has or the
    /// control group allows, up to a gigabyte.
    pub memory_limit_mb: Option<u64>,
    /// Memory for all bodies together, in bytes; if unset, a fifth of what the process may use.
    pub bodies_limit_bytes: Option<u64>,
    /// Time within which a request's headers have to arrive, in milliseconds; a
    /// connection that has been idle for this time is closed.
    pub header_timeout_ms: u64,
    /// Time within which a request's body has to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// Number of frames of one answer that are buffered for a slow caller.
    pub stream_buffer_frames: u32,
    /// Time after which a stream fails if its caller accepts no frame and its
    /// connection no byte, in milliseconds.
    pub stream_stall_timeout_ms: u64,
    /// Time within which a connection to an upstream has to be established, in
    /// milliseconds.
    pub connect_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_limit_bytes: 64 * 1024,
            body_limit_bytes: 16 * 1024 * 1024,
            in_progress_limit_requests: 1024,
            memory_limit_mb: None,
            bodies_limit_bytes: None,
            header_timeout_ms: 10_000,
            body_timeout_ms: 60_000,
            stream_buffer_frames: 256,
            stream_stall_timeout_ms: 30_000,
            connect_timeout_ms: 1_000,
        }
    }
}

impl Limits {
    /// Time within which a request's headers have to arrive.
    #[must_use]
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Time within which a request's body has to arrive.
    #[must_use]
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }

    /// Time after which a stream fails if its caller accepts no frame.
    #[must_use]
    pub fn stream_stall_timeout(&self) -> Duration {
        Duration::from_millis(self.stream_stall_timeout_ms)
    }

    /// Time within which a connection to an upstream has to be established.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }
}

/// Level and format of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is logged.
    pub level: LogLevel,
    /// Format of a line.
    pub format: LogFormat,
}

/// Severity of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need an operator's attention.
    Error,
    /// Faults from which the process recovers by itself.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Individual decisions.
    Debug,
    /// Individual messages.
    Trace,
}

/// Format of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Human-readable text, on standard error.
    #[default]
    Human,
    /// One JSON object per line, on standard output.
    Json,
}

/// Connections between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Time without a heartbeat after which a member is suspected to have failed, in
    /// milliseconds.
    pub suspect_after_ms: u64,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            heartbeat_ms: 1_000,
            suspect_after_ms: 4_000,
        }
    }
}

impl PeerSettings {
    /// Time between two heartbeats.
    #[must_use]
    pub fn heartbeat(&self) -> Duration {
        Duration::from_millis(self.heartbeat_ms)
    }

    /// Time without a heartbeat after which a member is suspected to have failed.
    #[must_use]
    pub fn suspect_after(&self) -> Duration {
        Duration::from_millis(self.suspect_after_ms)
    }
}
