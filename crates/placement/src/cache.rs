//! Assumed content of an engine's prefix cache.
//!
//! The view is updated by numbered events. A gap in their numbers means that
//! blocks may have been stored or evicted unnoticed, so a snapshot is needed.
//! Until it arrives the old view stays in use: a wrong entry makes an estimate
//! wrong but never an answer, since the engine looks up its own cache.

use std::collections::HashSet;
use std::hash::{BuildHasherDefault, Hasher};

use mangofront_prompt::{BLOCK_TOKENS, BlockHash};
use mangofront_settings::ids::Incarnation;

use crate::report::{CacheEvent, CacheEventKind, CacheEvents, CacheSnapshot, CacheSync};

/// Maximum blocks tracked for one engine: four million tokens.
const MAX_BLOCKS: usize = 16_384;

/// Identity hasher: block hashes are uniformly distributed already.
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
/// event before it is applied to `blocks`, except for blocks beyond the limit.
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

    pub(crate) fn is_in_sync(&self) -> bool {
        self.next_sequence.is_some()
    }

    /// Replaces the view by a snapshot, unless later events were applied already.
    pub(crate) fn apply_snapshot(&mut self, snapshot: &CacheSnapshot) {
        let after = snapshot.sequence.saturating_add(1);
        let same_incarnation = snapshot.incarnation == self.incarnation;
        if snapshot.incarnation < self.incarnation {
            return;
        }
        if same_incarnation && self.next_sequence.is_some_and(|next| next > after) {
            return;
        }
        self.incarnation = snapshot.incarnation;
        self.next_sequence = Some(after);
        self.blocks.clear();
        self.store(&snapshot.blocks);
    }

    /// Applies events; returns whether some were missed and a snapshot is needed.
    pub(crate) fn apply_events(&mut self, events: &CacheEvents) -> CacheSync {
        if events.incarnation < self.incarnation {
            return self.sync();
        }
        if events.incarnation > self.incarnation {
            // A new incarnation starts with an empty cache.
            self.blocks.clear();
            self.next_sequence = None;
            self.incarnation = events.incarnation;
        }
        for event in &events.events {
            self.apply_event(event);
        }
        if self
            .next_sequence
            .is_some_and(|next| next < events.next_sequence)
        {
            self.next_sequence = None;
        }
        self.sync()
    }

    /// Adds the blocks that a completed prefill has left in the cache.
    pub(crate) fn insert_prefilled(&mut self, blocks: &[BlockHash]) {
        let capacity = MAX_BLOCKS.saturating_sub(self.blocks.len());
        self.blocks.extend(blocks.iter().take(capacity));
    }

    /// Length of the prompt's prefix that is assumed to be cached, in tokens.
    ///
    /// Each block hash covers all preceding text, so the cached blocks of a
    /// prompt form a prefix of its list, whose end is found by galloping search
    /// in logarithmic time. If the engine has evicted a block in the middle, the
    /// result is too high, which only makes the estimate worse.
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

    fn apply_event(&mut self, event: &CacheEvent) {
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
        let capacity = MAX_BLOCKS.saturating_sub(self.blocks.len());
        self.blocks.extend(hashes(blocks).take(capacity));
    }

    fn evict(&mut self, blocks: &[String]) {
        for block in hashes(blocks) {
            self.blocks.remove(&block);
        }
    }
}

/// Parses hexadecimal block hashes, skipping malformed ones.
fn hashes(blocks: &[String]) -> impl Iterator<Item = BlockHash> {
    blocks
        .iter()
        .filter_map(|block| BlockHash::from_str_radix(block, 16).ok())
}
