//! Settings of a daemon that serves published routes.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::choice::ChoiceOptions;

/// Serving of published routes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Address at which the balancer asks whether this daemon is ready.
    pub ready_address: SocketAddr,
    /// Address for datagrams between daemons; all use the same port.
    pub news_address: SocketAddr,
    /// Addresses of daemons that may know the others; they may be out of date.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Longest time for which a key that was taken back may be served, in
    /// milliseconds.
    #[serde(default = "default_key_lease_ms")]
    pub key_lease_ms: u64,
    /// Time within which a change of the configuration has to be in force, in
    /// milliseconds.
    #[serde(default = "default_change_bound_ms")]
    pub configuration_bound_ms: u64,
    /// Time after which an upstream that leaves gets no new work, in milliseconds.
    #[serde(default = "default_change_bound_ms")]
    pub leaving_bound_ms: u64,
    /// Second sends for each request of a service, of all daemons together.
    #[serde(default = "default_second_send_ratio")]
    pub second_send_ratio: f64,
    /// Second sends of a service on top, of all daemons together.
    #[serde(default = "default_second_send_slack_requests")]
    pub second_send_slack_requests: f64,
    /// Span in which second sends are counted, in seconds.
    #[serde(default = "default_second_send_window_s")]
    pub second_send_window_s: f64,
    /// Time after which engines give up on one that helps them, in milliseconds.
    #[serde(default = "default_engine_stall_ms")]
    pub engine_stall_ms: f64,
    /// Time between the request to stop and the process being killed, in seconds.
    #[serde(default = "default_stop_grace_s")]
    pub stop_grace_s: f64,
    /// Other daemons from which on a few of each availability zone relay the news of
    /// all.
    #[serde(default = "default_relay_from_daemons")]
    pub relay_from_daemons: u32,
    /// Processor time that this daemon may use, in cores; the daemons of a zone that
    /// have most relay news.
    #[serde(default = "default_processor_cores")]
    pub processor_cores: f64,
    /// Weights of the choice among engines.
    #[serde(default)]
    pub choice: ChoiceOptions,
}

/// Shortest bound on a change within which daemons can ask each other and the platform.
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

/// With some eighty daemons, news of all requests took 0.019 cores of each.
const fn default_relay_from_daemons() -> u32 {
    100
}

const fn default_processor_cores() -> f64 {
    1.0
}

const fn default_stop_grace_s() -> f64 {
    8.0
}

impl GatewaySettings {
    /// Longest time for which a key that was taken back may be served.
    #[must_use]
    pub fn key_lease(&self) -> Duration {
        Duration::from_millis(self.key_lease_ms)
    }

    /// Time within which any change of what is published has to be acted on.
    #[must_use]
    pub fn change_bound(&self) -> Duration {
        Duration::from_millis(self.configuration_bound_ms.min(self.leaving_bound_ms))
    }

    /// Processor time that this daemon may use, in percent of a core.
    #[must_use]
    pub fn processor_percent(&self) -> u32 {
        (self.processor_cores * 100.0) as u32
    }

    /// Span in which second sends are counted.
    #[must_use]
    pub fn second_send_window(&self) -> Duration {
        seconds(self.second_send_window_s)
    }

    /// Time after which engines give up on one that helps them.
    #[must_use]
    pub fn engine_stall(&self) -> Duration {
        seconds(self.engine_stall_ms / 1_000.0)
    }

    /// Time between the request to stop and the process being killed.
    #[must_use]
    pub fn stop_grace(&self) -> Duration {
        seconds(self.stop_grace_s)
    }
}

/// The shape check keeps these within a range that a duration holds.
fn seconds(value_s: f64) -> Duration {
    Duration::try_from_secs_f64(value_s).unwrap_or_default()
}
