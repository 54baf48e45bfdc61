//! Continuous batching: which sequences wait, which run, and the work of the
//! next step.
//!
//! Urgent sequences start and prefill first. A long prompt is prefilled chunk
//! by chunk, and a more urgent one can go first between chunks. When an urgent
//! sequence lacks memory, less urgent ones are preempted and wait again; their
//! prefix blocks stay cached as long as there is room.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

use super::memory::{KvMemory, TOKENS_PER_BLOCK};
use super::output::Output;
use super::sequence::{Memory, Rank, Sequence};
use super::settings::StepSettings;

/// Work of one forward pass.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// Sequences that decode one token.
    pub(crate) decodes: Vec<Rank>,
    /// Sequences that prefill, with their number of tokens.
    pub(crate) prefills: Vec<(Rank, u64)>,
    /// Duration at a time scale and slow factor of 1, in microseconds.
    pub(crate) cost_us: f64,
}

impl Step {
    pub(crate) fn is_empty(&self) -> bool {
        self.decodes.is_empty() && self.prefills.is_empty()
    }

    pub(crate) fn prefill_tokens(&self) -> u64 {
        self.prefills.iter().map(|(_, tokens)| tokens).sum()
    }
}

/// Sequences and the memory they share.
///
/// Invariant: a rank is in at most one of `waiting` and `running`.
#[derive(Debug)]
pub(crate) struct Batch {
    pub(crate) memory: KvMemory,
    pub(crate) waiting: BTreeMap<Rank, Sequence>,
    pub(crate) running: BTreeMap<Rank, Sequence>,
    max_running: usize,
    step: StepSettings,
}

impl Batch {
    pub(crate) fn new(kv_total_tokens: u64, max_running: usize, step: StepSettings) -> Self {
        Self {
            memory: KvMemory::new(kv_total_tokens),
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            max_running: max_running.max(1),
            step,
        }
    }

    /// Returns all sequences, waiting and running.
    pub(crate) fn sequences(&self) -> impl Iterator<Item = &Sequence> {
        self.running.values().chain(self.waiting.values())
    }

    /// Removes a sequence and frees its memory.
    pub(crate) fn remove(&mut self, rank: Rank) -> Option<Sequence> {
        if let Some(sequence) = self.waiting.remove(&rank) {
            return Some(sequence);
        }
        let mut sequence = self.running.remove(&rank)?;
        self.free(&mut sequence);
        Some(sequence)
    }

    /// Starts the sequences that fit and returns the work of the next step.
    pub(crate) fn plan(&mut self) -> Step {
        self.start_waiting();
        let mut step = Step::default();
        let mut budget_tokens = self.step.prefill_chunk_tokens.max(1);
        for (rank, sequence) in &self.running {
            let unfilled_tokens = sequence.unfilled_tokens();
            if unfilled_tokens == 0 {
                step.decodes.push(*rank);
                step.cost_us += self.decode_cost_us(sequence);
                continue;
            }
            let chunk_tokens = unfilled_tokens.min(budget_tokens);
            if chunk_tokens == 0 {
                continue;
            }
            budget_tokens -= chunk_tokens;
            step.prefills.push((*rank, chunk_tokens));
            step.cost_us += self.prefill_cost_us(sequence, chunk_tokens);
        }
        if !step.is_empty() {
            step.cost_us += self.step.base_us;
        }
        step
    }

    /// Records prefilled tokens and publishes the blocks completed by them.
    ///
    /// Returns whether the prefill is complete; false for a sequence that was
    /// cancelled during the step.
    pub(crate) fn record_prefill(&mut self, rank: Rank, tokens: u64) -> bool {
        let Some(sequence) = self.running.get_mut(&rank) else {
            return false;
        };
        sequence.prefilled_tokens += tokens;
        if sequence.memory == Memory::Pool {
            for index in sequence.unpublished_blocks() {
                self.memory.publish(sequence.blocks[index]);
                sequence.private_tokens -= TOKENS_PER_BLOCK;
                sequence.pinned_blocks += 1;
            }
        }
        sequence.unfilled_tokens() == 0
    }

    /// Records one decoded token, which is input to the next step.
    ///
    /// Returns the output, or `None` if the sequence has been removed.
    pub(crate) fn record_decode(&mut self, rank: Rank) -> Option<Rc<Output>> {
        let sequence = self.running.get_mut(&rank)?;
        sequence.prefilled_tokens += 1;
        let output = &sequence.output;
        output.produced.set(output.produced.get() + 1);
        Some(Rc::clone(output))
    }

    fn decode_cost_us(&self, sequence: &Sequence) -> f64 {
        let context = thousands(sequence.attended_tokens());
        self.step.decode_sequence_us + context * self.step.decode_context_us
    }

    fn prefill_cost_us(&self, sequence: &Sequence, chunk_tokens: u64) -> f64 {
        let mean_context_tokens = sequence.attended_tokens() + chunk_tokens / 2;
        let token_us = self.step.prefill_token_us
            + thousands(mean_context_tokens) * self.step.prefill_context_us;
        chunk_tokens as f64 * token_us
    }

    fn start_waiting(&mut self) {
        let ranks: Vec<Rank> = self.waiting.keys().copied().collect();
        let mut pool_exhausted = false;
        for rank in ranks {
            let from_pool = self.waiting[&rank].memory == Memory::Pool;
            // A smaller, less urgent sequence must not overtake one that waits
            // for memory, as a long prompt might then never start.
            if from_pool && pool_exhausted {
                continue;
            }
            if self.running.len() >= self.max_running && !self.preempt_for_slot(rank) {
                return;
            }
            let Some(mut sequence) = self.waiting.remove(&rank) else {
                continue;
            };
            if from_pool && !self.claim(&mut sequence) {
                pool_exhausted = true;
                self.waiting.insert(rank, sequence);
                continue;
            }
            self.running.insert(rank, sequence);
        }
    }

    fn claim(&mut self, sequence: &mut Sequence) -> bool {
        let matching_blocks = self.memory.matching_prefix(&sequence.blocks);
        self.memory.pin(&sequence.blocks[..matching_blocks]);
        let cached_tokens = matching_blocks as u64 * TOKENS_PER_BLOCK;
        let private_tokens = sequence.size_tokens().saturating_sub(cached_tokens);
        if !self.claim_or_preempt(sequence.rank, private_tokens) {
            self.memory.unpin(&sequence.blocks[..matching_blocks]);
            return false;
        }
        sequence.pinned_blocks = matching_blocks;
        sequence.private_tokens = private_tokens;
        // The last prompt token is always computed, as its forward pass
        // produces the first token of the answer.
        sequence.prefilled_tokens = cached_tokens.min(sequence.prefill_tokens() - 1);
        sequence.output.cached_tokens.set(sequence.prefilled_tokens);
        true
    }

    fn claim_or_preempt(&mut self, rank: Rank, tokens: u64) -> bool {
        if self.memory.claim(tokens) {
            return true;
        }
        let victims = self.victims(rank, tokens);
        for victim in victims {
            self.preempt(victim);
        }
        self.memory.claim(tokens)
    }

    /// Least urgent sequences whose preemption makes room for `tokens`. Empty
    /// if preempting all sequences of lower priority would not suffice.
    fn victims(&self, rank: Rank, tokens: u64) -> Vec<Rank> {
        let mut room_tokens = self.memory.available_tokens();
        let mut unpinned = HashMap::new();
        let mut victims = Vec::new();
        for (other, sequence) in self.running.iter().rev() {
            if room_tokens >= tokens || other.priority <= rank.priority {
                break;
            }
            if sequence.memory != Memory::Pool {
                continue;
            }
            // A shared block is freed only with the last sequence that pins it.
            let pinned = &sequence.blocks[..sequence.pinned_blocks];
            room_tokens += sequence.private_tokens;
            room_tokens += self.memory.freed_by_unpinning(pinned, &mut unpinned);
            victims.push(*other);
        }
        if room_tokens < tokens {
            victims.clear();
        }
        victims
    }

    fn preempt_for_slot(&mut self, rank: Rank) -> bool {
        let Some((&last, _)) = self.running.last_key_value() else {
            return true;
        };
        let preempts = last.priority > rank.priority;
        if preempts {
            self.preempt(last);
        }
        preempts
    }

    fn preempt(&mut self, rank: Rank) {
        let Some(mut sequence) = self.running.remove(&rank) else {
            return;
        };
        self.free(&mut sequence);
        self.waiting.insert(rank, sequence);
    }

    fn free(&mut self, sequence: &mut Sequence) {
        // Memory of a reservation stays with the reservation.
        if sequence.memory != Memory::Pool {
            return;
        }
        self.memory.release(sequence.private_tokens);
        self.memory
            .unpin(&sequence.blocks[..sequence.pinned_blocks]);
        sequence.private_tokens = 0;
        sequence.pinned_blocks = 0;
        sequence.prefilled_tokens = 0;
    }
}

fn thousands(tokens: u64) -> f64 {
    tokens as f64 / 1000.0
}
