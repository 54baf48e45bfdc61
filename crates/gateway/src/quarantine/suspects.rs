//! What of a request may be at fault for a crash.

use mangofront_quarantine::{OrganisationKey, ServiceKey, Suspect};
use xxhash_rust::xxh3::xxh3_64;

use crate::dialect::PromptPartId;
use crate::fingerprint::Fingerprint;

/// A request and the parts of its prompt, as suspects.
#[derive(Debug, Clone)]
pub(crate) struct Suspects {
    pub(crate) organisation: OrganisationKey,
    /// The request, then the parts.
    all: Vec<Suspect>,
}

impl Suspects {
    pub(crate) fn new(
        fingerprint: Fingerprint,
        service: &str,
        organisation: Option<&str>,
        prompt_parts: &[PromptPartId],
    ) -> Self {
        let request = Suspect::Request(fingerprint.as_number());
        let parts = prompt_parts.iter().map(|part| Self::part(service, *part));
        Self {
            organisation: organisation.map_or(0, short_hash),
            all: std::iter::once(request).chain(parts).collect(),
        }
    }

    /// A part of the prompts of a service.
    pub(crate) fn part(service: &str, part: PromptPartId) -> Suspect {
        Suspect::PromptPart {
            service: short_hash(service),
            part,
        }
    }

    /// The request and the parts of its prompt.
    pub(crate) fn all(&self) -> &[Suspect] {
        &self.all
    }

    /// The request alone.
    pub(crate) fn request(&self) -> &[Suspect] {
        &self.all[..1]
    }

    /// The parts of the prompt.
    pub(crate) fn parts(&self) -> &[Suspect] {
        &self.all[1..]
    }
}

/// Short hash of the name of a service or organisation.
pub(super) fn short_hash(name: &str) -> ServiceKey {
    // The lower half of the hash.
    xxh3_64(name.as_bytes()) as u32
}
