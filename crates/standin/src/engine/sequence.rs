//! One sequence of the batch: an answer or a segment of a long prompt.

use std::rc::Rc;
use std::time::Instant;

use mangofront_prompt::BlockHash;

use super::memory::BLOCK;
use super::output::Output;

/// Id of a memory reservation, given by the daemon.
pub(crate) type ReservationId = String;

/// Place of a sequence in the order of urgency: lower is computed first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Rank {
    /// Priority from the request, 0 the most urgent.
    pub(crate) priority: u8,
    /// Number of the arrival, unique in an engine's life.
    pub(crate) arrival: u64,
}

/// What a sequence computes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Kind {
    /// Prefill, then the tokens of an answer.
    Answer,
    /// Prefill alone.
    Segment,
}

/// Where a sequence's memory comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Memory {
    /// The common pool, claimed when the sequence starts.
    Pool,
    /// A reservation, which holds it already.
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
    /// Whole blocks of the prompt.
    pub(crate) blocks: Rc<[BlockHash]>,
    /// Prefill that this engine does for the prompt, in tokens.
    pub(crate) share_tokens: u64,
    /// Context before that share, computed elsewhere, in tokens.
    pub(crate) context_tokens: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) private_tokens: u64,
    /// Leading `blocks` that are pinned in memory.
    pub(crate) pinned_blocks: usize,
    pub(crate) deadline: Option<Instant>,
    pub(crate) output: Rc<Output>,
}

impl Sequence {
    /// A waiting sequence on the common pool, without blocks or deadline.
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

    /// Tokens to prefill before the next token: the share and what was
    /// answered already.
    pub(crate) fn prefill_tokens(&self) -> u64 {
        match self.kind {
            Kind::Answer => self.share_tokens + u64::from(self.output.produced.get()),
            Kind::Segment => self.share_tokens,
        }
    }

    /// Prefill that is left, in tokens.
    ///
    /// A decoding sequence has none: a token counts as prefilled once yielded.
    pub(crate) fn unfilled_tokens(&self) -> u64 {
        self.prefill_tokens() - self.prefilled_tokens
    }

    /// Memory that the whole sequence takes, in tokens.
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

    /// Blocks that have been computed whole but are not pinned yet.
    pub(crate) fn finished_blocks(&self) -> std::ops::Range<usize> {
        let whole = usize::try_from(self.prefilled_tokens / BLOCK).unwrap_or(usize::MAX);
        self.pinned_blocks..whole.min(self.blocks.len()).max(self.pinned_blocks)
    }
}
