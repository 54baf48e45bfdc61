//! Counters and state shown on the status page.

use serde::Serialize;

use crate::outcome::Decision;

/// Counters since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counters {
    /// Keys issued.
    pub minted: u64,
    /// Claims granted.
    pub grants: u64,
    /// Claims answered without a grant.
    pub denials: u64,
    /// Orders run by this process.
    pub ran: u64,
    /// Orders answered from a record.
    pub replayed: u64,
    /// Orders answered *not run*.
    pub not_run: u64,
    /// Orders answered *outcome unknown*.
    pub unknown: u64,
    /// Orders refused because the call itself was invalid.
    pub refused: u64,
    /// Phase transitions that would have violated *at most once*.
    pub violations: u64,
}

/// State of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Counters since the start of the process.
    pub counters: Counters,
    /// Instances of the newest voter set that this process knows.
    pub voters: Vec<String>,
    /// Revision of the list at which this set was first seen.
    pub voters_revision: u64,
    /// Whether this process is established in the newest voter set.
    pub established: bool,
    /// Recorded plain keys.
    pub records: usize,
    /// Recorded minted keys of this process.
    pub minted_records: usize,
    /// Former processes whose archives are kept.
    pub archives: usize,
    /// Bytes of the kept answers.
    pub answers_bytes: usize,
    /// Claims of this process that have not ended.
    pub open_claims: usize,
    /// Whether the process is shutting down and refuses new orders.
    pub stopping: bool,
}

impl Counters {
    pub(crate) fn record(&mut self, decision: &Decision) {
        let count = match decision {
            Decision::Answer(_) => &mut self.ran,
            Decision::Replay { .. } => &mut self.replayed,
            Decision::NotRun { .. } => &mut self.not_run,
            Decision::Failed(_) => &mut self.refused,
            Decision::Unknown { .. } => &mut self.unknown,
        };
        *count += 1;
    }
}
