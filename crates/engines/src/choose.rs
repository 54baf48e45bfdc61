//! The choice of the upstreams for one request.

use std::rc::Rc;
use std::time::Duration;

use mangofront_routes::{EngineFigures, Upstream};
use thiserror::Error;

use crate::layout::lay_out;
use crate::upstream::{Known, Load};
use crate::work::Part;
use mangofront_settings::process::ChoiceOptions;

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Tokens of the prompt; 0 for a request of a plain service.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub answer_limit_tokens: u64,
    /// Longest pause between events of an answer in time.
    pub gap: Duration,
    /// Time to the first event that is aimed at.
    pub target: Duration,
    /// Time since the request came.
    pub elapsed: Duration,
    /// Time for which the request has waited for engines with less to do.
    pub waited: Duration,
    /// Time after which the request has ended for certain.
    pub time_left: Duration,
    /// Whether it is among those to be refused when the engines are overrun.
    pub is_sheddable: bool,
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
    /// Engines have too much to do for a prompt of this length; ask again soon.
    #[error("the engines are busy")]
    Busy,
    /// Engines are overrun, and a prompt of this length would hold up many others.
    #[error("the engines are overrun")]
    Overrun,
    /// No engine can take one more request for now.
    #[error("every slot of the engines is taken")]
    Full,
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

impl Candidate<'_> {
    /// Whether a further request would find a slot, or one of the few places to wait.
    fn has_slot(&self, options: &ChoiceOptions) -> bool {
        self.load.running() < self.known.slots() + options.queued_requests
    }
}

/// The choice for one request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) readers: Vec<Reader>,
    pub(crate) parts: Vec<Part>,
    pub(crate) first_event_ms: f64,
    /// Longest queue before the chosen upstreams, in milliseconds.
    pub(crate) queue_ms: f64,
}

/// What besides the upstreams and the request decides.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Circumstances<'a> {
    /// Availability zone of this daemon.
    pub(crate) availability_zone: &'a str,
    /// Shortest pause that any request so far allowed.
    pub(crate) shortest_gap: Duration,
    /// Other daemons that choose at the same time.
    pub(crate) daemons: usize,
    /// A number that differs from request to request and between daemons.
    pub(crate) draw: u64,
    /// Whether this daemon has just started and may not know of the others' requests.
    pub(crate) is_settling: bool,
    /// Whether the request may be refused when engines are overrun.
    pub(crate) may_refuse: bool,
}

/// What is the same for all candidates.
#[derive(Clone, Copy)]
struct Weighing<'a> {
    options: &'a ChoiceOptions,
    availability_zone: &'a str,
    count: usize,
    /// Whether the answer allows only pauses about as short as any.
    is_brisk: bool,
    /// Longest pause that the request's own answer allows, in milliseconds.
    gap_ms: f64,
    /// Cost of each answer whose pause would get too long, in milliseconds.
    broken_gap_cost_ms: f64,
    /// Share in which other daemons' unknown requests count.
    crowd_share: f64,
    /// Difference in cost up to which engines count as equal, in milliseconds.
    tie_ms: f64,
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
        queue_ms: 0.0,
    })
}

/// Chooses the engine that answers and those that read parts of the prompt.
pub(crate) fn choose_engines(
    candidates: &[Candidate<'_>],
    figures: &Rc<EngineFigures>,
    demand: &Demand,
    options: &ChoiceOptions,
    circumstances: Circumstances<'_>,
) -> Result<Choice, NoUpstream> {
    if !candidates.iter().any(|one| one.has_slot(options)) {
        return Err(NoUpstream::Full);
    }
    let read_ms = figures.read_ms(demand.prompt_tokens);
    let crowd_share = options.crowd_share(circumstances.daemons);
    let careful = Weighing {
        options,
        availability_zone: circumstances.availability_zone,
        count: candidates.len(),
        is_brisk: demand.gap <= circumstances.shortest_gap.mul_f64(options.brisk_factor),
        gap_ms: demand.gap.as_secs_f64() * 1_000.0,
        broken_gap_cost_ms: options.broken_gap_cost_ms,
        crowd_share,
        tie_ms: match circumstances.is_settling {
            true => options.settling_tie_ms,
            false => options.tie_ms * crowd_share,
        },
    };
    let has_waited = demand.waited >= demand.target.mul_f64(options.wait_targets);
    let bold = Weighing {
        broken_gap_cost_ms: options.broken_gap_cost_ms * options.bold_share,
        ..careful
    };
    let chosen = careful.cheapest(candidates, read_ms, circumstances.draw);
    let (weighing, chosen) = match queue(
        candidates,
        &chosen,
        read_ms,
        demand,
        options,
        circumstances.may_refuse,
    ) {
        Queue::Short => (&careful, chosen),
        Queue::Long if !has_waited => return Err(NoUpstream::Busy),
        Queue::Long => {
            let boldly = bold.cheapest(candidates, read_ms, circumstances.draw);
            if careful.is_worth_it(candidates, &chosen, &boldly, read_ms, demand) {
                (&bold, boldly)
            } else if demand.elapsed < demand.target.mul_f64(options.late_targets) {
                return Err(NoUpstream::Busy);
            } else {
                (&careful, chosen)
            }
        }
        Queue::Overrun => return Err(NoUpstream::Overrun),
    };
    let part_ms = read_ms / chosen.len().max(1) as f64;
    let by_cost = |index: &usize| weighing.cost_ms(&candidates[*index], part_ms);
    let mut others: Vec<usize> = (0..candidates.len())
        .filter(|index| !chosen.contains(index))
        .collect();
    others.sort_by(|one, other| by_cost(one).total_cmp(&by_cost(other)));
    match lay_out(
        candidates, &chosen, &others, figures, demand, options, has_waited,
    ) {
        Err(NoUpstream::TooLarge) if !has_waited => Err(NoUpstream::Busy),
        laid_out => laid_out,
    }
}

/// The queue before the engines that were chosen for a prompt.
enum Queue {
    /// The prompt may join it.
    Short,
    /// The prompt has to wait for a shorter one.
    Long,
    /// The prompt is to be refused.
    Overrun,
}

/// Judges the queue before the chosen engines.
///
/// Engines read in the order of arrival. Prompts that take long are held back
/// until engines have little else to do, so that shorter ones, of which more are
/// in time for the same work, come first.
fn queue(
    candidates: &[Candidate<'_>],
    chosen: &[usize],
    read_ms: f64,
    demand: &Demand,
    options: &ChoiceOptions,
    may_refuse: bool,
) -> Queue {
    let backlogs = chosen
        .iter()
        .map(|index| candidates[*index].load.backlog_ms);
    let queue_ms = backlogs.fold(0.0, f64::max);
    let may_refuse = may_refuse && demand.waited.is_zero();
    if may_refuse && queue_ms * read_ms > options.overrun_ms2 {
        return Queue::Overrun;
    }
    let is_split = read_ms > options.unsplit_read_ms;
    if is_split && queue_ms > options.queue_read_ms2 / read_ms {
        return Queue::Long;
    }
    Queue::Short
}

impl Weighing<'_> {
    /// The engines that together have read a prompt first, at least cost.
    ///
    /// There is always one: `candidates` is not empty.
    fn cheapest(&self, candidates: &[Candidate<'_>], read_ms: f64, draw: u64) -> Vec<usize> {
        if read_ms <= self.options.unsplit_read_ms {
            return self.any_of_cheapest(candidates, read_ms, draw);
        }
        let most = candidates.len().min(self.options.helpers_limit + 1);
        let mut best = (f64::INFINITY, Vec::new());
        for count in 1..=most {
            let part_ms = read_ms / count as f64;
            let mut costs: Vec<(f64, usize)> = candidates
                .iter()
                .enumerate()
                .map(|(index, candidate)| (self.cost_ms(candidate, part_ms), index))
                .collect();
            costs.sort_by(|one, other| one.0.total_cmp(&other.0));
            costs.truncate(count);
            let slowest_ms = costs.last().map_or(0.0, |(cost_ms, _)| *cost_ms);
            let total_ms = slowest_ms + self.options.helper_cost_ms * count as f64;
            if total_ms < best.0 {
                best = (
                    total_ms,
                    costs.into_iter().map(|(_, index)| index).collect(),
                );
            }
        }
        best.1
    }

    /// One of the engines that cost about as little as the cheapest.
    ///
    /// Daemons hear of each other's requests only after some milliseconds; if all
    /// took the cheapest, several would meet there.
    fn any_of_cheapest(&self, candidates: &[Candidate<'_>], read_ms: f64, draw: u64) -> Vec<usize> {
        let cost_ms = |candidate: &Candidate<'_>| match candidate.has_slot(self.options) {
            true => self.cost_ms(candidate, read_ms),
            false => f64::INFINITY,
        };
        let costs: Vec<f64> = candidates.iter().map(cost_ms).collect();
        let least_ms = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let is_cheap = |cost_ms: f64| cost_ms <= least_ms + self.tie_ms;
        let cheap: Vec<usize> = (0..costs.len())
            .filter(|index| is_cheap(costs[*index]))
            .collect();
        let chosen = draw as usize % cheap.len().max(1);
        cheap.get(chosen).copied().into_iter().collect()
    }

    /// Whether a prompt that would be late where it does no harm is in time, and
    /// worth the pauses that it breaks, where it is read `boldly`.
    fn is_worth_it(
        &self,
        candidates: &[Candidate<'_>],
        chosen: &[usize],
        boldly: &[usize],
        read_ms: f64,
        demand: &Demand,
    ) -> bool {
        let is_in_time = |order: &[usize]| {
            let part_ms = read_ms / order.len().max(1) as f64;
            let read = order
                .iter()
                .map(|index| read_after_ms(&candidates[*index], part_ms));
            let first_event_ms = read.fold(0.0, f64::max);
            let left = demand.target.saturating_sub(demand.elapsed);
            first_event_ms <= left.as_secs_f64() * 1_000.0
        };
        if is_in_time(chosen) || !is_in_time(boldly) {
            return false;
        }
        let part_ms = read_ms / boldly.len().max(1) as f64;
        let broken: f64 = boldly
            .iter()
            .map(|index| self.broken_answers(&candidates[*index], part_ms))
            .sum();
        broken * self.options.broken_gap_worth_tokens < demand.prompt_tokens as f64
    }

    /// Answers of a candidate whose pause gets too long because it reads a part.
    ///
    /// Those that are lost already, by what it has to read without the part, don't
    /// count: passing such an engine over sent short prompts to others that had no
    /// slot left.
    fn broken_answers(&self, candidate: &Candidate<'_>, part_ms: f64) -> f64 {
        let load = &candidate.load;
        let Some(gap_ms) = load.least_gap_ms else {
            return 0.0;
        };
        let pass_ms = pass_ms(candidate, load.writers, load.context_tokens);
        let without_ms = pass_ms + load.backlog_ms;
        let share = |pause_ms: f64| self.broken_share(pause_ms / gap_ms.max(1.0));
        (share(without_ms + part_ms) - share(without_ms)) * f64::from(load.answering)
    }

    /// Time until a part is read here, with what it does to others, in milliseconds.
    fn cost_ms(&self, candidate: &Candidate<'_>, part_ms: f64) -> f64 {
        let load = &candidate.load;
        let mut cost_ms = read_after_ms(candidate, part_ms);
        cost_ms += self.broken_gap_cost_ms * self.broken_answers(candidate, part_ms);
        if self.is_brisk && load.least_gap_ms.is_none_or(|gap_ms| gap_ms > self.gap_ms) {
            cost_ms += self.options.opening_cost_ms;
        }
        let place = if self.is_brisk {
            candidate.rank
        } else {
            self.count - 1 - candidate.rank
        };
        cost_ms += self.options.rank_cost_ms * place as f64;
        if candidate.known.info.availability_zone != self.availability_zone {
            cost_ms += self.options.other_zone_cost_ms;
        }
        let slots = candidate.known.slots();
        if load.running() >= slots {
            cost_ms += self.options.full_cost_ms;
        }
        if self.is_brisk {
            let roomy = f64::from(slots) * self.options.roomy_share;
            let crowding = (f64::from(load.running() + 1) - roomy).max(0.0);
            cost_ms += self.options.crowding_cost_ms * self.crowd_share * crowding;
        }
        cost_ms
    }

    /// Share of the answers whose pause gets too long, when the next pass is
    /// predicted to take this share of the pause.
    ///
    /// Grows with the square from the one bound to the other, as more parts may
    /// come into the same pass.
    fn broken_share(&self, pause_share: f64) -> f64 {
        let (safe, broken) = (self.options.safe_gap_share, self.options.broken_gap_share);
        let share = (pause_share - safe) / (broken - safe);
        share.clamp(0.0, 1.0).powi(2)
    }
}

/// Time until a part is read by a candidate, in milliseconds.
fn read_after_ms(candidate: &Candidate<'_>, part_ms: f64) -> f64 {
    let load = &candidate.load;
    let pass_ms = pass_ms(candidate, load.writers, load.context_tokens);
    pass_ms / 2.0 + load.backlog_ms + part_ms
}

/// Time of one pass of a candidate's engine, in milliseconds.
pub(crate) fn pass_ms(candidate: &Candidate<'_>, writers: u32, context_tokens: u64) -> f64 {
    let figures = candidate.known.figures.as_ref();
    figures.map_or(0.0, |figures| figures.pass_ms(writers, context_tokens))
}
