//! Names of processes and claims.

use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// One life of one daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// Machine it runs on.
    pub instance: InstanceId,
    /// Number of its life; a later life on the same machine has a higher one.
    pub incarnation: Incarnation,
}

/// One attempt of one process to become the only runner of a key.
///
/// Never used twice: a retry of the same call takes the next counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Process that claims.
    pub process: Process,
    /// Number within that process.
    pub counter: u64,
}
