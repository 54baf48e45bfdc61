//! Length and prefix blocks of a prompt.
//!
//! Owns the reading of an OpenAI-style request body just far enough to place
//! it: the model's name, whether a stream is wanted, the answer's limit, the
//! prompt's length in tokens and the chained hashes of its prefix blocks. The
//! body itself is never changed; it travels on as the bytes that came in.
//! `entry` reads requests with it, `placement` compares blocks with what
//! engines report, and the emulated engine in `standin` reports the same.
//! Metrics and load reports tell lengths apart by its [`LengthBucket`].

mod length;

pub use length::LengthBucket;

use std::borrow::Cow;

use serde::Deserialize;
use thiserror::Error;
use xxhash_rust::xxh3::Xxh3;

/// Bytes of text counted as one token.
///
/// No tokenizer runs in the daemon: for placement a stable estimate is enough,
/// and four bytes a token is the usual figure for English text.
pub const BYTES_PER_TOKEN: usize = 4;

/// Tokens of one prefix block.
pub const BLOCK_TOKENS: usize = 256;

/// Bytes of one prefix block.
pub const BLOCK_BYTES: usize = BLOCK_TOKENS * BYTES_PER_TOKEN;

/// Answer length taken when a request sets none, in tokens.
pub const DEFAULT_MAX_TOKENS: u32 = 256;

/// Hash of a prefix block and of all blocks before it.
pub type BlockHash = u64;

/// Which endpoint a body was sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/completions`: a `prompt` string.
    Completions,
    /// `/v1/chat/completions`: a list of `messages`.
    ChatCompletions,
}

/// What placement needs to know of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model asked for.
    pub model: String,
    /// Whether the caller wants server-sent events.
    pub stream: bool,
    /// Longest answer, in tokens.
    pub max_tokens: u32,
    /// Estimated length, in tokens.
    pub length_tokens: u64,
    /// Chained hashes of the whole blocks, first block first.
    pub blocks: Vec<BlockHash>,
    /// Hash of the whole text.
    pub digest: u64,
}

/// Reason why a body was not understood.
#[derive(Debug, Error)]
pub enum PromptError {
    /// Not JSON, or not of the endpoint's shape.
    #[error("body is not a request: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A prompt without text.
    #[error("prompt is empty")]
    Empty,
    /// An answer of no token was asked for.
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

/// Reads a request body sent to `endpoint`.
///
/// # Errors
/// [`PromptError`] when the body is no JSON of that shape, has no text, or
/// asks for no token.
pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Prompt, PromptError> {
    let body: Body<'_> = serde_json::from_slice(body)?;
    let mut text = BlockHasher::default();
    match endpoint {
        Endpoint::Completions => {
            let Some(prompt) = &body.prompt else {
                return Err(missing("prompt"));
            };
            text.push(prompt.as_bytes());
        }
        Endpoint::ChatCompletions => {
            let Some(messages) = &body.messages else {
                return Err(missing("messages"));
            };
            for message in messages {
                text.push(message.role.as_bytes());
                text.push(b"\n");
                text.push(message.content.as_bytes());
                text.push(b"\n");
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
        digest: text.running.digest(),
    })
}

fn missing(field: &'static str) -> PromptError {
    PromptError::Malformed(serde::de::Error::missing_field(field))
}

/// Hashes text block by block without joining its pieces.
///
/// Invariant: `pending_bytes < BLOCK_BYTES` between calls, and `blocks` holds
/// one hash for each whole block, each covering all text before its end.
#[derive(Default)]
struct BlockHasher {
    running: Xxh3,
    pending_bytes: usize,
    length_bytes: usize,
    blocks: Vec<BlockHash>,
}

impl BlockHasher {
    fn push(&mut self, mut text: &[u8]) {
        self.length_bytes += text.len();
        while !text.is_empty() {
            let taken = text.len().min(BLOCK_BYTES - self.pending_bytes);
            let (head, rest) = text.split_at(taken);
            self.running.update(head);
            self.pending_bytes += taken;
            if self.pending_bytes == BLOCK_BYTES {
                self.blocks.push(self.running.digest());
                self.pending_bytes = 0;
            }
            text = rest;
        }
    }
}
