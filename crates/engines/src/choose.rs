//! The choice of the upstreams for one request.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_routes::{EngineFigures, Upstream};
use thiserror::Error;

use crate::options::ChoiceOptions;
use crate::upstream::{Known, Load};
use crate::work::Part;

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Tokens of the prompt; 0 for a request of a plain service.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub answer_limit_tokens: u64,
    /// Longest pause between events of an answer in time.
    pub gap: Duration,
    /// Time after which the request has ended for certain.
    pub time_left: Duration,
}

/// Why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoUpstream {
    /// None is known that is not leaving.
    #[error("no upstream of the service is known")]
    NoneKnown,
    /// Every one was tried or has failed lately.
    #[error("every upstream of the service was tried already")]
    AllTried,
    /// The prompt does not fit into the memory of all engines.
    #[error("the prompt is larger than the engines' memory")]
    TooLarge,
}

/// One upstream's share in a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Reader {
    /// The upstream.
    pub upstream: Upstream,
    /// Memory to be reserved there, in tokens; none where the request needs no reservation.
    pub reserve_tokens: Option<u64>,
}

/// An upstream that may be chosen, with its load.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) known: &'a Known,
    pub(crate) load: Load,
    /// Place in the order that all daemons share.
    pub(crate) rank: usize,
}

/// The choice for one request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) readers: Vec<Reader>,
    pub(crate) parts: Vec<Part>,
    pub(crate) first_event_ms: f64,
}

/// What is the same for all candidates.
struct Weighing<'a> {
    options: &'a ChoiceOptions,
    availability_zone: &'a str,
    count: usize,
    is_long: bool,
}

/// Chooses among the upstreams of a plain service: the least loaded one.
pub(crate) fn choose_plain(
    candidates: &[Candidate<'_>],
    options: &ChoiceOptions,
    availability_zone: &str,
    turn: u64,
) -> Option<Choice> {
    let count = candidates.len() as u64;
    let order = |candidate: &Candidate<'_>| {
        let slots = candidate.known.slots().max(1);
        let share = candidate.load.answering * 1_000 / slots;
        let is_elsewhere = candidate.known.info.availability_zone != availability_zone;
        let detour = u32::from(is_elsewhere) * options.other_zone_cost_ms as u32;
        (share + detour, (candidate.rank as u64 + turn) % count)
    };
    let best = candidates.iter().min_by_key(|candidate| order(candidate))?;
    Some(Choice {
        readers: vec![Reader {
            upstream: best.known.info.clone(),
            reserve_tokens: None,
        }],
        parts: vec![Part {
            upstream: best.known.key,
            read_ms: 0.0,
            memory_tokens: 0,
            context_tokens: 0,
        }],
        first_event_ms: 0.0,
    })
}

/// Chooses the engine that answers and those that read parts of the prompt.
pub(crate) fn choose_engines(
    candidates: &[Candidate<'_>],
    figures: &Rc<EngineFigures>,
    demand: &Demand,
    options: &ChoiceOptions,
    availability_zone: &str,
) -> Result<Choice, NoUpstream> {
    let read_ms = figures.read_ms(demand.prompt_tokens);
    let weighing = Weighing {
        options,
        availability_zone,
        count: candidates.len(),
        is_long: read_ms > options.long_read_ms,
    };
    let most = candidates.len().min(options.helpers_limit + 1);
    let mut best: Option<(f64, Vec<usize>)> = None;
    for count in 1..=most {
        let part_ms = read_ms / count as f64;
        let mut costs: Vec<(f64, usize)> = candidates
            .iter()
            .enumerate()
            .map(|(index, candidate)| (weighing.cost_ms(candidate, part_ms), index))
            .collect();
        costs.sort_by(|one, other| one.0.total_cmp(&other.0));
        costs.truncate(count);
        let slowest_ms = costs.last().map_or(0.0, |(cost_ms, _)| *cost_ms);
        let total_ms = slowest_ms + options.helper_cost_ms * count as f64;
        if best.as_ref().is_none_or(|(least_ms, _)| total_ms < *least_ms) {
            best = Some((total_ms, costs.into_iter().map(|(_, index)| index).collect()));
        }
    }
    let (_, chosen) = best.ok_or(NoUpstream::AllTried)?;
    lay_out(candidates, &chosen, figures, demand, options)
}

impl Weighing<'_> {
    /// Time until a part is read here, with what it does to others, in milliseconds.
    fn cost_ms(&self, candidate: &Candidate<'_>, part_ms: f64) -> f64 {
        let load = &candidate.load;
        let pass_ms = pass_ms(candidate, load.writers, load.context_tokens);
        let mut cost_ms = pass_ms / 2.0 + load.backlog_ms + part_ms;
        if let Some(gap_ms) = load.least_gap_ms {
            let pause_ms = pass_ms + load.backlog_ms + part_ms;
            if pause_ms > gap_ms * self.options.gap_share {
                cost_ms += self.options.broken_gap_cost_ms * f64::from(load.writers);
            }
        }
        let place = if self.is_long {
            self.count - 1 - candidate.rank
        } else {
            candidate.rank
        };
        cost_ms += self.options.rank_cost_ms * place as f64;
        if candidate.known.info.availability_zone != self.availability_zone {
            cost_ms += self.options.other_zone_cost_ms;
        }
        let slots = candidate.known.slots();
        if load.answering >= slots || load.helping >= slots {
            cost_ms += self.options.full_cost_ms;
        }
        cost_ms
    }
}

fn pass_ms(candidate: &Candidate<'_>, writers: u32, context_tokens: u64) -> f64 {
    let figures = candidate.known.figures.as_ref();
    figures.map_or(0.0, |figures| figures.pass_ms(writers, context_tokens))
}

/// Memory of a candidate that is not set aside, in tokens.
fn free_tokens(candidate: &Candidate<'_>, options: &ChoiceOptions) -> u64 {
    let total = candidate
        .known
        .figures
        .as_ref()
        .map_or(0, |figures| figures.memory_tokens);
    let planned = (total as f64 * options.memory_share) as u64;
    planned.saturating_sub(candidate.load.memory_tokens)
}

/// Decides who of the chosen answers, and where the prompt's memory lies.
fn lay_out(
    candidates: &[Candidate<'_>],
    chosen: &[usize],
    figures: &Rc<EngineFigures>,
    demand: &Demand,
    options: &ChoiceOptions,
) -> Result<Choice, NoUpstream> {
    let needed_tokens = demand.prompt_tokens + demand.answer_limit_tokens;
    let mut order = chosen.to_vec();
    let answering = |index: &usize| {
        let candidate = &candidates[*index];
        let fits = free_tokens(candidate, options) >= needed_tokens;
        let is_full = candidate.load.answering >= candidate.known.slots();
        (!fits, is_full, candidate.load.answering)
    };
    if let Some(first) = order.iter().copied().min_by_key(answering) {
        order.retain(|index| *index != first);
        order.insert(0, first);
    }
    let fits = free_tokens(&candidates[order[0]], options) >= needed_tokens;
    let mut reserved: Vec<Option<u64>> = vec![None; order.len()];
    if !fits {
        (order, reserved) = spread(candidates, order, needed_tokens, demand, options)?;
    }
    Ok(choice(candidates, &order, &reserved, figures, demand))
}

/// Spreads a prompt's memory over reservations at further engines.
///
/// The engine that answers keeps the rest, which has room for the answer. Engines
/// that were not chosen to read join when the chosen ones have too little.
fn spread(
    candidates: &[Candidate<'_>],
    chosen: Vec<usize>,
    needed_tokens: u64,
    demand: &Demand,
    options: &ChoiceOptions,
) -> Result<(Vec<usize>, Vec<Option<u64>>), NoUpstream> {
    let free = |index: usize| free_tokens(&candidates[index], options);
    let by_room = |indices: &mut Vec<usize>| {
        indices.sort_by_key(|index| std::cmp::Reverse(free(*index)));
    };
    let mut order = chosen;
    by_room(&mut order);
    let mut others: Vec<usize> = (0..candidates.len())
        .filter(|index| !order.contains(index))
        .collect();
    by_room(&mut others);
    order.extend(others);
    order.truncate(options.helpers_limit + 1);
    let first_tokens = free(order[0]).saturating_sub(demand.answer_limit_tokens);
    let mut left = needed_tokens
        .saturating_sub(demand.answer_limit_tokens)
        .saturating_sub(first_tokens);
    let mut reserved = vec![None; order.len()];
    for (place, index) in order.iter().enumerate().skip(1) {
        if left == 0 {
            break;
        }
        let taken = free(*index).min(left);
        if taken > 0 {
            reserved[place] = Some(taken);
            left -= taken;
        }
    }
    if left > 0 {
        return Err(NoUpstream::TooLarge);
    }
    Ok((order, reserved))
}

fn choice(
    candidates: &[Candidate<'_>],
    order: &[usize],
    reserved: &[Option<u64>],
    figures: &Rc<EngineFigures>,
    demand: &Demand,
) -> Choice {
    let count = order.len() as u64;
    let read_ms = figures.read_ms(demand.prompt_tokens) / count as f64;
    let reserved_tokens: u64 = reserved.iter().flatten().sum();
    let kept_tokens = demand.prompt_tokens.saturating_sub(reserved_tokens);
    let mut first_event_ms = 0.0_f64;
    let mut readers = Vec::with_capacity(order.len());
    let mut parts = Vec::with_capacity(order.len());
    for (place, index) in order.iter().enumerate() {
        let candidate = &candidates[*index];
        let load = &candidate.load;
        let pass = pass_ms(candidate, load.writers, load.context_tokens);
        first_event_ms = first_event_ms.max(pass / 2.0 + load.backlog_ms + read_ms);
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
        readers.push(Reader {
            upstream: candidate.known.info.clone(),
            reserve_tokens: reserved[place],
        });
    }
    let load = &candidates[order[0]].load;
    first_event_ms += figures.pass_ms(load.writers + 1, load.context_tokens + kept_tokens);
    Choice {
        readers,
        parts,
        first_event_ms,
    }
}

/// Latest moment at which a request can still be known of.
pub(crate) fn expiry(demand: &Demand, now: Instant) -> Instant {
    now + demand.time_left
}
