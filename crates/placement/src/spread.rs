//! Long prompts that one engine would hold, computed by several for speed.
//!
//! A prompt that brings minutes of prefill waits for itself above all. Computed
//! in equal parts on several engines it starts sooner, and the work in sum is
//! the same; so it is spread whenever that is expected to gain a good deal.
//! Not when much of it is cached, since parts are computed anew. Members are
//! those that would be through first, and are asked for memory from the long
//! end, as for prompts that no engine holds.

use crate::bars::{kv_tokens, needed_tokens};
use crate::choose::{Choice, Weighed, group_choice};
use crate::estimate::{Asked, weigh_share};
use crate::group::{Room, Share, divide};
use crate::model::Model;

/// Shortest prompt that is spread, in tokens.
const MIN_LENGTH_TOKENS: u64 = 65_536;

/// Least part of one member, in tokens.
const MIN_PART_TOKENS: u64 = 16_384;

/// Most members.
const MAX_MEMBERS: u64 = 16;

/// Share of the prompt from which what one engine has cached is a loss.
const MAX_CACHED_SHARE: f64 = 0.1;

/// Time to first token that a group must come below, as a share of one
/// engine's, when it computes anew what that engine has cached.
const WORTH_ANEW: f64 = 0.4;

/// Time to first token that each doubling of the members must come below, as a
/// share of that before it.
const WORTH: f64 = 0.75;

/// The group that would start the request much sooner than `single`, if any.
pub(crate) fn spread(
    model: &Model,
    asked: &Asked<'_>,
    usable: &[Weighed],
    single: &Weighed,
) -> Option<Choice> {
    let length_tokens = asked.demand.length_tokens;
    if length_tokens < MIN_LENGTH_TOKENS {
        return None;
    }
    let terms = &single.terms;
    let is_cached = terms.cached_tokens as f64 > MAX_CACHED_SHARE * length_tokens as f64;
    let worth = if is_cached { WORTH_ANEW } else { WORTH };
    let least = terms.estimate.time_to_first_token.mul_f64(worth);
    best_group(model, asked, usable)
        .filter(|group| group.terms.estimate.time_to_first_token < least)
}

/// The group of `members` that is worth its size, if any has room.
pub(crate) fn best_group(model: &Model, asked: &Asked<'_>, members: &[Weighed]) -> Option<Choice> {
    let most = (asked.demand.length_tokens / MIN_PART_TOKENS).min(MAX_MEMBERS);
    let mut best: Option<Choice> = None;
    let mut count = 2;
    while count <= most {
        if let Some(group) = group_of(model, asked, members, count) {
            let first_token = group.terms.estimate.time_to_first_token;
            let is_worth = best.as_ref().is_none_or(|best| {
                first_token < best.terms.estimate.time_to_first_token.mul_f64(WORTH)
            });
            if is_worth {
                best = Some(group);
            }
        }
        count *= 2;
    }
    best
}

/// The `count` engines that would be through first with an equal part each.
fn group_of(model: &Model, asked: &Asked<'_>, usable: &[Weighed], count: u64) -> Option<Choice> {
    let needed_tokens = needed_tokens(asked.demand);
    let part_tokens = needed_tokens.div_ceil(count);
    let mut members: Vec<_> = usable
        .iter()
        .filter(|weighed| !weighed.is_held_back())
        .filter_map(|weighed| {
            let engine = model.order[weighed.index].borrow();
            let room = Room {
                index: weighed.index,
                total_tokens: kv_tokens(&engine, asked)?,
                used_tokens: engine.used_tokens(),
            };
            let has_room = room.free_tokens() >= part_tokens;
            let terms = weigh_share(&engine, asked, 0, part_tokens, part_tokens);
            has_room.then_some((terms.estimate.time_to_first_token, weighed.index))
        })
        .collect();
    let count = usize::try_from(count).ok()?;
    if members.len() < count {
        return None;
    }
    members.sort_unstable();
    members.truncate(count);
    members.sort_unstable_by_key(|(_, index)| std::cmp::Reverse(*index));
    let equal: Vec<_> = members.iter().map(|(_, index)| (*index, 1)).collect();
    let shares: Vec<Share> = divide(&equal, needed_tokens);
    Some(group_choice(model, asked, &shares))
}
