//! What came of an offered value, and how such outcomes are counted.

use crate::change::{OfferOutcome, PlatformChange, Refusal};
use crate::document::Version;
use crate::options::VALUE_LIMIT_BYTES;

/// What came of an offer.
#[derive(Debug)]
pub(crate) struct Verdict {
    pub(crate) outcome: OfferOutcome,
    /// What the audit trail should be told, if it was not told before.
    pub(crate) change: Option<PlatformChange>,
}

impl Verdict {
    /// An outcome that changes nothing.
    pub(crate) fn unchanged(outcome: OfferOutcome) -> Self {
        Self {
            outcome,
            change: None,
        }
    }
}

/// Offers by what became of them.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    pub(crate) from_peers: u64,
    pub(crate) refused: u64,
    pub(crate) stale: u64,
}

/// Refusal of another value under the revision that is held.
pub(crate) fn other_digest(met: Version, held: Version) -> Refusal {
    Refusal::OtherDigest {
        held: held.digest,
        offered: met.digest,
    }
}

pub(crate) fn too_large() -> Refusal {
    Refusal::TooLarge {
        limit_bytes: VALUE_LIMIT_BYTES,
    }
}
