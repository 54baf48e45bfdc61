//! Identifiers of processes and claims.

use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};

/// One incarnation of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Process {
    /// Instance that it runs on.
    pub instance: InstanceId,
    /// Number of the incarnation; it increases with each start on the instance.
    pub incarnation: Incarnation,
}

/// One attempt of a process to get the exclusive right to run a key.
///
/// Never reused: a retry of the same call takes the next counter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ClaimId {
    /// Process that made the claim.
    pub process: Process,
    /// Number within that process.
    pub counter: u64,
}
