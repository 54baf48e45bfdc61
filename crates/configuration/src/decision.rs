//! Result of offering a value, and counters of such results.

use crate::change::{OfferOutcome, PlatformChange, Refusal};
use crate::document::Version;
use crate::options::VALUE_LIMIT_BYTES;

/// Result of an offer.
#[derive(Debug)]
pub(crate) struct Decision {
    pub(crate) outcome: OfferOutcome,
    /// Change to report, unless it was reported before.
    pub(crate) change: Option<PlatformChange>,
}

impl Decision {
    /// An outcome without a change to report.
    pub(crate) fn unchanged(outcome: OfferOutcome) -> Self {
        Self {
            outcome,
            change: None,
        }
    }
}

/// Number of offers by outcome.
#[derive(Debug, Default)]
pub(crate) struct OfferCounters {
    pub(crate) from_peers: u64,
    pub(crate) refused: u64,
    pub(crate) stale: u64,
}

/// Refusal of another value under the revision in force.
pub(crate) fn other_digest(offered_version: Version, current: Version) -> Refusal {
    Refusal::OtherDigest {
        held: current.digest,
        offered: offered_version.digest,
    }
}

pub(crate) fn too_large() -> Refusal {
    Refusal::TooLarge {
        limit_bytes: VALUE_LIMIT_BYTES,
    }
}
