//! Prompt texts, copied from one shared random text.
//!
//! A prompt of a million tokens takes four megabytes. All prompts are slices of
//! one pool of random text, so building one costs only a copy into the body.

use std::time::SystemTime;

use bytes::Bytes;
use mangofront_prompt::BYTES_PER_TOKEN;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::scenario::Endpoint;
use crate::schedule::ModelWork;

/// Length of the text pool, in bytes; a power of two above the longest prompt.
const POOL_BYTES: usize = 8 * 1024 * 1024;

/// Seed of the text pool; constant, so that every run and process has the same text.
const POOL_SEED: u64 = 0x6d61_6e67_6f66_726f;

/// Maximum length of a word in the pool, in bytes.
const MAX_WORD_BYTES: usize = 9;

/// Capacity reserved in a body for everything but the prompt text, in bytes.
const BODY_OVERHEAD_BYTES: usize = 256;

/// Number mixed into the seed of every text.
///
/// Engines cache the prefixes of earlier prompts. With a salt of its own, a run
/// sends texts that no engine has cached, while the seed alone determines its
/// schedule.
pub type TextSalt = u64;

/// Returns a salt that no earlier run had: the wall clock in microseconds.
#[must_use]
pub fn fresh_salt() -> TextSalt {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 gives every run the same salt, which the report shows.
    now.map_or(0, |now| u64::try_from(now.as_micros()).unwrap_or(u64::MAX))
}

/// Pool of random lower-case words, without characters that JSON escapes.
#[derive(Debug)]
pub struct TextPool {
    text: String,
    salt: TextSalt,
}

impl TextPool {
    /// Generates the pool, which takes some milliseconds.
    #[must_use]
    pub fn new(salt: TextSalt) -> Self {
        let mut rng = StdRng::seed_from_u64(POOL_SEED);
        let mut text = String::with_capacity(POOL_BYTES);
        let mut word_letters_left = 0;
        while text.len() < POOL_BYTES {
            // Each random number gives eight letters: one number per letter
            // would make the start of the tool ten times slower.
            for byte in rng.random::<u64>().to_le_bytes() {
                if word_letters_left == 0 {
                    word_letters_left = 1 + usize::from(byte) % MAX_WORD_BYTES;
                    text.push(' ');
                } else {
                    word_letters_left -= 1;
                    text.push(char::from(b'a' + byte % 26));
                }
            }
        }
        text.truncate(POOL_BYTES);
        Self { text, salt }
    }

    pub(crate) const fn salt(&self) -> TextSalt {
        self.salt
    }

    /// Appends the first `length_bytes` of the text for `seed`.
    fn push_text(&self, body: &mut String, seed: u64, length_bytes: usize) {
        let seed = seed ^ self.salt;
        let prefix = format!("{seed:016x} ");
        let prefix_bytes = prefix.len().min(length_bytes);
        body.push_str(&prefix[..prefix_bytes]);
        let mut remaining_bytes = length_bytes - prefix_bytes;
        // Multiplicative hash: distinct seeds get scattered start offsets.
        let mut start = (seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % POOL_BYTES;
        while remaining_bytes > 0 {
            let copied = remaining_bytes.min(POOL_BYTES - start);
            body.push_str(&self.text[start..start + copied]);
            remaining_bytes -= copied;
            start = 0;
        }
    }

    /// Builds the body of the request for `work`; `seed` selects the text that follows
    /// the shared prefix.
    #[must_use]
    pub fn body(&self, work: &ModelWork, seed: u64) -> Bytes {
        let length_bytes = work.length_tokens as usize * BYTES_PER_TOKEN;
        let shared_bytes = work.history.map_or(0, |history| {
            history.length_tokens as usize * BYTES_PER_TOKEN
        });
        let own_bytes = length_bytes - shared_bytes.min(length_bytes);
        let mut body = String::with_capacity(length_bytes + BODY_OVERHEAD_BYTES);
        body.push_str(&format!(
            r#"{{"model":{},"stream":{},"max_tokens":{},"#,
            Value::from(work.model.as_str()),
            work.stream,
            work.max_tokens
        ));
        match work.endpoint {
            Endpoint::Completions => {
                body.push_str(r#""prompt":""#);
                self.push_shared(&mut body, work);
                self.push_text(&mut body, seed, own_bytes);
                body.push_str(r#""}"#);
            }
            Endpoint::ChatCompletions => {
                body.push_str(r#""messages":["#);
                if work.history.is_some() {
                    body.push_str(r#"{"role":"system","content":""#);
                    self.push_shared(&mut body, work);
                    body.push_str(r#""},"#);
                }
                body.push_str(r#"{"role":"user","content":""#);
                self.push_text(&mut body, seed, own_bytes);
                body.push_str(r#""}]}"#);
            }
        }
        Bytes::from(body)
    }

    fn push_shared(&self, body: &mut String, work: &ModelWork) {
        if let Some(history) = work.history {
            let length_bytes = history.length_tokens as usize * BYTES_PER_TOKEN;
            self.push_text(body, history.seed, length_bytes);
        }
    }
}
