//! The text that an emulated engine answers with.
//!
//! A token depends on the prompt's digest and its offset alone. A load tool or
//! a test can thus check that each token belongs to its own prompt, and an
//! answer continued by another engine is the same text.

use xxhash_rust::xxh3::xxh3_64;

/// One answer in this many ends before its limit, as real ones do.
const STOPPING_SHARE: u64 = 8;

/// Text of the token at `offset` of the answer to the prompt with `digest`.
#[must_use]
pub fn token_text(digest: u64, offset: u32) -> String {
    let mut key = [0; 12];
    key[..8].copy_from_slice(&digest.to_le_bytes());
    key[8..].copy_from_slice(&offset.to_le_bytes());
    format!(" {:08x}", xxh3_64(&key) >> 32)
}

/// Length of the answer to the prompt with `digest`, in tokens.
///
/// Most answers reach `max_tokens`; one in eight stops after three quarters.
/// At least 1 unless `max_tokens` is 0.
#[must_use]
pub fn length_tokens(digest: u64, max_tokens: u32) -> u32 {
    if !digest.is_multiple_of(STOPPING_SHARE) {
        return max_tokens;
    }
    let shorter = max_tokens - max_tokens / 4;
    shorter.max(max_tokens.min(1))
}

/// Reason that the last frame of an answer gives: `"length"` or `"stop"`.
#[must_use]
pub fn finish_reason(digest: u64, max_tokens: u32) -> &'static str {
    if length_tokens(digest, max_tokens) < max_tokens {
        "stop"
    } else {
        "length"
    }
}

/// Whole text of the answer to the prompt with `digest`.
#[must_use]
pub fn text(digest: u64, max_tokens: u32) -> String {
    (0..length_tokens(digest, max_tokens))
        .map(|offset| token_text(digest, offset))
        .collect()
}
