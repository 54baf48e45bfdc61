//! Which tellings have been heard.

use std::collections::HashMap;

use crate::batch::{IncarnationId, Sequence};

/// The latest telling of each daemon.
///
/// One that comes after a later one is dropped: what it says may be outdated, an end
/// overtaken by its beginning. What is lost by that, as by any lost datagram, is put
/// right by the teller's next list of all that it does.
#[derive(Debug, Default)]
pub struct LatestSequences(HashMap<IncarnationId, Sequence>);

impl LatestSequences {
    /// Notes a telling; whether it is later than all before it.
    pub fn advance(&mut self, life: IncarnationId, sequence: Sequence) -> bool {
        let latest = self.0.entry(life).or_default();
        let is_new = sequence > *latest;
        *latest = sequence.max(*latest);
        is_new
    }

    /// Forgets a life that has ended.
    pub fn forget(&mut self, life: IncarnationId) {
        self.0.remove(&life);
    }
}
