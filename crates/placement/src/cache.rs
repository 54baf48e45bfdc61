//! What is believed to be in an engine's prefix cache.
//!
//! The view is kept by numbered events; a gap between their numbers means that
//! blocks may have come or gone unseen, and asks for a snapshot. Until it comes
//! the old view stays in use: a wrong entry makes an estimate wrong, never an
//! answer, since the engine itself looks up what it holds.

use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};

use mangofront_prompt::{BLOCK_TOKENS, BlockHash};
use mangofront_settings::ids::Incarnation;

use crate::report::{CacheEvent, CacheEventKind, CacheEvents, CacheSnapshot, CacheSync};

/// Blocks kept for one engine: four million tokens.
const MAX_BLOCKS: usize = 16_384;

/// Passes a block's hash through: it is evenly spread already.
#[derive(Debug, Default)]
pub(crate) struct BlockHasher(u64);

impl Hasher for BlockHasher {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

/// View of one engine's prefix cache.
///
/// Invariants: `blocks.len() <= MAX_BLOCKS`; while `next_sequence` is set, every
/// event before it is in `blocks`, but for blocks beyond the limit.
#[derive(Debug, Default)]
pub(crate) struct CacheView {
    incarnation: Incarnation,
    next_sequence: Option<u64>,
    blocks: HashSet<BlockHash, BuildHasherDefault<BlockHasher>>,
}

impl CacheView {
    pub(crate) fn len(&self) -> usize {
        self.blocks.len()
    }

    pub(crate) fn in_sync(&self) -> bool {
        self.next_sequence.is_some()
    }

    /// Takes over a snapshot, unless events have overtaken it.
    pub(crate) fn snapshot(&mut self, snapshot: &CacheSnapshot) {
        let after = snapshot.sequence.saturating_add(1);
        let same_life = snapshot.incarnation == self.incarnation;
        if snapshot.incarnation < self.incarnation {
            return;
        }
        if same_life && self.next_sequence.is_some_and(|next| next > after) {
            return;
        }
        self.incarnation = snapshot.incarnation;
        self.next_sequence = Some(after);
        self.blocks.clear();
        self.store(&snapshot.blocks);
    }

    /// Takes in events; asks for a snapshot when some were missed.
    pub(crate) fn events(&mut self, events: &CacheEvents) -> CacheSync {
        if events.incarnation < self.incarnation {
            return self.sync();
        }
        if events.incarnation > self.incarnation {
            // A new life starts with an empty cache.
            self.blocks.clear();
            self.next_sequence = None;
            self.incarnation = events.incarnation;
        }
        for event in &events.events {
            self.event(event);
        }
        if self
            .next_sequence
            .is_some_and(|next| next < events.next_sequence)
        {
            self.next_sequence = None;
        }
        self.sync()
    }

    /// Takes in blocks that a finished prefill must have left behind.
    pub(crate) fn presume(&mut self, blocks: &[BlockHash]) {
        let room = MAX_BLOCKS.saturating_sub(self.blocks.len());
        self.blocks.extend(blocks.iter().take(room));
    }

    /// Tokens at the start of a prompt that are believed to be cached.
    ///
    /// Each hash covers the whole text before it, so the cached blocks of a
    /// prompt are a prefix of its list; its end is found in a number of steps
    /// that grows with the logarithm. Should an engine have evicted a block in
    /// the middle, the answer is too high, which costs time only.
    pub(crate) fn cached_tokens(&self, blocks: &[BlockHash]) -> u64 {
        let mut step = 1;
        while step <= blocks.len() && self.blocks.contains(&blocks[step - 1]) {
            step *= 2;
        }
        let known = step / 2;
        let unknown = &blocks[known..blocks.len().min(step - 1).max(known)];
        let more = unknown.partition_point(|block| self.blocks.contains(block));
        ((known + more) * BLOCK_TOKENS) as u64
    }

    fn sync(&self) -> CacheSync {
        match self.next_sequence {
            Some(next_sequence) => CacheSync::InSync { next_sequence },
            None => CacheSync::NeedsSnapshot,
        }
    }

    fn event(&mut self, event: &CacheEvent) {
        match self.next_sequence {
            Some(next) if event.sequence < next => return,
            Some(next) if event.sequence == next => {
                self.next_sequence = Some(next.saturating_add(1));
            }
            Some(_) => self.next_sequence = None,
            None => {}
        }
        match event.kind {
            CacheEventKind::Stored => self.store(&event.blocks),
            CacheEventKind::Evicted => self.evict(&event.blocks),
        }
    }

    fn store(&mut self, blocks: &[String]) {
        let room = MAX_BLOCKS.saturating_sub(self.blocks.len());
        self.blocks.extend(hashes(blocks).take(room));
    }

    fn evict(&mut self, blocks: &[String]) {
        for block in hashes(blocks) {
            self.blocks.remove(&block);
        }
    }
}

/// Reads hashes, passing over those that are none.
fn hashes(blocks: &[String]) -> impl Iterator<Item = BlockHash> {
    blocks
        .iter()
        .filter_map(|block| BlockHash::from_str_radix(block, 16).ok())
}
