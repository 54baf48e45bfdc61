//! Check of an answer against the one that its prompt must give.
//!
//! The emulated engine answers from the prompt's digest alone, so a caller
//! knows every token beforehand: a missing, repeated, swapped or foreign piece
//! of text is seen at the first byte that differs.

use thiserror::Error;

/// Text of the token at an offset of the answer to a digest.
pub type TokenText = fn(u64, u32) -> String;

/// Answer that a prompt must give.
#[derive(Debug, Clone, Copy)]
pub struct Expected {
    /// Digest of the prompt.
    pub digest: u64,
    /// Length of the answer, in tokens.
    pub length_tokens: u32,
    /// Limit of the request, in tokens; a shorter answer stopped by itself.
    pub limit_tokens: u32,
    /// Text of each token.
    pub token_text: TokenText,
}

impl Expected {
    /// Reason that the answer's end gives.
    #[must_use]
    pub const fn finish_reason(&self) -> &'static str {
        if self.length_tokens < self.limit_tokens {
            "stop"
        } else {
            "length"
        }
    }
}

/// Way in which an answer differs.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum WrongAnswer {
    /// Other text than expected.
    #[error("token {offset} differs: expected {expected:?}, got {got:?}")]
    TokenMismatch {
        /// Offset of the token.
        offset: u32,
        /// Rest of that token's text.
        expected: String,
        /// Text that came in its place.
        got: String,
    },
    /// A frame says another offset than the next one.
    #[error("frame of offset {got} where {expected} was due")]
    OffsetMismatch {
        /// Offset due.
        expected: u32,
        /// Offset that the frame names.
        got: u32,
    },
    /// Text after the last token.
    #[error("text after the last of {length_tokens} tokens")]
    TooLong {
        /// Length of the whole answer, in tokens.
        length_tokens: u32,
    },
    /// End before the last token.
    #[error("answer ends after {got_tokens} of {length_tokens} tokens")]
    Truncated {
        /// Whole tokens that came.
        got_tokens: u32,
        /// Length of the whole answer, in tokens.
        length_tokens: u32,
    },
    /// No finish reason, or more than one.
    #[error("answer has {0} finish reasons")]
    FinishReasons(u32),
    /// Another finish reason than expected.
    #[error("finish reason {0:?}")]
    FinishReason(String),
    /// An error that denies the run of an answer that had begun.
    #[error("an answer that had begun ends with outcome not_run")]
    NotRunAfterTokens,
    /// The stream ended without its end mark.
    #[error("stream ends without [DONE]")]
    MissingDoneMarker,
    /// An event after the end mark or a body of another shape.
    #[error("answer is malformed: {0}")]
    Malformed(String),
}

/// Progress of one answer.
///
/// Invariant: all text before `rest` was checked; `rest` is the unread part of
/// the token before `next_offset`.
#[derive(Debug)]
pub struct AnswerChecker {
    expected: Expected,
    next_offset: u32,
    remaining_text: String,
    finish_reasons: u32,
}

impl AnswerChecker {
    /// Checker that has read nothing.
    #[must_use]
    pub const fn new(expected: Expected) -> Self {
        Self {
            expected,
            next_offset: 0,
            remaining_text: String::new(),
            finish_reasons: 0,
        }
    }

    /// Takes the offset that a frame names.
    ///
    /// # Errors
    /// [`WrongAnswer::Offset`] when another one is due.
    pub const fn offset(&self, got: u32) -> Result<(), WrongAnswer> {
        if got == self.next_offset {
            return Ok(());
        }
        let expected = self.next_offset;
        Err(WrongAnswer::OffsetMismatch { expected, got })
    }

    /// Takes the next piece of text; pieces may split or join tokens.
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

    /// Takes a finish reason.
    ///
    /// # Errors
    /// [`WrongAnswer::FinishReason`] when it is another one than expected.
    pub fn finish_reason(&mut self, got: &str) -> Result<(), WrongAnswer> {
        if got != self.expected.finish_reason() {
            return Err(WrongAnswer::FinishReason(got.to_owned()));
        }
        self.finish_reasons += 1;
        Ok(())
    }

    /// Whole tokens read so far.
    #[must_use]
    pub const fn tokens(&self) -> u32 {
        if self.remaining_text.is_empty() {
            self.next_offset
        } else {
            self.next_offset - 1
        }
    }

    /// Takes the end of the answer.
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

/// Length of the common start of two texts, at a character's border.
fn common_prefix_bytes(left: &str, right: &str) -> usize {
    let pairs = left.chars().zip(right.chars());
    pairs
        .take_while(|(left, right)| left == right)
        .map(|(left, _)| left.len_utf8())
        .sum()
}
