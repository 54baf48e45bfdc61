//! Typed values in force.

use std::time::Instant;

use mangofront_settings::ids::Revision;
use mangofront_settings::instances::InstanceList;
use mangofront_settings::published::Configuration;

use crate::document::{Digest, Version};

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedConfiguration {
    /// Its revision.
    pub revision: Revision,
    /// Digest of its value.
    pub digest: Digest,
    /// Configuration that the operators published.
    pub configuration: Configuration,
}

/// The instance list in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedInstances {
    /// Its revision.
    pub revision: Revision,
    /// Digest of its value.
    pub digest: Digest,
    /// Instances that the platform lists; may lag behind the actual ones.
    pub list: InstanceList,
    /// When this process accepted it.
    pub received_at: Instant,
}

impl AcceptedConfiguration {
    pub(crate) fn new(version: Version, configuration: Configuration) -> Self {
        Self {
            revision: version.revision,
            digest: version.digest,
            configuration,
        }
    }
}

impl AcceptedInstances {
    pub(crate) fn new(version: Version, list: InstanceList) -> Self {
        Self {
            revision: version.revision,
            digest: version.digest,
            list,
            received_at: Instant::now(),
        }
    }
}
