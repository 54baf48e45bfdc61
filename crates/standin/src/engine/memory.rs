//! KV memory of the emulated engine, counted in tokens.
//!
//! Memory is divided among private tokens of running sequences, reservations
//! and prefix blocks. Blocks used by a running sequence are pinned; the others
//! are cache and evicted in least recently used order when memory is needed.

use std::collections::{BTreeMap, HashMap};

use mangofront_prompt::{BLOCK_TOKENS, BlockHash};

/// Size of a block, in tokens.
pub(crate) const TOKENS_PER_BLOCK: u64 = BLOCK_TOKENS as u64;

/// Changes to the set of blocks since the last call of
/// [`KvMemory::take_changes`].
#[derive(Debug, Default)]
pub(crate) struct BlockChanges {
    /// Blocks that were added.
    pub(crate) stored: Vec<BlockHash>,
    /// Blocks that were evicted.
    pub(crate) evicted: Vec<BlockHash>,
}

/// KV memory and its use.
///
/// Invariant: `private + reserved + blocks.len() * TOKENS_PER_BLOCK <= total`,
/// and `idle` holds exactly the blocks without pins, keyed by their unique
/// stamps.
#[derive(Debug)]
pub(crate) struct KvMemory {
    total_tokens: u64,
    private_tokens: u64,
    reserved_tokens: u64,
    blocks: HashMap<BlockHash, Block>,
    idle: BTreeMap<u64, BlockHash>,
    next_stamp: u64,
    changes: BlockChanges,
}

#[derive(Debug)]
struct Block {
    pins: u32,
    stamp: u64,
}

impl KvMemory {
    pub(crate) fn new(total_tokens: u64) -> Self {
        Self {
            total_tokens,
            private_tokens: 0,
            reserved_tokens: 0,
            blocks: HashMap::new(),
            idle: BTreeMap::new(),
            next_stamp: 0,
            changes: BlockChanges::default(),
        }
    }

    pub(crate) fn total_tokens(&self) -> u64 {
        self.total_tokens
    }

    pub(crate) fn reserved_tokens(&self) -> u64 {
        self.reserved_tokens
    }

    /// Tokens that running sequences hold, pinned blocks included.
    pub(crate) fn used_tokens(&self) -> u64 {
        let pinned = self.blocks.len() - self.idle.len();
        self.private_tokens + pinned as u64 * TOKENS_PER_BLOCK
    }

    /// Tokens available to a new sequence, evicting cache if needed.
    pub(crate) fn available_tokens(&self) -> u64 {
        let held = self.used_tokens() + self.reserved_tokens;
        self.total_tokens.saturating_sub(held)
    }

    /// Whether the invariant of this type holds.
    pub(crate) fn is_consistent(&self) -> bool {
        let cached = self.idle.len() as u64 * TOKENS_PER_BLOCK;
        let held = self.used_tokens() + self.reserved_tokens + cached;
        held <= self.total_tokens && self.idle.len() <= self.blocks.len()
    }

    /// Number of leading `blocks` that are present.
    pub(crate) fn matching_prefix(&self, blocks: &[BlockHash]) -> usize {
        blocks
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash))
            .count()
    }

    /// Claims private tokens. Returns false, with no change, if there is no room.
    pub(crate) fn claim(&mut self, tokens: u64) -> bool {
        let claimed = self.make_room(tokens);
        if claimed {
            self.private_tokens += tokens;
        }
        claimed
    }

    /// Frees private tokens.
    pub(crate) fn release(&mut self, tokens: u64) {
        self.private_tokens -= tokens;
    }

    /// Claims tokens for a reservation. Returns false, with no change, if there
    /// is no room.
    pub(crate) fn reserve(&mut self, tokens: u64) -> bool {
        let reserved = self.make_room(tokens);
        if reserved {
            self.reserved_tokens += tokens;
        }
        reserved
    }

    /// Frees the tokens of a reservation.
    pub(crate) fn unreserve(&mut self, tokens: u64) {
        self.reserved_tokens -= tokens;
    }

    /// Protects those of `blocks` that are present from eviction.
    pub(crate) fn pin(&mut self, blocks: &[BlockHash]) {
        for hash in blocks {
            if let Some(block) = self.blocks.get_mut(hash) {
                if block.pins == 0 {
                    self.idle.remove(&block.stamp);
                }
                block.pins += 1;
            }
        }
    }

    /// Removes one pin from each of `blocks`.
    ///
    /// The last block gets the oldest stamp, so that blocks are evicted before
    /// the prefix they depend on.
    pub(crate) fn unpin(&mut self, blocks: &[BlockHash]) {
        for hash in blocks.iter().rev() {
            let Some(block) = self.blocks.get_mut(hash) else {
                continue;
            };
            block.pins -= 1;
            if block.pins == 0 {
                block.stamp = self.next_stamp;
                self.next_stamp += 1;
                self.idle.insert(block.stamp, *hash);
            }
        }
    }

    /// Tokens freed by removing one pin from each of `blocks`, given the removed
    /// pins counted in `unpinned`; adds the new ones to that count.
    pub(crate) fn freed_by_unpinning(
        &self,
        blocks: &[BlockHash],
        unpinned: &mut HashMap<BlockHash, u32>,
    ) -> u64 {
        let mut freed_tokens = 0;
        for hash in blocks {
            let count = unpinned.entry(*hash).or_insert(0);
            *count += 1;
            let pins = self.blocks.get(hash).map(|block| block.pins);
            if pins == Some(*count) {
                freed_tokens += TOKENS_PER_BLOCK;
            }
        }
        freed_tokens
    }

    /// Converts one block of private tokens into a pinned prefix block.
    pub(crate) fn publish(&mut self, hash: BlockHash) {
        self.private_tokens -= TOKENS_PER_BLOCK;
        if self.blocks.contains_key(&hash) {
            self.pin(&[hash]);
            return;
        }
        self.blocks.insert(hash, Block { pins: 1, stamp: 0 });
        self.changes.stored.push(hash);
    }

    /// Adds a block computed by another engine. Returns false if there is no room.
    pub(crate) fn import(&mut self, hash: BlockHash) -> bool {
        if self.blocks.contains_key(&hash) {
            return true;
        }
        if !self.make_room(TOKENS_PER_BLOCK) {
            return false;
        }
        self.blocks.insert(hash, Block { pins: 1, stamp: 0 });
        self.changes.stored.push(hash);
        self.unpin(&[hash]);
        true
    }

    /// Evicts every block that is not pinned.
    pub(crate) fn clear_cache(&mut self) {
        for hash in std::mem::take(&mut self.idle).into_values() {
            self.blocks.remove(&hash);
            self.changes.evicted.push(hash);
        }
    }

    /// Whether a block is present.
    pub(crate) fn contains(&self, hash: BlockHash) -> bool {
        self.blocks.contains_key(&hash)
    }

    /// Returns the hashes of all present blocks in ascending order.
    pub(crate) fn blocks(&self) -> Vec<BlockHash> {
        let mut blocks: Vec<_> = self.blocks.keys().copied().collect();
        blocks.sort_unstable();
        blocks
    }

    /// Returns the changes since the last call and resets them.
    pub(crate) fn take_changes(&mut self) -> BlockChanges {
        std::mem::take(&mut self.changes)
    }

    fn make_room(&mut self, tokens: u64) -> bool {
        if tokens > self.available_tokens() {
            return false;
        }
        while self.free_tokens() < tokens {
            let Some((_, hash)) = self.idle.pop_first() else {
                return false;
            };
            self.blocks.remove(&hash);
            self.changes.evicted.push(hash);
        }
        true
    }

    fn free_tokens(&self) -> u64 {
        let blocks = self.blocks.len() as u64 * TOKENS_PER_BLOCK;
        let held = self.private_tokens + self.reserved_tokens + blocks;
        self.total_tokens.saturating_sub(held)
    }
}
