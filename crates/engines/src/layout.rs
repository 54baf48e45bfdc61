//! Placement of a prompt's memory, and choice of the answering engine.

use std::rc::Rc;

use mangofront_routes::EngineProfile;
use mangofront_settings::process::ChoiceOptions;

use crate::choose::{Candidate, Choice, Demand, NoUpstream, Share};
use crate::cost::pass_ms;
use crate::work::ShareLoad;

/// Memory of a candidate that may be used, in tokens.
fn usable_tokens(candidate: &Candidate<'_>, options: &ChoiceOptions) -> u64 {
    let profile = candidate.upstream.profile.as_ref();
    let total = profile.map_or(0, |profile| profile.memory_tokens);
    (total as f64 * options.memory_share) as u64
}

/// Usable memory of a candidate that is not allocated, in tokens.
pub(crate) fn free_tokens(candidate: &Candidate<'_>, options: &ChoiceOptions) -> u64 {
    usable_tokens(candidate, options).saturating_sub(candidate.load.memory_tokens)
}

/// Chooses the engine that answers, and where the prompt's memory is allocated.
///
/// Prefers one of the chosen engines with room for the whole prompt, then any other engine with
/// room, one with a slot if there is any, as a reservation costs a round trip before the prefill. A
/// prompt that has been held long enough, and would fit into one engine if that were idle, joins the
/// queue of the engine with the least memory in use.
pub(crate) fn assign_memory(
    candidates: &[Candidate<'_>],
    chosen: &[usize],
    others: &[usize],
    profile: &Rc<EngineProfile>,
    demand: &Demand,
    options: &ChoiceOptions,
    has_waited: bool,
) -> Result<Choice, NoUpstream> {
    let needed_tokens = demand.prompt_tokens + demand.answer_limit_tokens;
    let free = |index: usize| free_tokens(&candidates[index], options);
    let fits = |index: &usize| free(*index) >= needed_tokens;
    // An engine that decodes even one answer spends half of its time on it, so engines that already
    // decode take the next answer too, and the others only prefill.
    let answering = |index: &usize| {
        let candidate = &candidates[*index];
        let is_full = candidate.load.running() >= candidate.upstream.slots();
        (is_full, std::cmp::Reverse(candidate.load.decoding))
    };
    let mut order = chosen.to_vec();
    let with_room = chosen.iter().copied().filter(fits).min_by_key(answering);
    let has_slot = |index: &usize| candidates[*index].has_slot(options);
    let mut others_with_room = others.iter().copied().filter(fits).peekable();
    let first_with_room = others_with_room.peek().copied();
    let with_room = with_room
        .or_else(|| others_with_room.find(has_slot))
        .or(first_with_room);
    if let Some(first) = with_room {
        move_to_front(&mut order, first);
        let no_reservations = vec![None; order.len()];
        return Ok(build_choice(
            candidates,
            &order,
            &no_reservations,
            profile,
            demand,
        ));
    }
    match spread_memory(candidates, chosen, others, demand, options) {
        Some((order, reservations)) => Ok(build_choice(
            candidates,
            &order,
            &reservations,
            profile,
            demand,
        )),
        None if has_waited && needed_tokens <= usable_tokens(&candidates[order[0]], options) => {
            let used = |index: &usize| candidates[*index].load.memory_tokens;
            let roomiest = (0..candidates.len()).min_by_key(used);
            let first = roomiest.unwrap_or(order[0]);
            move_to_front(&mut order, first);
            let no_reservations = vec![None; order.len()];
            Ok(build_choice(
                candidates,
                &order,
                &no_reservations,
                profile,
                demand,
            ))
        }
        None => Err(NoUpstream::TooLarge),
    }
}

/// Moves an engine to the front; if it is not in the list it replaces the last one.
fn move_to_front(order: &mut Vec<usize>, first: usize) {
    let before = order.len();
    order.retain(|index| *index != first);
    if order.len() == before {
        order.pop();
    }
    order.insert(0, first);
}

/// An order of engines with the memory reservations at each.
type ReservedOrder = (Vec<usize>, Vec<Option<u64>>);

/// Spreads a prompt's memory over reservations on as few engines as can hold it.
///
/// The engine that answers keeps the remainder and has room for the answer. Engines that were not
/// chosen for prefill join only if the chosen ones have too little memory.
fn spread_memory(
    candidates: &[Candidate<'_>],
    chosen: &[usize],
    others: &[usize],
    demand: &Demand,
    options: &ChoiceOptions,
) -> Option<ReservedOrder> {
    let free = |index: usize| free_tokens(&candidates[index], options);
    let mut order = chosen.to_vec();
    order.sort_by_key(|index| std::cmp::Reverse(free(*index)));
    let mut spare = others.iter();
    let room = |order: &[usize]| order.iter().map(|index| free(*index)).sum::<u64>();
    while room(&order) < demand.prompt_tokens + demand.answer_limit_tokens {
        if order.len() > options.helpers_limit {
            return None;
        }
        order.push(*spare.next()?);
        order.sort_by_key(|index| std::cmp::Reverse(free(*index)));
    }
    let local_tokens = free(*order.first()?).saturating_sub(demand.answer_limit_tokens);
    let mut remaining_tokens = demand.prompt_tokens.saturating_sub(local_tokens);
    let mut reservations = vec![None];
    for index in order.iter().skip(1) {
        let share_tokens = free(*index).min(remaining_tokens);
        reservations.push(Some(share_tokens).filter(|tokens| *tokens > 0));
        remaining_tokens -= share_tokens;
    }
    (remaining_tokens == 0).then_some((order, reservations))
}

fn build_choice(
    candidates: &[Candidate<'_>],
    order: &[usize],
    reservations: &[Option<u64>],
    profile: &Rc<EngineProfile>,
    demand: &Demand,
) -> Choice {
    let count = order.len() as u64;
    let prefill_ms = profile.prefill_ms(demand.prompt_tokens) / count as f64;
    let reserved_tokens: u64 = reservations.iter().flatten().sum();
    let local_tokens = demand.prompt_tokens.saturating_sub(reserved_tokens);
    let mut first_event_ms = 0.0_f64;
    let mut queue_ms = 0.0_f64;
    let mut shares = Vec::with_capacity(order.len());
    let mut loads = Vec::with_capacity(order.len());
    for (position, index) in order.iter().enumerate() {
        let candidate = &candidates[*index];
        let load = &candidate.load;
        let pass_ms = pass_ms(candidate, load.decoding, load.context_tokens);
        first_event_ms = first_event_ms.max(pass_ms / 2.0 + load.backlog_ms + prefill_ms);
        queue_ms = queue_ms.max(load.backlog_ms);
        let (memory_tokens, context_tokens) = match (position, reservations[position]) {
            (0, _) => (
                local_tokens + demand.answer_limit_tokens,
                local_tokens.max(1),
            ),
            (_, Some(tokens)) => (tokens, tokens),
            (_, None) => (0, 0),
        };
        loads.push(ShareLoad {
            upstream: candidate.upstream.key,
            prefill_ms,
            memory_tokens,
            context_tokens,
        });
        shares.push(Share {
            upstream: candidate.upstream.registration.clone(),
            reserve_tokens: reservations[position],
        });
    }
    let load = &candidates[order[0]].load;
    first_event_ms += profile.pass_ms(load.decoding + 1, load.context_tokens + local_tokens);
    Choice {
        shares,
        loads,
        first_event_ms,
        queue_ms,
        saved_ms: match order {
            [whole] => -candidates[*whole].prefix_correction_ms,
            _ => 0.0,
        },
    }
}
