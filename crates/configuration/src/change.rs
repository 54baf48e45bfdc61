//! Types that report to the rest of the process: changes, refusals, outcomes.

use std::fmt;

use mangofront_settings::ids::Revision;
use serde::Serialize;
use thiserror::Error;

use crate::document::{Digest, Kind, Source};

/// A change to be recorded in the audit trail.
///
/// Reported once per episode, not once per call: a service that serves the same stale
/// or invalid value for an hour causes one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum PlatformChange {
    /// A value came into force.
    Accepted {
        /// Kind of the value.
        kind: Kind,
        /// Its revision.
        revision: Revision,
        /// Its digest.
        digest: Digest,
        /// Source of the value.
        source: Source,
    },
    /// A value was refused as a whole; the value in force stays.
    Refused {
        /// Kind of the value.
        kind: Kind,
        /// Its revision.
        revision: Revision,
        /// Source of the value.
        source: Source,
        /// Reason for the refusal.
        reason: Refusal,
    },
    /// A peer has another value under the revision that is in force here.
    Diverged {
        /// Kind of the value.
        kind: Kind,
        /// The revision that both have.
        revision: Revision,
        /// Digest in force here.
        #[serde(rename = "held")]
        local_digest: Digest,
        /// Digest in force at the peer.
        #[serde(rename = "met")]
        peer_digest: Digest,
    },
    /// The service no longer answers.
    ServiceLost {
        /// The last failure, with the call and the service's address.
        error: String,
    },
    /// The service answers again after it was lost.
    ServiceBack,
}

/// Why a value was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum Refusal {
    /// Its revision is lower than the one in force.
    #[error("lower than the accepted revision {floor}")]
    Lower {
        /// Revision in force.
        floor: Revision,
    },
    /// Its revision is in force with another value.
    #[error("another value than the one accepted under this revision")]
    OtherDigest {
        /// Digest in force.
        held: Digest,
        /// Digest of the refused value.
        offered: Digest,
    },
    /// It failed its checks.
    #[error("invalid: {reason}")]
    Invalid {
        /// Description of the fault.
        reason: String,
    },
    /// It is longer than a value may be.
    #[error("longer than {limit_bytes} bytes")]
    TooLarge {
        /// Maximum length of a value, in bytes.
        limit_bytes: usize,
    },
}

/// Outcome of offering a value.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It came into force.
    Accepted,
    /// It was already in force.
    AlreadyHeld,
    /// A newer value is already in force; this is not a fault of the source.
    Outdated,
    /// It was refused; the value in force stays.
    Refused(Refusal),
}

impl fmt::Display for PlatformChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted {
                kind,
                revision,
                source,
                ..
            } => write!(f, "accepted {kind} {revision} from {source}"),
            Self::Refused {
                kind,
                revision,
                source,
                reason,
            } => write!(f, "refused {kind} {revision} from {source}: {reason}"),
            Self::Diverged {
                kind,
                revision,
                local_digest,
                peer_digest,
            } => write!(
                f,
                "a peer has another {kind} {revision}: {peer_digest:016x}, here {local_digest:016x}"
            ),
            Self::ServiceLost { error } => write!(f, "service lost: {error}"),
            Self::ServiceBack => f.write_str("service answers again"),
        }
    }
}
