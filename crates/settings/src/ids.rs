//! Identifiers that several crates share.

/// Name of a machine, unique within the platform.
pub type InstanceId = String;

/// Name of an availability zone.
pub type AvailabilityZone = String;

/// Name of a region.
pub type Region = String;

/// Name of a customer.
pub type OrganisationId = String;

/// Name of a class of work.
pub type ClassName = String;

/// Name of a model.
pub type ModelName = String;

/// Name of a service.
pub type ServiceName = String;

/// Revision of a published value; increases with each change.
pub type Revision = u64;

/// Number of one run of a process, from start to exit; a later run on the same
/// instance has a higher number.
pub type Incarnation = u64;
