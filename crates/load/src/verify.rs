//! Verification of an answer against the one expected for its prompt.
//!
//! The emulated engine answers from the prompt's digest alone, so the
//! tool knows every token in advance and detects missing, repeated, swapped or
//! foreign text at the first byte that differs.

use thiserror::Error;

/// Returns the text of a token from the prompt's digest and the token's offset in
/// the answer.
pub type TokenText = fn(u64, u32) -> String;

/// Expected answer to a prompt.
#[derive(Debug, Clone, Copy)]
pub struct Expected {
    /// Digest of the prompt.
    pub digest: u64,
    /// Length of the answer, in tokens.
    pub length_tokens: u32,
    /// Token limit of the request; a shorter answer has finish reason `stop`.
    pub limit_tokens: u32,
    /// Function that gives the text of each token.
    pub token_text: TokenText,
}

impl Expected {
    /// Returns the expected finish reason.
    #[must_use]
    pub const fn finish_reason(&self) -> &'static str {
        if self.length_tokens < self.limit_tokens {
            "stop"
        } else {
            "length"
        }
    }
}

/// Difference between an answer and the expected one.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WrongAnswer {
    /// Text differs from the expected token.
    #[error("token {offset} differs: expected {expected:?}, got {got:?}")]
    TokenMismatch {
        /// Offset of the token.
        offset: u32,
        /// Remaining expected text of that token.
        expected: String,
        /// Text received instead.
        got: String,
    },
    /// A frame has an unexpected offset.
    #[error("frame of offset {got} where {expected} was due")]
    OffsetMismatch {
        /// Expected offset.
        expected: u32,
        /// Offset in the frame.
        got: u32,
    },
    /// Text after the last token.
    #[error("text after the last of {length_tokens} tokens")]
    TooLong {
        /// Expected length of the answer, in tokens.
        length_tokens: u32,
    },
    /// End before the last token.
    #[error("answer ends after {got_tokens} of {length_tokens} tokens")]
    Truncated {
        /// Complete tokens received.
        got_tokens: u32,
        /// Expected length of the answer, in tokens.
        length_tokens: u32,
    },
    /// No finish reason, or more than one.
    #[error("answer has {0} finish reasons")]
    FinishReasons(u32),
    /// Another finish reason than expected.
    #[error("finish reason {0:?}")]
    FinishReason(String),
    /// Error with outcome `not_run` after tokens were received.
    #[error("answer ends with outcome not_run after its first token")]
    NotRunAfterTokens,
    /// The stream ended without `[DONE]`.
    #[error("stream ends without [DONE]")]
    MissingDoneMarker,
    /// Event after `[DONE]` or after an error event, or a body of an unexpected format.
    #[error("answer is malformed: {0}")]
    Malformed(String),
}

/// Incremental checker of one answer.
///
/// Invariant: all received text was checked; `remaining_text` is the part of
/// token `next_offset - 1` that has not been received yet.
#[derive(Debug)]
pub struct AnswerChecker {
    expected: Expected,
    next_offset: u32,
    remaining_text: String,
    finish_reasons: u32,
}

impl AnswerChecker {
    /// Creates a checker that has received nothing.
    #[must_use]
    pub const fn new(expected: Expected) -> Self {
        Self {
            expected,
            next_offset: 0,
            remaining_text: String::new(),
            finish_reasons: 0,
        }
    }

    /// Checks the offset of a frame.
    ///
    /// # Errors
    /// [`WrongAnswer::OffsetMismatch`] when another one is expected.
    pub const fn offset(&self, got: u32) -> Result<(), WrongAnswer> {
        if got == self.next_offset {
            return Ok(());
        }
        let expected = self.next_offset;
        Err(WrongAnswer::OffsetMismatch { expected, got })
    }

    /// Checks the next piece of text; pieces may split or join tokens.
    ///
    /// # Errors
    /// [`WrongAnswer`] at the first difference.
    pub fn text(&mut self, mut piece: &str) -> Result<(), WrongAnswer> {
        while !piece.is_empty() {
            if self.remaining_text.is_empty() {
                self.next_token()?;
            }
            let common = common_prefix_bytes(&self.remaining_text, piece);
            let compatible = common == self.remaining_text.len() || common == piece.len();
            if !compatible || common == 0 {
                return Err(WrongAnswer::TokenMismatch {
                    offset: self.next_offset - 1,
                    expected: self.remaining_text.clone(),
                    got: piece.to_owned(),
                });
            }
            self.remaining_text.drain(..common);
            piece = &piece[common..];
        }
        Ok(())
    }

    /// Checks a finish reason.
    ///
    /// # Errors
    /// [`WrongAnswer::FinishReason`] when it is not the expected one.
    pub fn finish_reason(&mut self, got: &str) -> Result<(), WrongAnswer> {
        if got != self.expected.finish_reason() {
            return Err(WrongAnswer::FinishReason(got.to_owned()));
        }
        self.finish_reasons += 1;
        Ok(())
    }

    /// Returns the number of complete tokens received.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        if self.remaining_text.is_empty() {
            self.next_offset
        } else {
            self.next_offset - 1
        }
    }

    /// Checks that the answer is complete.
    ///
    /// # Errors
    /// [`WrongAnswer`] when a token or the finish reason is missing.
    pub fn end(self) -> Result<(), WrongAnswer> {
        let got_tokens = self.tokens();
        let length_tokens = self.expected.length_tokens;
        if got_tokens != length_tokens {
            return Err(WrongAnswer::Truncated {
                got_tokens,
                length_tokens,
            });
        }
        match self.finish_reasons {
            1 => Ok(()),
            other => Err(WrongAnswer::FinishReasons(other)),
        }
    }

    fn next_token(&mut self) -> Result<(), WrongAnswer> {
        let Expected {
            digest,
            length_tokens,
            token_text,
            ..
        } = self.expected;
        if self.next_offset >= length_tokens {
            return Err(WrongAnswer::TooLong { length_tokens });
        }
        self.remaining_text = token_text(digest, self.next_offset);
        self.next_offset += 1;
        Ok(())
    }
}

/// Returns the length of the longest common prefix in bytes, at a character
/// boundary.
fn common_prefix_bytes(left: &str, right: &str) -> usize {
    let pairs = left.chars().zip(right.chars());
    pairs
        .take_while(|(left, right)| left == right)
        .map(|(left, _)| left.len_utf8())
        .sum()
}
