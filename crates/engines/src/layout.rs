//! Where a prompt's memory lies, and who answers.

use std::rc::Rc;

use mangofront_routes::EngineProfile;
use mangofront_settings::process::ChoiceOptions;

use crate::choose::{Candidate, Choice, Demand, NoUpstream, Share};
use crate::weigh::pass_ms;
use crate::work::Part;

/// Memory of a candidate that is planned with, in tokens.
fn planned_tokens(candidate: &Candidate<'_>, options: &ChoiceOptions) -> u64 {
    let figures = candidate.known.figures.as_ref();
    let total = figures.map_or(0, |figures| figures.memory_tokens);
    (total as f64 * options.memory_share) as u64
}

/// Memory of a candidate that is not set aside, in tokens.
fn free_tokens(candidate: &Candidate<'_>, options: &ChoiceOptions) -> u64 {
    planned_tokens(candidate, options).saturating_sub(candidate.load.memory_tokens)
}

/// Decides who answers, and where the prompt's memory lies.
///
/// Best is one of the chosen engines with room for the whole prompt, then any
/// other with room, as a reservation costs a round trip before the prompt is
/// read. A prompt that has waited long enough, and would fit into one engine but
/// for what runs there now, goes into the queue of the one with most room.
pub(crate) fn lay_out(
    candidates: &[Candidate<'_>],
    chosen: &[usize],
    others: &[usize],
    figures: &Rc<EngineProfile>,
    demand: &Demand,
    options: &ChoiceOptions,
    has_waited: bool,
) -> Result<Choice, NoUpstream> {
    let needed_tokens = demand.prompt_tokens + demand.answer_limit_tokens;
    let free = |index: usize| free_tokens(&candidates[index], options);
    let fits = |index: &usize| free(*index) >= needed_tokens;
    // An engine that writes for one spends half of its time on that, so those
    // that write already take the next one too and the others only read.
    let answering = |index: &usize| {
        let candidate = &candidates[*index];
        let is_full = candidate.load.running() >= candidate.known.slots();
        (is_full, std::cmp::Reverse(candidate.load.writers))
    };
    let mut order = chosen.to_vec();
    let with_room = chosen.iter().copied().filter(fits).min_by_key(answering);
    let with_room = with_room.or_else(|| others.iter().copied().find(fits));
    if let Some(first) = with_room {
        put_first(&mut order, first);
        let unreserved = vec![None; order.len()];
        return Ok(choice(candidates, &order, &unreserved, figures, demand));
    }
    match spread(candidates, chosen, others, demand, options) {
        Some((order, reserved)) => Ok(choice(candidates, &order, &reserved, figures, demand)),
        None if has_waited && needed_tokens <= planned_tokens(&candidates[order[0]], options) => {
            let taken = |index: &usize| candidates[*index].load.memory_tokens;
            let roomiest = (0..candidates.len()).min_by_key(taken);
            let first = roomiest.unwrap_or(order[0]);
            put_first(&mut order, first);
            let unreserved = vec![None; order.len()];
            Ok(choice(candidates, &order, &unreserved, figures, demand))
        }
        None => Err(NoUpstream::TooLarge),
    }
}

/// Moves an engine to the front; one that is not there yet takes the last one's place.
fn put_first(order: &mut Vec<usize>, first: usize) {
    let before = order.len();
    order.retain(|index| *index != first);
    if order.len() == before {
        order.pop();
    }
    order.insert(0, first);
}

/// An order of engines with the memory reserved at each.
type Spread = (Vec<usize>, Vec<Option<u64>>);

/// Spreads a prompt's memory over reservations at as few engines as hold it.
///
/// The engine that answers keeps the rest, which has room for the answer. Engines
/// that were not chosen to read join only when the chosen ones have too little.
fn spread(
    candidates: &[Candidate<'_>],
    chosen: &[usize],
    others: &[usize],
    demand: &Demand,
    options: &ChoiceOptions,
) -> Option<Spread> {
    let free = |index: usize| free_tokens(&candidates[index], options);
    let mut order = chosen.to_vec();
    order.sort_by_key(|index| std::cmp::Reverse(free(*index)));
    let mut joining = others.iter();
    let room = |order: &[usize]| order.iter().map(|index| free(*index)).sum::<u64>();
    while room(&order) < demand.prompt_tokens + demand.answer_limit_tokens {
        if order.len() > options.helpers_limit {
            return None;
        }
        order.push(*joining.next()?);
        order.sort_by_key(|index| std::cmp::Reverse(free(*index)));
    }
    let kept_tokens = free(*order.first()?).saturating_sub(demand.answer_limit_tokens);
    let mut left_tokens = demand.prompt_tokens.saturating_sub(kept_tokens);
    let mut reserved = vec![None];
    for index in order.iter().skip(1) {
        let taken_tokens = free(*index).min(left_tokens);
        reserved.push(Some(taken_tokens).filter(|tokens| *tokens > 0));
        left_tokens -= taken_tokens;
    }
    (left_tokens == 0).then_some((order, reserved))
}

fn choice(
    candidates: &[Candidate<'_>],
    order: &[usize],
    reserved: &[Option<u64>],
    figures: &Rc<EngineProfile>,
    demand: &Demand,
) -> Choice {
    let count = order.len() as u64;
    let read_ms = figures.prefill_ms(demand.prompt_tokens) / count as f64;
    let reserved_tokens: u64 = reserved.iter().flatten().sum();
    let kept_tokens = demand.prompt_tokens.saturating_sub(reserved_tokens);
    let mut first_event_ms = 0.0_f64;
    let mut queue_ms = 0.0_f64;
    let mut shares = Vec::with_capacity(order.len());
    let mut parts = Vec::with_capacity(order.len());
    for (place, index) in order.iter().enumerate() {
        let candidate = &candidates[*index];
        let load = &candidate.load;
        let pass = pass_ms(candidate, load.writers, load.context_tokens);
        first_event_ms = first_event_ms.max(pass / 2.0 + load.backlog_ms + read_ms);
        queue_ms = queue_ms.max(load.backlog_ms);
        let (memory_tokens, context_tokens) = match (place, reserved[place]) {
            (0, _) => (kept_tokens + demand.answer_limit_tokens, kept_tokens.max(1)),
            (_, Some(tokens)) => (tokens, tokens),
            (_, None) => (0, 0),
        };
        parts.push(Part {
            upstream: candidate.known.key,
            read_ms,
            memory_tokens,
            context_tokens,
        });
        shares.push(Share {
            upstream: candidate.known.info.clone(),
            reserve_tokens: reserved[place],
        });
    }
    let load = &candidates[order[0]].load;
    first_event_ms += figures.pass_ms(load.writers + 1, load.context_tokens + kept_tokens);
    Choice {
        shares,
        parts,
        first_event_ms,
        queue_ms,
    }
}
