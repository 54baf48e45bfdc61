//! Types for exchanging the two published values: kinds, versions and raw text.

use std::fmt;

use bytes::Bytes;
use mangofront_settings::ids::{InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// Digest of a value: equal for equal JSON values, independent of whitespace and key order.
pub type Digest = u64;

/// Kind of a published value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The operators' configuration.
    Configuration,
    /// The platform's list of instances.
    Instances,
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Configuration => "configuration",
            Self::Instances => "instances",
        })
    }
}

/// Revision of a value and digest of its content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Revision that the platform assigned.
    pub revision: Revision,
    /// Digest of the value.
    pub digest: Digest,
}

/// Versions in force in one process; small enough for every gossip message.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// Version of the configuration, if one was accepted.
    pub configuration: Option<Version>,
    /// Version of the instance list, if one was accepted.
    pub instances: Option<Version>,
}

impl Summary {
    /// Version of the value of `kind`.
    #[must_use]
    pub fn version(&self, kind: Kind) -> Option<Version> {
        match kind {
            Kind::Configuration => self.configuration,
            Kind::Instances => self.instances,
        }
    }
}

/// Value that this process should fetch from a peer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// Kind of the value.
    pub kind: Kind,
    /// Revision that the peer has.
    pub revision: Revision,
}

/// A value as it is sent between daemons.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// Kind of the value.
    pub kind: Kind,
    /// Its revision.
    pub revision: Revision,
    /// The value's JSON text, as the platform served it.
    pub body: Bytes,
}

/// Source of a value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The platform's service.
    Service,
    /// Another daemon.
    Peer(InstanceId),
}

impl fmt::Display for Source {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Service => f.write_str("the service"),
            Self::Peer(instance) => write!(f, "peer {instance}"),
        }
    }
}
