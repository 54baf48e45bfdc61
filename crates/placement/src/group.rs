//! The group of engines for a prompt that no single engine has memory for.
//!
//! Members are taken from the long end of the stable order, which every daemon
//! walks in the same direction: two daemons with two such prompts meet on the
//! same engines first, and the one that comes second is refused whole instead
//! of holding a part. A first walk takes only engines that are at most half
//! full, so that a second prompt finds other engines where there are any.

use crate::demand::NoEngine;

/// Part of an engine's memory that a group may take: the rest stays for the
/// short work that runs beside it.
const USABLE_SHARE: f64 = 0.9;

/// An engine that could be a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Room {
    /// Index in the stable order.
    pub(crate) index: usize,
    /// Memory, in tokens.
    pub(crate) total_tokens: u64,
    /// Memory in use, in tokens.
    pub(crate) used_tokens: u64,
}

/// Share of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Share {
    /// Index in the stable order.
    pub(crate) index: usize,
    /// Tokens to reserve.
    pub(crate) tokens: u64,
}

impl Room {
    fn usable_tokens(&self) -> u64 {
        (self.total_tokens as f64 * USABLE_SHARE) as u64
    }

    fn free_tokens(&self) -> u64 {
        self.usable_tokens().saturating_sub(self.used_tokens)
    }
}

/// Divides `needed_tokens` over engines, given from the short to the long end.
///
/// The shares sum to the need exactly, and none is beyond its member's memory.
///
/// # Errors
/// [`NoEngine::TooLarge`] when all of them together have too little memory.
pub(crate) fn plan(rooms: &[Room], needed_tokens: u64) -> Result<Vec<Share>, NoEngine> {
    let roomy = rooms
        .iter()
        .rev()
        .filter(|room| room.free_tokens() >= room.usable_tokens() / 2);
    let free = roomy.map(|room| (room.index, room.free_tokens()));
    if let Some(members) = take(free, needed_tokens) {
        return Ok(divide(&members, needed_tokens));
    }
    let whole = rooms
        .iter()
        .rev()
        .map(|room| (room.index, room.usable_tokens()));
    match take(whole, needed_tokens) {
        Some(members) => Ok(divide(&members, needed_tokens)),
        None => Err(NoEngine::TooLarge {
            needed_tokens,
            total_tokens: rooms.iter().map(Room::usable_tokens).sum(),
        }),
    }
}

/// The first members whose memory suffices.
fn take(
    rooms: impl Iterator<Item = (usize, u64)>,
    needed_tokens: u64,
) -> Option<Vec<(usize, u64)>> {
    let mut members = Vec::new();
    let mut sum_tokens = 0;
    for (index, tokens) in rooms.filter(|(_, tokens)| *tokens > 0) {
        members.push((index, tokens));
        sum_tokens += tokens;
        if sum_tokens >= needed_tokens {
            return Some(members);
        }
    }
    None
}

/// Shares in proportion to the members' memory.
fn divide(members: &[(usize, u64)], needed_tokens: u64) -> Vec<Share> {
    let mut left_tokens = needed_tokens;
    let mut left_memory: u64 = members.iter().map(|(_, tokens)| *tokens).sum();
    let mut shares = Vec::with_capacity(members.len());
    for (index, memory) in members {
        // Rounded down of what is left, so the last member takes all of the rest.
        let tokens = u128::from(left_tokens) * u128::from(*memory) / u128::from(left_memory);
        let tokens = u64::try_from(tokens).unwrap_or(left_tokens);
        left_tokens -= tokens;
        left_memory -= memory;
        shares.push(Share {
            index: *index,
            tokens,
        });
    }
    shares
}
