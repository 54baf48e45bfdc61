//! The choice of the upstreams for one request.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mangofront_routes::{EngineProfile, Upstream};
use mangofront_settings::process::ChoiceOptions;
use thiserror::Error;

use crate::layout::lay_out;
use crate::shares::RequestFingerprint;
use crate::upstream::{Known, Load};
use crate::verdict::{Forecast, ServedWithout, Verdict, judge};
use crate::weigh::{Weighing, read_after_ms};
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
    /// Time to the first event that is aimed at.
    pub target: Duration,
    /// Time since the request came.
    pub elapsed: Duration,
    /// Time for which the request has waited for engines with less to do.
    pub waited: Duration,
    /// Time after which the request has ended for certain.
    pub time_left: Duration,
    /// Names the request over all the times that its caller sends it.
    pub request: RequestFingerprint,
    /// Whether it may be refused: nothing of it was sent yet, which has cost engines.
    pub is_refusable: bool,
    /// Addresses to which a connection is open that the request can take.
    pub connected: HashSet<SocketAddr>,
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
    /// A prompt of this length can't be in time any more and would hold up many others.
    #[error("the engines are overrun")]
    Overrun,
    /// No engine can take one more request for now.
    #[error("every slot of the engines is taken")]
    Full,
    /// The prompt does not fit into the memory of all engines.
    #[error("the prompt is larger than the engines' memory")]
    TooLarge,
}

impl NoUpstream {
    /// Stable code, for metrics, logs and callers.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoneKnown => "no_upstream_known",
            Self::AllTried => "all_upstreams_tried",
            Self::Busy => "upstreams_busy",
            Self::Overrun => "engines_overrun",
            Self::Full => "all_slots_taken",
            Self::TooLarge => "no_memory_for_prompt",
        }
    }
}

/// One upstream's share in a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
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
    /// Whether a connection to it is open that the request can take.
    pub(crate) is_connected: bool,
}

impl Candidate<'_> {
    /// Whether a further request would find a slot, or one of the few places to wait.
    pub(crate) fn has_slot(&self, options: &ChoiceOptions) -> bool {
        self.load.running() < self.known.slots() + options.queued_requests
    }

    /// What it costs to have it answer beyond the time of its work, in milliseconds.
    pub(crate) fn connect_cost_ms(&self, options: &ChoiceOptions) -> f64 {
        match self.is_connected {
            true => 0.0,
            false => options.connect_cost_ms,
        }
    }
}

/// The choice for one request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) shares: Vec<Share>,
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
    /// Short prompts that others are expected to have placed unheard.
    pub(crate) unheard: f64,
    /// A number that differs from request to request and between daemons.
    pub(crate) draw: u64,
    /// Whether this daemon has just started and may not know of the others' requests.
    pub(crate) is_settling: bool,
    /// How many prompts of the request's size are served without it.
    pub(crate) served_without: ServedWithout,
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
        shares: vec![Share {
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
    figures: &Rc<EngineProfile>,
    demand: &Demand,
    options: &ChoiceOptions,
    circumstances: Circumstances<'_>,
) -> Result<Choice, NoUpstream> {
    if !candidates.iter().any(|one| one.has_slot(options)) {
        return Err(NoUpstream::Full);
    }
    let read_ms = figures.prefill_ms(demand.prompt_tokens);
    let has_waited = demand.waited >= demand.target.mul_f64(options.wait_targets);
    let weighing = Weighing::new(candidates.len(), demand, options, circumstances);
    let chosen = choose_readers(candidates, &weighing, read_ms, demand, circumstances)?;
    let part_ms = read_ms / chosen.len().max(1) as f64;
    let mut costs: Vec<(f64, usize)> = (0..candidates.len())
        .filter(|index| !chosen.contains(index))
        .map(|index| (weighing.cost_ms(&candidates[index], part_ms), index))
        .collect();
    costs.sort_by(|one, other| one.0.total_cmp(&other.0));
    let others: Vec<usize> = costs.into_iter().map(|(_, index)| index).collect();
    match lay_out(
        candidates, &chosen, &others, figures, demand, options, has_waited,
    ) {
        Err(NoUpstream::TooLarge) if !has_waited => Err(NoUpstream::Busy),
        laid_out => laid_out,
    }
}

/// Chooses the engines that read a prompt, or has it wait or refused.
fn choose_readers(
    candidates: &[Candidate<'_>],
    weighing: &Weighing<'_>,
    read_ms: f64,
    demand: &Demand,
    circumstances: Circumstances<'_>,
) -> Result<Vec<usize>, NoUpstream> {
    let chosen = weighing.cheapest(candidates, read_ms, circumstances.draw);
    let part_ms = read_ms / chosen.len().max(1) as f64;
    let readers = || chosen.iter().map(|index| &candidates[*index]);
    let placed_ms: f64 = candidates.iter().map(|one| one.load.backlog_ms).sum();
    let read_after = readers().map(|reader| read_after_ms(reader, part_ms));
    let forecast = Forecast {
        read_ms,
        queue_ms: readers().map(|one| one.load.backlog_ms).fold(0.0, f64::max),
        read_after_ms: read_after.fold(0.0, f64::max),
        all_read_after_ms: (placed_ms + read_ms) / candidates.len() as f64,
    };
    let options = weighing.options();
    match judge(forecast, demand, circumstances.served_without, options) {
        Verdict::Send => Ok(chosen),
        Verdict::Hold => Err(NoUpstream::Busy),
        Verdict::Refuse => Err(NoUpstream::Overrun),
    }
}
