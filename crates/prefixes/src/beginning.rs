//! Beginnings of a prompt: its parts, hashed cumulatively.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Id of a part of a prompt, as its caller names it.
pub type PromptPartId = u128;

/// Hash of all parts up to the end of a beginning.
pub type BeginningHash = u64;

/// Maximum number of beginnings of one prompt that are recorded: the longest ones, which save most.
pub const MAX_BEGINNINGS: usize = 8;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptPart {
    /// Id, the same wherever the same text occurs.
    pub id: PromptPartId,
    /// Length.
    pub tokens: u64,
}

/// The beginning of a prompt up to the end of one of its parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Beginning {
    /// Hash of the parts in order, with their lengths.
    pub hash: BeginningHash,
    /// Length of all parts together.
    pub tokens: u64,
}

/// The longest beginnings of a prompt of a service, shortest first.
///
/// Only a common beginning counts: the same parts in another order have another hash.
#[must_use]
pub fn beginnings(service: &str, parts: &[PromptPart]) -> Vec<Beginning> {
    let mut hash = xxh3_64(service.as_bytes());
    let mut tokens = 0_u64;
    let mut all = Vec::with_capacity(parts.len());
    for part in parts {
        hash = xxh3_64_with_seed(&part.id.to_le_bytes(), hash);
        hash = xxh3_64_with_seed(&part.tokens.to_le_bytes(), hash);
        tokens = tokens.saturating_add(part.tokens);
        if part.tokens > 0 {
            all.push(Beginning { hash, tokens });
        }
    }
    all.split_off(all.len().saturating_sub(MAX_BEGINNINGS))
}
