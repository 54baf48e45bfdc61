//! What may be at fault for a crash.

use serde::{Deserialize, Serialize};

/// Identifies a request across all retries of its caller.
///
/// Wide enough that nobody can construct another request with the same fingerprint.
pub type RequestFingerprint = u128;

/// Identifies a part of a prompt that several requests may share, as callers name it.
pub type PromptPartId = u128;

/// Hash that identifies a service.
pub type ServiceKey = u32;

/// Hash that identifies an organisation.
pub type OrganisationKey = u32;

/// Hash that identifies an incarnation of an upstream.
pub type IncarnationKey = u64;

/// Something that may crash the upstreams that run it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Suspect {
    /// A request, whenever its caller sends it.
    Request(RequestFingerprint),
    /// All prompts of a service that have a part in common.
    PromptPart {
        /// The service: a part that crashes the engines of one may do no harm to others.
        service: ServiceKey,
        /// The part.
        part: PromptPartId,
    },
}

impl Suspect {
    /// Whether this is a part of prompts.
    #[must_use]
    pub fn is_prompt_part(&self) -> bool {
        matches!(self, Self::PromptPart { .. })
    }
}
