//! Selection of the upstreams for one request.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mangofront_prefixes::PromptPart;
use mangofront_quarantine::RequestFingerprint;
use mangofront_routes::{AllowedRegions, EngineProfile, Upstream};
use mangofront_settings::process::ChoiceOptions;
use thiserror::Error;

use crate::cost::{CostModel, prefilled_after_ms};
use crate::decision::{Decision, Forecast, ServedShare, decide};
use crate::layout::assign_memory;
use crate::organisation_shares::OverShare;
use crate::precedence::{Caller, Contention, Room};
use crate::upstream_state::{Load, UpstreamState};
use crate::work::ShareLoad;

/// Requirements of a request.
#[derive(Debug, Clone)]
pub struct Demand {
    /// Length of the prompt; 0 for a request of a plain service.
    pub prompt_tokens: u64,
    /// Maximum length of the answer.
    pub answer_limit_tokens: u64,
    /// Longest gap between events for the answer to count as on time.
    pub gap: Duration,
    /// Target for the time to first event.
    pub target: Duration,
    /// Time since the request arrived.
    pub elapsed: Duration,
    /// Time for which the request has been held for less loaded engines.
    pub waited: Duration,
    /// Time after which the request has certainly ended.
    pub time_left: Duration,
    /// On whose behalf the request is made.
    pub caller: Caller,
    /// Identifies the request across all retries of its caller.
    pub request: RequestFingerprint,
    /// Whether it may be refused: nothing was sent yet, so no engine has spent work on it.
    pub is_refusable: bool,
    /// Addresses with an open connection that the request can use.
    pub connected: HashSet<SocketAddr>,
    /// Parts of the prompt in order, as far as its caller names them.
    pub prompt_parts: Rc<[PromptPart]>,
    /// Regions in which it may run.
    pub allowed_regions: AllowedRegions,
}

impl Demand {
    /// Whether it may be held for an answer that is late, but not too late for its caller.
    pub(crate) fn may_be_held(&self, options: &ChoiceOptions) -> bool {
        let is_patient = self.elapsed < self.target.mul_f64(options.late_targets);
        is_patient && self.time_left > self.target
    }
}

/// Reason why no upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum NoUpstream {
    /// Every known upstream is leaving, or there is none.
    #[error("no upstream of the service is known")]
    NoneKnown,
    /// Every upstream that may run the request is in an evacuated zone.
    #[error("every upstream of the service is in an evacuated zone")]
    Evacuated,
    /// No upstream is in a region in which the request may run.
    #[error("no upstream of the service is in an allowed region")]
    OutsideRegions,
    /// Every upstream that was not tried asked this daemon for rest.
    #[error("every upstream of the service asks for rest")]
    Resting,
    /// Every upstream was tried already, or failed recently.
    #[error("every upstream of the service was tried already")]
    AllTried,
    /// The engines are too busy for a prompt of this length; retry soon.
    #[error("the engines are busy")]
    Busy,
    /// A prompt of this length can no longer be on time and would delay many others.
    #[error("the engines are overrun")]
    Overrun,
    /// The engines can't take all that arrives, and the caller's organisation has more than its
    /// share of them.
    #[error("the organisation has its share of the engines already")]
    OrganisationOverShare(OverShare),
    /// No engine can accept another request at present.
    #[error("every slot of the engines is taken")]
    Full,
    /// The prompt exceeds the memory of all engines together.
    #[error("the prompt is larger than the engines' memory")]
    TooLarge,
}

/// Code of [`NoUpstream::OrganisationOverShare`].
pub const ORGANISATION_OVER_SHARE: &str = "organisation_over_share";

impl NoUpstream {
    /// Stable code for metrics, logs and callers.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            Self::NoneKnown => "no_upstream_known",
            Self::Evacuated => "upstreams_evacuated",
            Self::OutsideRegions => "no_upstream_in_allowed_regions",
            Self::Resting => "upstreams_resting",
            Self::AllTried => "all_upstreams_tried",
            Self::Busy => "upstreams_busy",
            Self::Overrun => "engines_overrun",
            Self::OrganisationOverShare(_) => ORGANISATION_OVER_SHARE,
            Self::Full => "all_slots_taken",
            Self::TooLarge => "no_memory_for_prompt",
        }
    }
}

/// One upstream's share of a request.
#[derive(Debug, Clone, PartialEq)]
pub struct Share {
    /// The upstream.
    pub upstream: Upstream,
    /// Memory to reserve there, in tokens; `None` where no reservation is needed.
    pub reserve_tokens: Option<u64>,
}

/// An upstream that may be chosen, with its load.
#[derive(Debug)]
pub(crate) struct Candidate<'a> {
    pub(crate) upstream: &'a UpstreamState,
    pub(crate) load: Load,
    /// Position in the order that all daemons share.
    pub(crate) rank: usize,
    /// Whether there is an open connection to it that the request can use.
    pub(crate) is_connected: bool,
    /// Correction of the cost of a whole prompt for the beginning held there, in milliseconds.
    pub(crate) prefix_correction_ms: f64,
}

impl Candidate<'_> {
    /// Whether a further request would find a slot, or one of the few queue places.
    pub(crate) fn has_slot(&self, options: &ChoiceOptions) -> bool {
        self.load.running() < self.upstream.slots() + options.queued_requests
    }

    /// Whether every slot is taken.
    pub(crate) fn is_full(&self) -> bool {
        self.load.running() >= self.upstream.slots()
    }

    /// Cost of connecting to it, in milliseconds.
    pub(crate) fn connect_cost_ms(&self, options: &ChoiceOptions) -> f64 {
        match self.is_connected {
            true => 0.0,
            false => options.connect_cost_ms,
        }
    }
}

/// The upstreams chosen for one request.
#[derive(Debug)]
pub(crate) struct Choice {
    pub(crate) shares: Vec<Share>,
    pub(crate) loads: Vec<ShareLoad>,
    pub(crate) first_event_ms: f64,
    /// Longest queue at the chosen upstreams, in milliseconds.
    pub(crate) queue_ms: f64,
    /// Prefill time believed to be saved, in milliseconds.
    pub(crate) saved_ms: f64,
}

/// Inputs to the choice besides the upstreams and the request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ChoiceContext<'a> {
    /// Availability zone of this daemon.
    pub(crate) availability_zone: &'a str,
    /// Shortest gap that any request so far allowed.
    pub(crate) shortest_gap: Duration,
    /// Number of other daemons that place requests concurrently.
    pub(crate) daemons: usize,
    /// Expected number of short prompts that other daemons placed and whose updates have not
    /// arrived yet.
    pub(crate) unreported_short_prompts: f64,
    /// A number that differs between requests and between daemons.
    pub(crate) draw: u64,
    /// Whether this daemon has just started and may not know the requests of the others.
    pub(crate) is_settling: bool,
    /// Served share of the request's size class if this request is not served.
    pub(crate) served_share: ServedShare,
    /// What the request finds among those of others.
    pub(crate) contention: Contention,
}

/// Chooses the least loaded upstream of a plain service.
pub(crate) fn choose_plain(
    candidates: &[Candidate<'_>],
    options: &ChoiceOptions,
    availability_zone: &str,
    turn: u64,
) -> Option<Choice> {
    let count = candidates.len() as u64;
    let load_rank = |candidate: &Candidate<'_>| {
        let slots = candidate.upstream.slots().max(1);
        let share = candidate.load.answering * 1_000 / slots;
        let is_other_zone = candidate.upstream.registration.availability_zone != availability_zone;
        let zone_penalty = u32::from(is_other_zone) * options.other_zone_cost_ms as u32;
        (share + zone_penalty, (candidate.rank as u64 + turn) % count)
    };
    let best = candidates
        .iter()
        .min_by_key(|candidate| load_rank(candidate))?;
    Some(Choice {
        shares: vec![Share {
            upstream: best.upstream.registration.clone(),
            reserve_tokens: None,
        }],
        loads: vec![ShareLoad {
            upstream: best.upstream.key,
            prefill_ms: 0.0,
            memory_tokens: 0,
            context_tokens: 0,
        }],
        first_event_ms: 0.0,
        queue_ms: 0.0,
        saved_ms: 0.0,
    })
}

/// Chooses the engine that answers and the helpers that prefill shares of the prompt.
pub(crate) fn choose_engines(
    candidates: &[Candidate<'_>],
    profile: &Rc<EngineProfile>,
    demand: &Demand,
    options: &ChoiceOptions,
    context: ChoiceContext<'_>,
) -> Result<Choice, NoUpstream> {
    if !candidates
        .iter()
        .any(|candidate| candidate.has_slot(options))
    {
        return Err(
            match context.contention.is_owed_slot && demand.may_be_held(options) {
                true => NoUpstream::Busy,
                false => NoUpstream::Full,
            },
        );
    }
    let prefill_ms = profile.prefill_ms(demand.prompt_tokens);
    let has_waited = demand.waited >= demand.target.mul_f64(options.wait_targets);
    let cost_model = CostModel::new(candidates.len(), demand, prefill_ms, options, context);
    let chosen = choose_prefill_engines(candidates, &cost_model, prefill_ms, demand, context)?;
    let share_ms = prefill_ms / chosen.len().max(1) as f64;
    let other_cost_ms = |candidate: &Candidate<'_>| match prefill_ms <= options.unsplit_read_ms {
        true => cost_model.unsplit_cost_ms(candidate, prefill_ms),
        false => cost_model.cost_ms(candidate, share_ms),
    };
    let mut costs: Vec<(f64, usize)> = (0..candidates.len())
        .filter(|index| !chosen.contains(index))
        .map(|index| (other_cost_ms(&candidates[index]), index))
        .collect();
    costs.sort_by(|one, other| one.0.total_cmp(&other.0));
    let others: Vec<usize> = costs.into_iter().map(|(_, index)| index).collect();
    match assign_memory(
        candidates, &chosen, &others, profile, demand, options, has_waited,
    ) {
        Err(NoUpstream::TooLarge) if !has_waited => Err(NoUpstream::Busy),
        result => result,
    }
}

/// Chooses the engines that prefill a prompt, or decides to hold or refuse it.
fn choose_prefill_engines(
    candidates: &[Candidate<'_>],
    cost_model: &CostModel<'_>,
    prefill_ms: f64,
    demand: &Demand,
    context: ChoiceContext<'_>,
) -> Result<Vec<usize>, NoUpstream> {
    let chosen = cost_model.cheapest(candidates, prefill_ms, context.draw);
    let share_ms = prefill_ms / chosen.len().max(1) as f64;
    let engines = || chosen.iter().map(|index| &candidates[*index]);
    let placed_ms: f64 = candidates
        .iter()
        .map(|candidate| candidate.load.backlog_ms)
        .sum();
    let prefilled_after = engines().map(|engine| prefilled_after_ms(engine, share_ms));
    let forecast = Forecast {
        prefill_ms,
        queue_ms: engines()
            .map(|candidate| candidate.load.backlog_ms)
            .fold(0.0, f64::max),
        prefilled_after_ms: prefilled_after.fold(0.0, f64::max),
        all_prefilled_after_ms: (placed_ms + prefill_ms) / candidates.len() as f64,
    };
    let options = cost_model.options();
    let may_be_on_time = forecast.may_be_on_time(demand, options);
    match context.contention.room(may_be_on_time, demand.is_refusable) {
        Room::Admitted => {}
        Room::Held => return Err(NoUpstream::Busy),
        Room::Refused(over_share) => return Err(NoUpstream::OrganisationOverShare(over_share)),
    }
    match decide(forecast, demand, context.served_share, options) {
        Decision::Send => Ok(chosen),
        Decision::Hold => Err(NoUpstream::Busy),
        Decision::Refuse => Err(NoUpstream::Overrun),
    }
}
