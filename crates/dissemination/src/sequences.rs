//! Detection of batches that are duplicates or arrive out of order.

use std::collections::HashMap;

use crate::batch::{IncarnationId, Sequence};

/// The latest sequence number received from each incarnation of a daemon.
///
/// A batch that arrives after a later one is dropped, as its updates may be outdated:
/// the start of a request would follow its end. What is lost by that, as by any lost
/// datagram, is restored by the next full list of unfinished requests of its origin.
#[derive(Debug, Default)]
pub struct LatestSequences(HashMap<IncarnationId, Sequence>);

impl LatestSequences {
    /// Records a batch; returns whether it is later than all before it.
    pub fn advance(&mut self, incarnation: IncarnationId, sequence: Sequence) -> bool {
        let latest = self.0.entry(incarnation).or_default();
        let is_new = sequence > *latest;
        *latest = sequence.max(*latest);
        is_new
    }

    /// Forgets an incarnation that has ended.
    pub fn forget(&mut self, incarnation: IncarnationId) {
        self.0.remove(&incarnation);
    }
}
