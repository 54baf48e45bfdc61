//! The configuration that operators publish.
//!
//! Operators control the system through classes and their targets. There is no
//! field for a weight, an instance or an address, and unknown fields are rejected,
//! so that a configuration can't direct traffic to individual upstreams.

mod check;
mod fields;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use check::{check_published, check_published_named, check_published_one_line};

use crate::ids::{ClassName, ModelName, OrganisationId, ServiceName};

/// A published configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Configuration {
    /// Classes of work by name.
    pub classes: BTreeMap<ClassName, Class>,
    /// Organisations by name.
    pub organisations: BTreeMap<OrganisationId, Organisation>,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<ModelName, Model>,
    /// Services by name.
    #[serde(default)]
    pub services: BTreeMap<ServiceName, Service>,
    /// Handling of calls that must not be repeated.
    #[serde(default)]
    pub idempotency: Idempotency,
}

/// Latency targets of one class of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Target for the time to the first token of an answer, in milliseconds.
    pub time_to_first_token_ms: u64,
    /// Time after that target by which the request has to finish, in milliseconds.
    pub allowed_delay_ms: u64,
}

impl Class {
    /// Target for the time to the first token of an answer.
    #[must_use]
    pub fn time_to_first_token(&self) -> Duration {
        Duration::from_millis(self.time_to_first_token_ms)
    }

    /// Time within which a request finishes or fails: the sum of target and allowed
    /// delay.
    #[must_use]
    pub fn time_limit(&self) -> Duration {
        Duration::from_millis(
            self.time_to_first_token_ms
                .saturating_add(self.allowed_delay_ms),
        )
    }
}

/// One customer.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Class of requests that don't specify one.
    #[serde(default)]
    pub default_class: Option<ClassName>,
}

/// One model and the properties of its engines.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Whether its engines reject orders with an outdated fencing token.
    #[serde(default)]
    pub fencing: Fencing,
    /// Version that its engines are to serve.
    #[serde(default)]
    pub version: Option<String>,
    /// Adapters that its engines are to have loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// How an engine treats the fencing token of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Rejects a token older than the newest one it has received.
    Checked,
    /// Accepts orders with any token.
    #[default]
    Ignored,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that must not be repeated; each needs an idempotency key.
    #[serde(default)]
    pub non_repeatable: Vec<CallPattern>,
}

/// Pattern that matches calls of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method, in capitals.
    pub method: String,
    /// Prefix of the path, relative to the service.
    pub path_prefix: String,
}

/// Handling of calls that must not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Idempotency {
    /// Time for which a caller may retry with the same idempotency key, in
    /// milliseconds.
    #[serde(default = "default_window_ms")]
    pub window_ms: u64,
    /// Wall-clock time in Unix milliseconds before which, as an operator
    /// guarantees, no key still in use was sent; 0 if there is no guarantee.
    /// Processes that started earlier need no records from others.
    #[serde(default)]
    pub first_start_unix_ms: u64,
}

const fn default_window_ms() -> u64 {
    900_000
}

impl Default for Idempotency {
    fn default() -> Self {
        Self {
            window_ms: default_window_ms(),
            first_start_unix_ms: 0,
        }
    }
}

impl Idempotency {
    /// Time for which a caller may retry with the same idempotency key.
    #[must_use]
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }
}
