//! What the status page shows.

use serde::Serialize;

use crate::outcome::Decision;

/// Counts since the start of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize)]
pub struct Counters {
    /// Keys issued.
    pub minted: u64,
    /// Votes given.
    pub grants: u64,
    /// Claims answered without a vote.
    pub denials: u64,
    /// Orders run by this process.
    pub ran: u64,
    /// Orders answered from a record.
    pub replayed: u64,
    /// Orders answered *not run*.
    pub not_run: u64,
    /// Orders answered *outcome unknown*.
    pub unknown: u64,
    /// Orders refused for their own fault.
    pub refused: u64,
    /// Steps refused because they would have broken *at most once*.
    pub violations: u64,
}

/// State of one process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Status {
    /// Counts since the start.
    pub counters: Counters,
    /// Instances that vote, as this process knows.
    pub voters: Vec<String>,
    /// Revision of the list at which they were first seen.
    pub voters_revision: u64,
    /// Whether this process knows all that its vote needs.
    pub established: bool,
    /// Plain keys remembered.
    pub records: usize,
    /// Minted keys remembered.
    pub minted_records: usize,
    /// Former processes answered for.
    pub archives: usize,
    /// Bytes of answers kept.
    pub answers_bytes: usize,
    /// Claims that gather votes or run.
    pub open_claims: usize,
    /// Whether new work is refused.
    pub stopping: bool,
}

impl Counters {
    pub(crate) fn note(&mut self, decision: &Decision) {
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
