//! The configuration that operators publish.
//!
//! Operators steer by classes and their targets. There is no field for a
//! weight, an instance or an address, and an unknown field is refused, so that
//! nobody can steer by them.

mod check;
mod fields;

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

pub use check::{check_published, check_published_named, check_published_one_line};

use crate::ids::{ClassName, ModelName, OrganisationId, ServiceName};

/// One published configuration.
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
    /// Rules for orders that may not repeat.
    #[serde(default)]
    pub idempotency: Idempotency,
}

/// Targets of one class of work.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Class {
    /// Time within which an answer should start, in milliseconds.
    pub time_to_first_token_ms: u64,
    /// Time by which an answer may end later than that, in milliseconds.
    pub allowed_delay_ms: u64,
}

impl Class {
    /// Time within which an answer should start.
    #[must_use]
    pub fn time_to_first_token(&self) -> Duration {
        Duration::from_millis(self.time_to_first_token_ms)
    }

    /// Time within which a request finishes or fails: target and allowed delay.
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
    /// Class of requests that name none.
    #[serde(default)]
    pub default_class: Option<ClassName>,
}

/// One model and the ways of its engines.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Whether its engines refuse orders with an old fencing token.
    #[serde(default)]
    pub fencing: Fencing,
    /// Version that its engines should serve.
    #[serde(default)]
    pub version: Option<String>,
    /// Adapters that its engines should have loaded.
    #[serde(default)]
    pub adapters: Vec<String>,
}

/// What an engine does with the fencing token of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fencing {
    /// Refuses an older token than it has seen.
    Checked,
    /// Takes any order.
    #[default]
    Ignored,
}

/// One service.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Calls that may not be repeated; each needs an idempotency key.
    #[serde(default)]
    pub non_repeatable: Vec<CallPattern>,
}

/// Which calls of a service a rule is about.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CallPattern {
    /// HTTP method, in capitals.
    pub method: String,
    /// Start of the path below the service.
    pub path_prefix: String,
}

/// Rules for orders that may not repeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Idempotency {
    /// Time for which a caller may retry a key, in milliseconds.
    #[serde(default = "default_window_ms")]
    pub window_ms: u64,
    /// Wall-clock time in Unix milliseconds for which an operator vouches that
    /// no key in use was sent before it; 0 when nobody does. Processes that
    /// started earlier than that need no records of others.
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
    /// Time for which a caller may retry a key.
    #[must_use]
    pub fn window(&self) -> Duration {
        Duration::from_millis(self.window_ms)
    }
}
