//! Expected answers to prompts.

use mangofront_standin::answer;

use crate::scenario::Endpoint;
use crate::verify::{Expected, TokenText};

/// Deterministic rule that defines an engine's answers.
#[derive(Debug, Clone, Copy)]
pub struct AnswerRule {
    /// Returns the text of a token from the prompt's digest and the token's offset.
    pub token_text: TokenText,
    /// Returns the length of an answer in tokens from the digest and the request's
    /// limit.
    pub length_tokens: fn(u64, u32) -> u32,
}

impl AnswerRule {
    /// Rule of the emulated engine.
    #[must_use]
    pub const fn standin() -> Self {
        Self {
            token_text: answer::token_text,
            length_tokens: answer::length_tokens,
        }
    }

    /// Returns the expected answer to a request with this `body`.
    #[must_use]
    pub fn expected(&self, endpoint: Endpoint, body: &[u8]) -> Expected {
        let endpoint = match endpoint {
            Endpoint::Completions => mangofront_prompt::Endpoint::Completions,
            Endpoint::ChatCompletions => mangofront_prompt::Endpoint::ChatCompletions,
        };
        // The tool generated the body itself. The daemon also refuses a body that
        // can't be parsed, and then no answer is compared.
        let (digest, max_tokens) = mangofront_prompt::parse(endpoint, body)
            .map_or((0, 0), |prompt| (prompt.digest, prompt.max_tokens));
        Expected {
            digest,
            length_tokens: (self.length_tokens)(digest, max_tokens),
            limit_tokens: max_tokens,
            token_text: self.token_text,
        }
    }
}
