//! What the rest of the process is told of: changes, refusals, outcomes.

use std::fmt;

use mangofront_settings::ids::Revision;
use serde::Serialize;
use thiserror::Error;

use crate::document::{Digest, Kind, Source};

/// A change worth an entry of the audit trail.
///
/// Told once an episode, not once a poll: a service that serves the same stale
/// or invalid value for an hour makes one change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "change", rename_all = "snake_case")]
pub enum PlatformChange {
    /// A value came into force.
    Accepted {
        /// Which value.
        kind: Kind,
        /// Its revision.
        revision: Revision,
        /// Its digest.
        digest: Digest,
        /// Where it came from.
        source: Source,
    },
    /// A value was refused whole; what was in force stays.
    Refused {
        /// Which value.
        kind: Kind,
        /// Its revision.
        revision: Revision,
        /// Where it came from.
        source: Source,
        /// Why.
        reason: Refusal,
    },
    /// A peer has another value under the revision in force here.
    Diverged {
        /// Which value.
        kind: Kind,
        /// The revision that both have.
        revision: Revision,
        /// Digest in force here.
        held: Digest,
        /// Digest in force at the peer.
        met: Digest,
    },
    /// The service no longer answers.
    ServiceLost {
        /// The last failure, with its step and peer.
        error: String,
    },
    /// The service answers again.
    ServiceBack,
}

/// Why a value was refused.
#[derive(Debug, Clone, PartialEq, Eq, Error, Serialize)]
#[serde(tag = "refusal", rename_all = "snake_case")]
pub enum Refusal {
    /// Older than what was accepted already.
    #[error("lower than the accepted revision {floor}")]
    Lower {
        /// Revision in force.
        floor: Revision,
    },
    /// Another value under the revision in force.
    #[error("another value than the one accepted under this revision")]
    OtherDigest {
        /// Digest in force.
        held: Digest,
        /// Digest of the refused value.
        offered: Digest,
    },
    /// Failed its checks.
    #[error("invalid: {reason}")]
    Invalid {
        /// What is wrong with it.
        reason: String,
    },
    /// Longer than a value may be.
    #[error("longer than {limit_bytes} bytes")]
    TooLarge {
        /// Largest length of a value, in bytes.
        limit_bytes: usize,
    },
}

/// What became of a value that was offered.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OfferOutcome {
    /// It is in force now.
    Accepted,
    /// It was in force already.
    AlreadyHeld,
    /// It was overtaken on its way; no fault.
    Outdated,
    /// It was refused; what was in force stays.
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
                held,
                met,
            } => write!(
                f,
                "a peer has another {kind} {revision}: {met:016x}, here {held:016x}"
            ),
            Self::ServiceLost { error } => write!(f, "service lost: {error}"),
            Self::ServiceBack => f.write_str("service answers again"),
        }
    }
}
