//! Settings of one daemon process.
//!
//! A process learns its own addresses and availability zone here and nowhere
//! else. The file is JSONC. Sections are separate structs whose `Default` is
//! what a missing section or key means; `docs/settings.md` lists every field
//! with unit and default.

mod builder;
mod choice;
mod fields;
mod gateway;
mod read;

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use crate::check::SettingsError;
pub use builder::DaemonSettingsBuilder;
pub use choice::ChoiceOptions;
pub use gateway::{GatewaySettings, MIN_CHANGE_BOUND};
pub use read::{check_daemon_settings, read_daemon_settings};

use crate::ids::{AvailabilityZone, InstanceId, Region};

/// Settings of one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DaemonSettings {
    /// Name of the instance, as the platform's list gives it.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: Region,
    /// Availability zone of the instance.
    pub availability_zone: AvailabilityZone,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for links between daemons.
    pub peer_address: SocketAddr,
    /// Address for operators.
    pub admin_address: SocketAddr,
    /// Address of the platform's service.
    pub platform_address: SocketAddr,
    /// Limits towards callers and upstreams.
    #[serde(default)]
    pub limits: Limits,
    /// Form of the log.
    #[serde(default)]
    pub logs: LogSettings,
    /// Links between daemons.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Entries that the audit trail holds.
    #[serde(default = "default_audit_capacity_entries")]
    pub audit_capacity_entries: u32,
    /// Longest graceful shutdown, in milliseconds; unset means the longest time
    /// limit of a class.
    #[serde(default)]
    pub stop_limit_ms: Option<u64>,
    /// Whether a broken invariant ends the process; for tests.
    #[serde(default)]
    pub fatal_invariants: bool,
    /// Serving of published routes in place of the own interface; unset means
    /// the own interface.
    #[serde(default)]
    pub gateway: Option<GatewaySettings>,
}

const fn default_audit_capacity_entries() -> u32 {
    4096
}

/// Limits towards callers and upstreams.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Largest head of a request, in bytes.
    pub header_limit_bytes: u32,
    /// Largest body of a request, in bytes.
    pub body_limit_bytes: u32,
    /// Most requests in progress at once.
    pub in_progress_limit_requests: u32,
    /// Memory for the bodies of all requests in progress, in bytes.
    pub bodies_limit_bytes: u64,
    /// Longest time for a request's head to arrive, in milliseconds; a
    /// connection that is idle for so long is closed.
    pub header_timeout_ms: u64,
    /// Longest time for a request's body to arrive, in milliseconds.
    pub body_timeout_ms: u64,
    /// Frames of one answer held for a slow reader.
    pub stream_buffer_frames: u32,
    /// Longest time that a reader may take no frame, and its connection no
    /// byte, in milliseconds.
    pub stream_stall_timeout_ms: u64,
    /// Longest time for a connection to an upstream, in milliseconds.
    pub connect_timeout_ms: u64,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_limit_bytes: 64 * 1024,
            body_limit_bytes: 16 * 1024 * 1024,
            in_progress_limit_requests: 1024,
            bodies_limit_bytes: 256 * 1024 * 1024,
            header_timeout_ms: 10_000,
            body_timeout_ms: 60_000,
            stream_buffer_frames: 256,
            stream_stall_timeout_ms: 30_000,
            connect_timeout_ms: 1_000,
        }
    }
}

impl Limits {
    /// Longest time for a request's head to arrive.
    #[must_use]
    pub fn header_timeout(&self) -> Duration {
        Duration::from_millis(self.header_timeout_ms)
    }

    /// Longest time for a request's body to arrive.
    #[must_use]
    pub fn body_timeout(&self) -> Duration {
        Duration::from_millis(self.body_timeout_ms)
    }

    /// Longest time that a reader may take no frame.
    #[must_use]
    pub fn stream_stall_timeout(&self) -> Duration {
        Duration::from_millis(self.stream_stall_timeout_ms)
    }

    /// Longest time for a connection to an upstream.
    #[must_use]
    pub fn connect_timeout(&self) -> Duration {
        Duration::from_millis(self.connect_timeout_ms)
    }
}

/// Form of the log.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// Least severe level that is written.
    pub level: LogLevel,
    /// Layout of a line.
    pub format: LogFormat,
}

/// Level of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogLevel {
    /// Faults that need a person.
    Error,
    /// Faults that the process works around.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Single decisions.
    Debug,
    /// Single messages.
    Trace,
}

/// Layout of a log line.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// Text for a person, on standard error.
    #[default]
    Human,
    /// One JSON object a line, on standard output.
    Json,
}

/// Links between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Time between two heartbeats, in milliseconds.
    pub heartbeat_ms: u64,
    /// Silence after which a member is suspected, in milliseconds.
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

    /// Silence after which a member is suspected.
    #[must_use]
    pub fn suspect_after(&self) -> Duration {
        Duration::from_millis(self.suspect_after_ms)
    }
}
