//! Settings of a daemon that serves published routes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::choice::ChoiceOptions;
use crate::ids::{AvailabilityZone, Region};

/// Settings of a daemon that serves published routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Address on which the load balancer checks whether this daemon is ready.
    pub ready_address: SocketAddr,
    /// Address for datagrams and, by TCP, proxied attempts between daemons; all use the same
    /// port.
    pub news_address: SocketAddr,
    /// Addresses of daemons that are asked for the other members; some may be out of
    /// date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Maximum time for which a revoked key may still be accepted, in
    /// milliseconds.
    #[serde(default = "default_key_lease_ms")]
    pub key_lease_ms: u64,
    /// Time within which a change of the configuration has to take effect, in
    /// milliseconds.
    #[serde(default = "default_change_bound_ms")]
    pub configuration_bound_ms: u64,
    /// Time after which an upstream that announced its shutdown gets no new work, in
    /// milliseconds.
    #[serde(default = "default_change_bound_ms")]
    pub leaving_bound_ms: u64,
    /// Retries at another upstream allowed per request of a service, over all daemons.
    #[serde(default = "default_second_send_ratio")]
    pub second_send_ratio: f64,
    /// Retries of a service allowed in addition, over all daemons.
    #[serde(default = "default_second_send_slack_requests")]
    pub second_send_slack_requests: f64,
    /// Length of the window in which retries are counted, in seconds.
    #[serde(default = "default_second_send_window_s")]
    pub second_send_window_s: f64,
    /// Time after which engines give up on a stalled helper, in milliseconds.
    #[serde(default = "default_engine_stall_ms")]
    pub engine_stall_ms: f64,
    /// Time between the request to stop and the kill of the process, in seconds.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: f64,
    /// Number of other daemons from which on load updates are relayed by a few daemons
    /// of each availability zone.
    #[serde(default = "default_relay_from_daemons")]
    pub relay_from_daemons: u32,
    /// Maximum number of attempts of other daemons, which have no path to an upstream, that
    /// are forwarded at once.
    #[serde(default = "default_proxied_limit_requests")]
    pub proxied_limit_requests: u32,
    /// Memory for the bodies of these attempts together, in bytes.
    #[serde(default = "default_proxied_bodies_limit_bytes")]
    pub proxied_bodies_limit_bytes: u64,
    /// Processor time that this daemon may use, in cores; the daemons with the most in
    /// each availability zone relay load updates.
    #[serde(default = "default_processor_cores")]
    pub processor_cores: f64,
    /// Region of each availability zone, for routes and organisations that may run in some
    /// regions only; a zone that is not listed is in none of those.
    #[serde(default)]
    pub zone_regions: HashMap<AvailabilityZone, Region>,
    /// Cost parameters for the choice among engines.
    #[serde(default)]
    pub choice: ChoiceOptions,
}

/// Minimum bound on a change: daemons need this time to query each other and the
/// platform.
pub const MIN_CHANGE_BOUND: Duration = Duration::from_millis(1_500);

const fn default_key_lease_ms() -> u64 {
    5_000
}

const fn default_change_bound_ms() -> u64 {
    2_000
}

const fn default_second_send_ratio() -> f64 {
    0.2
}

const fn default_second_send_slack_requests() -> f64 {
    100.0
}

const fn default_second_send_window_s() -> f64 {
    10.0
}

const fn default_engine_stall_ms() -> f64 {
    1_500.0
}

/// Direct load updates of all requests cost each of about eighty daemons 0.019 cores.
const fn default_relay_from_daemons() -> u32 {
    100
}

const fn default_proxied_limit_requests() -> u32 {
    256
}

const fn default_proxied_bodies_limit_bytes() -> u64 {
    64 * 1024 * 1024
}

const fn default_processor_cores() -> f64 {
    1.0
}

const fn default_stop_grace_s() -> f64 {
    8.0
}

impl GatewaySettings {
    /// Maximum time for which a revoked key may still be accepted.
    #[must_use]
    pub fn key_lease(&self) -> Duration {
        Duration::from_millis(self.key_lease_ms)
    }

    /// Time within which any published change has to take effect.
    #[must_use]
    pub fn change_bound(&self) -> Duration {
        Duration::from_millis(self.configuration_bound_ms.min(self.leaving_bound_ms))
    }

    /// Processor time that this daemon may use, in percent of one core.
    #[must_use]
    pub fn processor_percent(&self) -> u32 {
        (self.processor_cores * 100.0) as u32
    }

    /// Length of the window in which retries are counted.
    #[must_use]
    pub fn second_send_window(&self) -> Duration {
        seconds(self.second_send_window_s)
    }

    /// Time after which engines give up on a stalled helper.
    #[must_use]
    pub fn engine_stall(&self) -> Duration {
        seconds(self.engine_stall_ms / 1_000.0)
    }

    /// Time between the request to stop and the kill of the process.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        seconds(self.stop_grace_s)
    }
}

/// Converts to a duration; the schema limits `value_s` to what a duration can hold.
fn seconds(value_s: f64) -> Duration {
    Duration::try_from_secs_f64(value_s).unwrap_or_default()
}
