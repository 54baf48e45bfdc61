//! Memory of the values that were refused.

use std::collections::VecDeque;

use mangofront_settings::ids::Revision;

use crate::change::Refusal;
use crate::document::Digest;

/// Refused values that are remembered, the oldest forgotten first.
const LIMIT: usize = 8;

/// The last refused values, so that none is fetched from a peer, checked or
/// told of twice.
#[derive(Debug, Default)]
pub(crate) struct Refusals(VecDeque<Refused>);

/// A value that was refused; the digest of one not read whole is unknown.
#[derive(Debug)]
struct Refused {
    revision: Revision,
    digest: Option<Digest>,
    reason: Refusal,
}

impl Refusals {
    pub(crate) fn remember(&mut self, revision: Revision, digest: Option<Digest>, reason: Refusal) {
        if self.0.len() == LIMIT {
            self.0.pop_front();
        }
        self.0.push_back(Refused {
            revision,
            digest,
            reason,
        });
    }

    /// Why that value was refused, if it was.
    pub(crate) fn find(&self, revision: Revision, digest: Option<Digest>) -> Option<&Refusal> {
        let is_it = |refused: &&Refused| refused.revision == revision && refused.digest == digest;
        self.0.iter().find(is_it).map(|refused| &refused.reason)
    }

    pub(crate) fn contains(&self, revision: Revision, digest: Option<Digest>) -> bool {
        self.find(revision, digest).is_some()
    }
}
