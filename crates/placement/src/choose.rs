//! Selection among the engines of a model.

use std::rc::Rc;

use mangofront_settings::ids::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

use crate::eligibility::{
    ineligible_reason, is_held_back, kv_tokens, mean_outstanding, needed_tokens,
};
use crate::engine::Engine;
use crate::estimate::{DecisionContext, Evaluation, evaluate, evaluate_share, seconds};
use crate::explain::SelectionReason;
use crate::group::{MemberCapacity, Share, plan_group};
use crate::model::{Model, SharedEngine};
use crate::options::{PlacementOptions, Policy};
use crate::request::NoEngine;

/// Relative cost difference below which engines count as equal.
const COST_TIE_SHARE: f64 = 0.02;

/// Absolute cost difference, in seconds and beyond the round trip to another
/// availability zone, below which engines count as equal.
const COST_TIE_S: f64 = 0.000_5;

/// Uncached tokens from which a prompt prefers the long end of the order.
const MIN_LONG_END_TOKENS: u64 = 32_768;

/// Engine or group selected for a request.
#[derive(Debug)]
pub(crate) struct Choice {
    /// Engine that generates the answer.
    pub(crate) engine: SharedEngine,
    pub(crate) evaluation: Evaluation,
    /// Members with their shares in tokens, the answering engine first; empty
    /// when one engine suffices.
    pub(crate) group: Vec<(SharedEngine, u64)>,
}

/// An engine with its evaluation for one request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Candidate {
    /// Index in the model's stable order.
    pub(crate) index: usize,
    pub(crate) evaluation: Evaluation,
    /// Why the engine can't be selected; `None` when it is eligible.
    pub(crate) ineligible_reason: Option<SelectionReason>,
    is_held_back: bool,
}

/// Preference that takes precedence over cost, best first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Preferred,
    DelaysOthers,
    MissesTarget,
    HeldBack,
}

impl Candidate {
    fn rank(&self) -> Rank {
        if self.is_held_back {
            Rank::HeldBack
        } else if self.evaluation.misses_target {
            Rank::MissesTarget
        } else if self.evaluation.delays_others {
            Rank::DelaysOthers
        } else {
            Rank::Preferred
        }
    }

    /// Why the engine was not selected.
    pub(crate) fn rejection_reason(&self) -> SelectionReason {
        if let Some(reason) = self.ineligible_reason {
            return reason;
        }
        match self.rank() {
            Rank::Preferred => SelectionReason::CostsMore,
            Rank::DelaysOthers => SelectionReason::DelaysOthers,
            Rank::MissesTarget => SelectionReason::MissesTarget,
            Rank::HeldBack => SelectionReason::HeldBack,
        }
    }
}

/// Evaluates every engine of the model.
pub(crate) fn evaluate_all(
    model: &Model,
    context: &DecisionContext<'_>,
    excluded: &[InstanceId],
) -> Vec<Candidate> {
    let mean_outstanding = mean_outstanding(model);
    let engines = model.order.iter().enumerate();
    engines
        .map(|(index, engine)| {
            let engine = engine.borrow();
            Candidate {
                index,
                evaluation: evaluate(&engine, context),
                ineligible_reason: ineligible_reason(&engine, context, excluded),
                is_held_back: is_held_back(&engine, context, mean_outstanding),
            }
        })
        .collect()
}

/// Selects an engine, or a group when the prompt fits no single engine.
pub(crate) fn choose(
    model: &Model,
    context: &DecisionContext<'_>,
    candidates: &[Candidate],
    options: &PlacementOptions,
) -> Result<Choice, NoEngine> {
    if model.order.is_empty() {
        return Err(NoEngine::UnknownModel);
    }
    let eligible = eligible(candidates);
    if let Some(chosen) = select_by_policy(model, &eligible, options) {
        return Ok(Choice {
            engine: Rc::clone(&model.order[chosen.index]),
            evaluation: chosen.evaluation,
            group: Vec::new(),
        });
    }
    if candidates
        .iter()
        .any(|candidate| candidate.ineligible_reason == Some(SelectionReason::TooSmall))
    {
        return choose_group(model, context, candidates);
    }
    Err(NoEngine::NoneUsable)
}

/// Eligible engines; falls back to ejected and unreachable ones when there are
/// none.
fn eligible(candidates: &[Candidate]) -> Vec<Candidate> {
    let available = candidates
        .iter()
        .filter(|candidate| candidate.ineligible_reason.is_none());
    let available: Vec<_> = available.copied().collect();
    if !available.is_empty() {
        return available;
    }
    let fallback = candidates.iter().filter(|candidate| {
        matches!(
            candidate.ineligible_reason,
            Some(SelectionReason::Ejected | SelectionReason::Unreachable)
        )
    });
    fallback.copied().collect()
}

fn select_by_policy(
    model: &Model,
    eligible: &[Candidate],
    options: &PlacementOptions,
) -> Option<Candidate> {
    match options.policy {
        Policy::LengthAware => select_by_cost(model, eligible, options),
        Policy::LeastOutstanding => eligible
            .iter()
            .min_by_key(|candidate| model.order[candidate.index].borrow().own.outstanding())
            .copied(),
        Policy::RoundRobin => {
            let index = model.round_robin_index % eligible.len().max(1);
            eligible.get(index).copied()
        }
    }
}

/// Selects the cheapest engine of the best rank. Among engines of nearly equal
/// cost, prefers those in the prompt's interval, then the least loaded.
fn select_by_cost(
    model: &Model,
    eligible: &[Candidate],
    options: &PlacementOptions,
) -> Option<Candidate> {
    let best_rank = eligible.iter().map(Candidate::rank).min()?;
    let best_ranked = || {
        eligible
            .iter()
            .filter(|candidate| candidate.rank() == best_rank)
    };
    let costs = best_ranked().map(|candidate| candidate.evaluation.cost_s);
    let min_cost_s = costs.min_by(f64::total_cmp)?;
    let round_trip_s = 2.0 * options.zone_penalty.as_secs_f64();
    let limit_s = min_cost_s * (1.0 + COST_TIE_SHARE) + COST_TIE_S + round_trip_s;
    best_ranked()
        .filter(|candidate| candidate.evaluation.cost_s <= limit_s)
        .min_by_key(|candidate| {
            let engine = model.order[candidate.index].borrow();
            let is_outside = candidate.evaluation.interval_distance > 0.0;
            let (zone_load, tie_break) = tie_break(candidate, &engine, options);
            (is_outside, engine.outstanding() + zone_load, tie_break)
        })
        .copied()
}

/// Returns a load surcharge and a sort key for engines of nearly equal cost.
///
/// Every daemon fills engines with long prompts from the long end, which keeps
/// the middle of the order free. For other prompts each daemon has its own
/// order, since daemons don't see each other's latest placements. An engine in
/// another zone counts as having one more request.
fn tie_break(candidate: &Candidate, engine: &Engine, options: &PlacementOptions) -> (u32, u64) {
    if candidate.evaluation.uncached_tokens >= MIN_LONG_END_TOKENS {
        return (0, u64::MAX - candidate.index as u64);
    }
    let is_other_zone = engine.info.availability_zone != options.availability_zone;
    (u32::from(is_other_zone), daemon_salt(options, engine))
}

/// Hash that differs between daemons, so that they don't all select the same
/// engine among equals.
fn daemon_salt(options: &PlacementOptions, engine: &Engine) -> u64 {
    xxh3_64(options.daemon.as_bytes())
        ^ u64::from(engine.name_hash).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

fn choose_group(
    model: &Model,
    context: &DecisionContext<'_>,
    candidates: &[Candidate],
) -> Result<Choice, NoEngine> {
    let members = candidates
        .iter()
        .filter(|candidate| candidate.ineligible_reason == Some(SelectionReason::TooSmall));
    let healthy = members.clone().filter(|candidate| {
        let engine = model.order[candidate.index].borrow();
        !engine.health.is_ejected() && !engine.health.is_unreachable()
    });
    let needed_tokens = needed_tokens(context.request);
    let shares = plan_group(&member_capacities(model, context, healthy), needed_tokens)
        .or_else(|_| plan_group(&member_capacities(model, context, members), needed_tokens))?;
    Ok(build_group_choice(model, context, &shares))
}

fn member_capacities<'a>(
    model: &Model,
    context: &DecisionContext<'_>,
    members: impl Iterator<Item = &'a Candidate>,
) -> Vec<MemberCapacity> {
    members
        .map(|candidate| {
            let engine = model.order[candidate.index].borrow();
            let reported = engine.report.as_ref();
            let used_tokens = reported.map_or(0, |reported| reported.load.kv_used_tokens);
            MemberCapacity {
                index: candidate.index,
                total_tokens: kv_tokens(&engine, context).unwrap_or(0),
                used_tokens: used_tokens + engine.own.since_report_kv_tokens(),
            }
        })
        .collect()
}

/// Builds the choice of a group. Its evaluation is that of the slowest member,
/// scaled by the ratio of measured to predicted times of earlier groups.
fn build_group_choice(model: &Model, context: &DecisionContext<'_>, shares: &[Share]) -> Choice {
    let time_ratio = model
        .learned
        .borrow()
        .group_time_ratio
        .mean()
        .unwrap_or(1.0);
    let mut slowest: Option<Evaluation> = None;
    let mut group = Vec::with_capacity(shares.len());
    for share in shares {
        let engine = &model.order[share.index];
        let evaluation = evaluate_share(&engine.borrow(), context, 0, share.tokens);
        group.push((Rc::clone(engine), share.tokens));
        let first_token = evaluation.estimate.time_to_first_token;
        if slowest.is_none_or(|slowest| slowest.estimate.time_to_first_token < first_token) {
            slowest = Some(evaluation);
        }
    }
    let leader = &model.order[shares[0].index];
    let mut evaluation = slowest.unwrap_or_else(|| evaluate(&leader.borrow(), context));
    let decode = evaluation.estimate.completion - evaluation.estimate.time_to_first_token;
    let first_token_s = evaluation.estimate.time_to_first_token.as_secs_f64() * time_ratio;
    evaluation.estimate.time_to_first_token = seconds(first_token_s);
    evaluation.estimate.completion = seconds(first_token_s) + decode;
    Choice {
        engine: Rc::clone(leader),
        evaluation,
        group,
    }
}
