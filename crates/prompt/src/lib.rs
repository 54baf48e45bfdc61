//! Length and prefix blocks of a prompt.
//!
//! Parses an OpenAI-style request body as far as placement needs it: the model name, whether a
//! stream is requested, the limit of the answer, the prompt length in tokens and the chained hashes
//! of its prefix blocks. The body itself is never changed; it is forwarded byte for byte. `entry`
//! parses requests with this crate, `placement` compares the blocks with those that engines report,
//! and the emulated engine in `standin` reports the same blocks. Metrics and load reports group
//! prompt lengths by [`LengthBucket`].

mod length;

pub use length::LengthBucket;

use std::borrow::Cow;

use serde::Deserialize;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of text counted as one token.
///
/// The daemon runs no tokenizer: placement only needs a stable estimate, and four bytes per token
/// is the usual figure for English text.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens per prefix block.
pub const BLOCK_TOKENS: usize = 256;

/// Bytes per prefix block.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;

/// Answer limit of a request that sets none, in tokens.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// Hash of a prefix block and all blocks before it.
pub type BlockHash = u64;

/// Endpoint to which a body was sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/completions`: a `prompt` string.
    Completions,
    /// `/v1/chat/completions`: a list of `messages`.
    ChatCompletions,
}

/// The properties of a request that placement needs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Requested model.
    pub model: String,
    /// Whether the caller requests server-sent events.
    pub stream: bool,
    /// Maximum length of the answer, in tokens.
    pub max_tokens: u32,
    /// Estimated length, in tokens.
    pub length_tokens: u64,
    /// Chained hashes of the complete blocks, first block first.
    pub blocks: Vec<BlockHash>,
    /// Hash of the complete text.
    pub digest: u64,
}

/// Reason why a body was rejected.
#[derive(Debug, Error)]
pub enum PromptError {
    /// Not JSON, or not in the format of the endpoint.
    #[error("body is not a request: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A prompt without text.
    #[error("prompt is empty")]
    Empty,
    /// An answer limit of zero tokens.
    #[error("max_tokens must be at least 1")]
    NoTokens,
}

#[derive(Deserialize)]
struct Body<'a> {
    #[serde(borrow)]
    model: Cow<'a, str>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
    max_completion_tokens: Option<u32>,
    #[serde(borrow)]
    prompt: Option<Cow<'a, str>>,
    #[serde(borrow)]
    messages: Option<Vec<Message<'a>>>,
}

#[derive(Deserialize)]
struct Message<'a> {
    #[serde(borrow)]
    role: Cow<'a, str>,
    #[serde(borrow)]
    content: Cow<'a, str>,
}

/// Parses a request body sent to `endpoint`.
///
/// # Errors
/// [`PromptError`] if the body is not JSON in the format of the endpoint, has no text, or allows no
/// token in the answer.
pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Prompt, PromptError> {
    let body: Body<'_> = serde_json::from_slice(body)?;
    let mut text = BlockHasher::default();
    match endpoint {
        Endpoint::Completions => {
            let Some(prompt) = &body.prompt else {
                return Err(missing("prompt"));
            };
            text.update(prompt.as_bytes());
        }
        Endpoint::ChatCompletions => {
            let Some(messages) = &body.messages else {
                return Err(missing("messages"));
            };
            for message in messages {
                text.update(message.role.as_bytes());
                text.update(b"\n");
                text.update(message.content.as_bytes());
                text.update(b"\n");
            }
        }
    }
    if text.length_bytes == 0 {
        return Err(PromptError::Empty);
    }
    let max_tokens = body
        .max_completion_tokens
        .or(body.max_tokens)
        .unwrap_or(DEFAULT_MAX_TOKENS);
    if max_tokens == 0 {
        return Err(PromptError::NoTokens);
    }
    Ok(Prompt {
        model: body.model.into_owned(),
        stream: body.stream,
        max_tokens,
        length_tokens: text.length_bytes.div_ceil(BYTES_PER_TOKEN) as u64,
        blocks: text.blocks,
        digest: text.hasher.digest(),
    })
}

fn missing(field: &'static str) -> PromptError {
    PromptError::Malformed(serde::de::Error::missing_field(field))
}

/// Hashes text block by block without concatenating its pieces.
///
/// Invariant: `pending_bytes < BLOCK_BYTES` between calls, and `blocks` holds one hash per complete
/// block, which covers all text up to its end.
#[derive(Default)]
struct BlockHasher {
    hasher: Xxh3,
    pending_bytes: usize,
    length_bytes: usize,
    blocks: Vec<BlockHash>,
}

impl BlockHasher {
    fn update(&mut self, mut text: &[u8]) {
        self.length_bytes += text.len();
        while !text.is_empty() {
            let length = text.len().min(BLOCK_BYTES - self.pending_bytes);
            let (head, tail) = text.split_at(length);
            self.hasher.update(head);
            self.pending_bytes += length;
            if self.pending_bytes == BLOCK_BYTES {
                self.blocks.push(self.hasher.digest());
                self.pending_bytes = 0;
            }
            text = tail;
        }
    }
}
