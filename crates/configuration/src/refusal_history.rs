//! History of refused values.

use std::collections::VecDeque;

use mangofront_settings::ids::Revision;

use crate::change::Refusal;
use crate::document::Digest;

/// Maximum number of remembered values; the oldest is dropped first.
const MAX_REMEMBERED: usize = 8;

/// The last refused values, so that none of them is fetched from a peer, checked or
/// reported twice.
#[derive(Debug, Default)]
pub(crate) struct RefusalHistory(VecDeque<Refused>);

/// A refused value; without a digest if it was not read completely.
#[derive(Debug)]
struct Refused {
    revision: Revision,
    digest: Option<Digest>,
    reason: Refusal,
}

impl RefusalHistory {
    pub(crate) fn remember(&mut self, revision: Revision, digest: Option<Digest>, reason: Refusal) {
        if self.0.len() == MAX_REMEMBERED {
            self.0.pop_front();
        }
        self.0.push_back(Refused {
            revision,
            digest,
            reason,
        });
    }

    /// Reason for which the value was refused, if it was.
    pub(crate) fn find(&self, revision: Revision, digest: Option<Digest>) -> Option<&Refusal> {
        let matches = |refused: &&Refused| refused.revision == revision && refused.digest == digest;
        self.0.iter().find(matches).map(|refused| &refused.reason)
    }

    pub(crate) fn contains(&self, revision: Revision, digest: Option<Digest>) -> bool {
        self.find(revision, digest).is_some()
    }
}
