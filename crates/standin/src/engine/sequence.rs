//! Sequence of the batch: an answer, or a segment of a long prompt.

use std::rc::Rc;
use std::time::Instant;

use mangofront_prompt::BlockHash;

use super::memory::TOKENS_PER_BLOCK;
use super::output::Output;

/// Id of a memory reservation, assigned by the daemon.
pub(crate) type ReservationId = String;

/// Scheduling order of a sequence: lower ranks are computed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Priority from the request, 0 the most urgent.
    pub(crate) priority: u8,
    /// Arrival number, unique within an incarnation of the engine.
    pub(crate) arrival: u64,
}

/// Kind of work of a sequence.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Prefill, then decode of an answer.
    Answer,
    /// Prefill only.
    Segment,
}

/// Source of the memory of a sequence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Memory {
    /// Common pool, from which memory is claimed when the sequence starts.
    Pool,
    /// Reservation, whose memory is already claimed.
    Reservation(ReservationId),
}

/// A waiting or running sequence.
///
/// Invariant: `prefilled_tokens <= prefill_tokens()`; a waiting sequence holds
/// no memory: `private_tokens` and `pinned_blocks` are 0.
#[derive(Debug)]
pub(crate) struct Sequence {
    pub(crate) rank: Rank,
    pub(crate) kind: Kind,
    pub(crate) memory: Memory,
    /// Complete blocks of the prompt.
    pub(crate) blocks: Rc<[BlockHash]>,
    /// Part of the prompt that this engine prefills, in tokens.
    pub(crate) share_tokens: u64,
    /// Context that precedes the share, computed by other engines or under the
    /// reservation, in tokens.
    pub(crate) context_tokens: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) private_tokens: u64,
    /// Number of leading `blocks` pinned in memory.
    pub(crate) pinned_blocks: usize,
    pub(crate) deadline: Option<Instant>,
    pub(crate) output: Rc<Output>,
}

impl Sequence {
    /// Creates a waiting sequence on the common pool, without blocks or deadline.
    pub(crate) fn new(kind: Kind, rank: Rank, share_tokens: u64, output: Rc<Output>) -> Self {
        Self {
            rank,
            kind,
            memory: Memory::Pool,
            blocks: Rc::default(),
            share_tokens,
            context_tokens: 0,
            prefilled_tokens: 0,
            private_tokens: 0,
            pinned_blocks: 0,
            deadline: None,
            output,
        }
    }

    /// Tokens to prefill before the next token: the share and the tokens of the
    /// answer produced so far.
    pub(crate) fn prefill_tokens(&self) -> u64 {
        match self.kind {
            Kind::Answer => self.share_tokens + u64::from(self.output.produced.get()),
            Kind::Segment => self.share_tokens,
        }
    }

    /// Remaining prefill, in tokens.
    ///
    /// Zero for a decoding sequence: a token counts as prefilled once produced.
    pub(crate) fn unfilled_tokens(&self) -> u64 {
        self.prefill_tokens() - self.prefilled_tokens
    }

    /// Memory needed by the complete sequence, in tokens.
    pub(crate) fn size_tokens(&self) -> u64 {
        match self.kind {
            Kind::Answer => self.share_tokens + u64::from(self.output.plan.max_tokens),
            Kind::Segment => self.share_tokens,
        }
    }

    /// Context that the next token attends to, in tokens.
    pub(crate) fn attended_tokens(&self) -> u64 {
        self.context_tokens + self.prefilled_tokens
    }

    /// Indices of blocks that are complete but not published yet.
    pub(crate) fn unpublished_blocks(&self) -> std::ops::Range<usize> {
        let complete =
            usize::try_from(self.prefilled_tokens / TOKENS_PER_BLOCK).unwrap_or(usize::MAX);
        self.pinned_blocks..complete.min(self.blocks.len()).max(self.pinned_blocks)
    }
}
