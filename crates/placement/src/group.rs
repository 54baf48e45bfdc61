//! Selects a group of engines for a prompt that exceeds every engine's memory.
//!
//! All daemons take members from the long end of the stable order in the same
//! direction. Two daemons that place such prompts at the same time thus contend
//! for the same engines first, and the second one is refused entirely instead of
//! holding part of the memory. A first pass considers only engines that are at
//! most half full, so that a second prompt gets other engines if there are any.

use crate::request::NoEngine;

/// Share of an engine's KV memory that a group may use; the rest is left for
/// short requests that run concurrently.
const MAX_GROUP_MEMORY_SHARE: f64 = 0.9;

/// KV memory of an engine that could be a member.
#[derive(Debug, Clone, Copy)]
pub(crate) struct MemberCapacity {
    /// Index in the stable order.
    pub(crate) index: usize,
    /// Total memory, in tokens.
    pub(crate) total_tokens: u64,
    /// Memory in use, in tokens.
    pub(crate) used_tokens: u64,
}

/// One member's share of the prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Share {
    /// Index in the stable order.
    pub(crate) index: usize,
    /// Tokens of memory to reserve.
    pub(crate) tokens: u64,
}

impl MemberCapacity {
    fn usable_tokens(&self) -> u64 {
        (self.total_tokens as f64 * MAX_GROUP_MEMORY_SHARE) as u64
    }

    fn free_tokens(&self) -> u64 {
        self.usable_tokens().saturating_sub(self.used_tokens)
    }
}

/// Divides `needed_tokens` among engines, given from the short to the long end.
///
/// The shares sum to exactly `needed_tokens`, and none exceeds its member's
/// memory.
///
/// # Errors
/// [`NoEngine::TooLarge`] if the engines have too little memory in total.
pub(crate) fn plan_group(
    member_capacities: &[MemberCapacity],
    needed_tokens: u64,
) -> Result<Vec<Share>, NoEngine> {
    let half_free = member_capacities
        .iter()
        .rev()
        .filter(|capacity| capacity.free_tokens() >= capacity.usable_tokens() / 2);
    let free = half_free.map(|capacity| (capacity.index, capacity.free_tokens()));
    if let Some(members) = take_members(free, needed_tokens) {
        return Ok(divide_tokens(&members, needed_tokens));
    }
    let any_load = member_capacities
        .iter()
        .rev()
        .map(|capacity| (capacity.index, capacity.usable_tokens()));
    match take_members(any_load, needed_tokens) {
        Some(members) => Ok(divide_tokens(&members, needed_tokens)),
        None => Err(NoEngine::TooLarge {
            needed_tokens,
            total_tokens: member_capacities
                .iter()
                .map(MemberCapacity::usable_tokens)
                .sum(),
        }),
    }
}

/// Takes engines in order until their memory suffices.
fn take_members(
    member_capacities: impl Iterator<Item = (usize, u64)>,
    needed_tokens: u64,
) -> Option<Vec<(usize, u64)>> {
    let mut members = Vec::new();
    let mut sum_tokens = 0;
    for (index, tokens) in member_capacities.filter(|(_, tokens)| *tokens > 0) {
        members.push((index, tokens));
        sum_tokens += tokens;
        if sum_tokens >= needed_tokens {
            return Some(members);
        }
    }
    None
}

/// Computes shares in proportion to the members' memory.
fn divide_tokens(members: &[(usize, u64)], needed_tokens: u64) -> Vec<Share> {
    let mut left_tokens = needed_tokens;
    let mut left_memory: u64 = members.iter().map(|(_, tokens)| *tokens).sum();
    let mut shares = Vec::with_capacity(members.len());
    for (index, memory) in members {
        // Rounds down the proportion of the remainder, so the last member gets
        // exactly what is left.
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
