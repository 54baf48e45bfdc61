//! Prompt texts, cut from one shared slab.
//!
//! A million tokens are four megabytes. All prompts are slices of one random
//! text, so making one costs a copy into the body and nothing else.

use std::time::SystemTime;

use bytes::Bytes;
use mangofront_prompt::BYTES_PER_TOKEN;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::Value;

use crate::scenario::Endpoint;
use crate::schedule::ModelWork;

/// Length of the slab, in bytes; a power of two above the longest prompt.
const SLAB_BYTES: usize = 8 * 1024 * 1024;

/// Seed of the slab: the same text in every run and process.
const SLAB_SEED: u64 = 0x6d61_6e67_6f66_726f;

/// Longest word of the slab, in bytes.
const WORD_BYTES: usize = 9;

/// Space in a body for all that is not text, in bytes.
const FRAME_BYTES: usize = 256;

/// Number mixed into every text's seed.
///
/// Engines keep the prefixes of earlier prompts. A salt of its own gives a run
/// texts that no engine has seen, while its schedule stays that of the seed.
pub type TextSalt = u64;

/// A salt that no earlier run had: the wall clock's microseconds.
#[must_use]
pub fn fresh_salt() -> TextSalt {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    // A clock before 1970 gives every run the same salt, which the report shows.
    now.map_or(0, |now| u64::try_from(now.as_micros()).unwrap_or(u64::MAX))
}

/// Random text of lower-case words, without anything that JSON escapes.
#[derive(Debug)]
pub struct Slab {
    text: String,
    salt: TextSalt,
}

impl Slab {
    /// Makes the slab, some milliseconds of work.
    #[must_use]
    pub fn new(salt: TextSalt) -> Self {
        let mut rng = StdRng::seed_from_u64(SLAB_SEED);
        let mut text = String::with_capacity(SLAB_BYTES);
        let mut left_of_word = 0;
        while text.len() < SLAB_BYTES {
            // Eight letters of each draw: a draw for each letter would make the
            // start of the tool ten times slower.
            for byte in rng.random::<u64>().to_le_bytes() {
                if left_of_word == 0 {
                    left_of_word = 1 + usize::from(byte) % WORD_BYTES;
                    text.push(' ');
                } else {
                    left_of_word -= 1;
                    text.push(char::from(b'a' + byte % 26));
                }
            }
        }
        text.truncate(SLAB_BYTES);
        Self { text, salt }
    }

    pub(crate) const fn salt(&self) -> TextSalt {
        self.salt
    }

    /// Appends `length_bytes` of the text that belongs to `seed`.
    fn push(&self, body: &mut String, seed: u64, length_bytes: usize) {
        let seed = seed ^ self.salt;
        let mark = format!("{seed:016x} ");
        let mark_bytes = mark.len().min(length_bytes);
        body.push_str(&mark[..mark_bytes]);
        let mut left = length_bytes - mark_bytes;
        // Odd multiplier: distinct seeds get scattered starts.
        let mut start = (seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32) as usize % SLAB_BYTES;
        while left > 0 {
            let taken = left.min(SLAB_BYTES - start);
            body.push_str(&self.text[start..start + taken]);
            left -= taken;
            start = 0;
        }
    }

    /// Body of the request for `work`; `seed` names the part that is its own.
    #[must_use]
    pub fn body(&self, work: &ModelWork, seed: u64) -> Bytes {
        let length_bytes = work.length_tokens as usize * BYTES_PER_TOKEN;
        let shared_bytes = work.history.map_or(0, |history| {
            history.length_tokens as usize * BYTES_PER_TOKEN
        });
        let own_bytes = length_bytes - shared_bytes.min(length_bytes);
        let mut body = String::with_capacity(length_bytes + FRAME_BYTES);
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
                self.push(&mut body, seed, own_bytes);
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
                self.push(&mut body, seed, own_bytes);
                body.push_str(r#""}]}"#);
            }
        }
        Bytes::from(body)
    }

    fn push_shared(&self, body: &mut String, work: &ModelWork) {
        if let Some(history) = work.history {
            let length_bytes = history.length_tokens as usize * BYTES_PER_TOKEN;
            self.push(body, history.seed, length_bytes);
        }
    }
}
