//! The choice among a model's engines.

use std::rc::Rc;

use mangofront_settings::ids::InstanceId;
use xxhash_rust::xxh3::xxh3_64;

use crate::bars::{barred, held_back, kv_tokens, mean_outstanding, needed_tokens};
use crate::demand::NoEngine;
use crate::engine::Engine;
use crate::estimate::{Asked, Terms, seconds, weigh, weigh_share};
use crate::explain::SelectionReason;
use crate::group::{Room, Share, plan};
use crate::model::{Model, SharedEngine};
use crate::options::{PlacementOptions, Policy};

/// Costs that differ by less than this share are not told apart.
const TIE_SHARE: f64 = 0.02;

/// Costs that differ by less than this beyond the way to another zone are not
/// told apart, in seconds.
const TIE_S: f64 = 0.000_5;

/// Work from which engines are taken from the long end, in tokens.
const FROM_LONG_END_TOKENS: u64 = 32_768;

/// What was decided for a request.
#[derive(Debug)]
pub(crate) struct Choice {
    /// The engine that answers, with its terms.
    pub(crate) engine: SharedEngine,
    pub(crate) terms: Terms,
    /// All members' shares, the answering engine's first, when it takes more
    /// than one.
    pub(crate) group: Vec<(SharedEngine, u64)>,
}

/// One engine, weighed.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Weighed {
    pub(crate) index: usize,
    pub(crate) terms: Terms,
    /// Why it can't be taken; none when it can.
    pub(crate) barred: Option<SelectionReason>,
    held_back: bool,
}

/// Order in which engines are preferred whatever they cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Rank {
    Good,
    DelaysOthers,
    MissesTarget,
    HeldBack,
}

impl Weighed {
    fn rank(&self) -> Rank {
        if self.held_back {
            Rank::HeldBack
        } else if self.terms.misses_target {
            Rank::MissesTarget
        } else if self.terms.delays_others {
            Rank::DelaysOthers
        } else {
            Rank::Good
        }
    }

    /// Why it was not taken, though it could have been.
    pub(crate) fn verdict(&self) -> SelectionReason {
        if let Some(barred) = self.barred {
            return barred;
        }
        match self.rank() {
            Rank::Good => SelectionReason::CostsMore,
            Rank::DelaysOthers => SelectionReason::DelaysOthers,
            Rank::MissesTarget => SelectionReason::MissesTarget,
            Rank::HeldBack => SelectionReason::HeldBack,
        }
    }
}

/// Weighs every engine of the model.
pub(crate) fn weigh_all(model: &Model, asked: &Asked<'_>, excluded: &[InstanceId]) -> Vec<Weighed> {
    let mean_outstanding = mean_outstanding(model);
    let engines = model.order.iter().enumerate();
    engines
        .map(|(index, engine)| {
            let engine = engine.borrow();
            Weighed {
                index,
                terms: weigh(&engine, asked),
                barred: barred(&engine, asked, excluded),
                held_back: held_back(&engine, asked, mean_outstanding),
            }
        })
        .collect()
}

/// Chooses among weighed engines.
pub(crate) fn choose(
    model: &Model,
    asked: &Asked<'_>,
    weighed: &[Weighed],
    options: &PlacementOptions,
) -> Result<Choice, NoEngine> {
    if model.order.is_empty() {
        return Err(NoEngine::UnknownModel);
    }
    let usable = usable(weighed);
    if let Some(chosen) = pick(model, &usable, options) {
        return Ok(Choice {
            engine: Rc::clone(&model.order[chosen.index]),
            terms: chosen.terms,
            group: Vec::new(),
        });
    }
    if weighed
        .iter()
        .any(|weighed| weighed.barred == Some(SelectionReason::TooSmall))
    {
        return choose_group(model, asked, weighed);
    }
    Err(NoEngine::NoneUsable)
}

/// Engines that can be taken; ejected and unreachable ones when there is no other.
fn usable(weighed: &[Weighed]) -> Vec<Weighed> {
    let free = weighed.iter().filter(|weighed| weighed.barred.is_none());
    let free: Vec<_> = free.copied().collect();
    if !free.is_empty() {
        return free;
    }
    let doubtful = weighed.iter().filter(|weighed| {
        matches!(
            weighed.barred,
            Some(SelectionReason::Ejected | SelectionReason::Unreachable)
        )
    });
    doubtful.copied().collect()
}

fn pick(model: &Model, usable: &[Weighed], options: &PlacementOptions) -> Option<Weighed> {
    match options.policy {
        Policy::LengthAware => pick_by_cost(model, usable, options),
        Policy::LeastOutstanding => usable
            .iter()
            .min_by_key(|weighed| model.order[weighed.index].borrow().own.outstanding())
            .copied(),
        Policy::RoundRobin => {
            let index = model.next_round % usable.len().max(1);
            usable.get(index).copied()
        }
    }
}

/// The cheapest of the best rank; among near equals one of the prompt's interval
/// with least to do.
fn pick_by_cost(model: &Model, usable: &[Weighed], options: &PlacementOptions) -> Option<Weighed> {
    let best_rank = usable.iter().map(Weighed::rank).min()?;
    let of_rank = || usable.iter().filter(|weighed| weighed.rank() == best_rank);
    let costs = of_rank().map(|weighed| weighed.terms.cost_s);
    let least_s = costs.min_by(f64::total_cmp)?;
    let round_trip_s = 2.0 * options.zone_penalty.as_secs_f64();
    let limit_s = least_s * (1.0 + TIE_SHARE) + TIE_S + round_trip_s;
    of_rank()
        .filter(|weighed| weighed.terms.cost_s <= limit_s)
        .min_by_key(|weighed| {
            let engine = model.order[weighed.index].borrow();
            let is_outside = weighed.terms.border_distance > 0.0;
            let (detour, turn) = turn(weighed, &engine, options);
            (is_outside, engine.outstanding() + detour, turn)
        })
        .copied()
}

/// Order among equals: what to add to the engine's load, and then whose turn it is.
///
/// Long work goes from the long end, for all daemons alike, so that the middle
/// stays clear. Other work goes in another order for each daemon, since they
/// don't see each other's latest choices, and the way to another zone weighs as
/// much as one more request.
fn turn(weighed: &Weighed, engine: &Engine, options: &PlacementOptions) -> (u32, u64) {
    if weighed.terms.uncached_tokens >= FROM_LONG_END_TOKENS {
        return (0, u64::MAX - weighed.index as u64);
    }
    let is_elsewhere = engine.info.availability_zone != options.availability_zone;
    (u32::from(is_elsewhere), salt(options, engine))
}

/// Differs between daemons, so that they don't all take the same of equals.
fn salt(options: &PlacementOptions, engine: &Engine) -> u64 {
    xxh3_64(options.daemon.as_bytes()) ^ u64::from(engine.key).wrapping_mul(0x9E37_79B9_7F4A_7C15)
}

fn choose_group(model: &Model, asked: &Asked<'_>, weighed: &[Weighed]) -> Result<Choice, NoEngine> {
    let members = weighed
        .iter()
        .filter(|weighed| weighed.barred == Some(SelectionReason::TooSmall));
    let healthy = members.clone().filter(|weighed| {
        let engine = model.order[weighed.index].borrow();
        !engine.health.is_ejected() && !engine.health.is_unreachable()
    });
    let needed_tokens = needed_tokens(asked.demand);
    let shares = plan(&rooms(model, asked, healthy), needed_tokens)
        .or_else(|_| plan(&rooms(model, asked, members), needed_tokens))?;
    Ok(group_choice(model, asked, &shares))
}

fn rooms<'a>(
    model: &Model,
    asked: &Asked<'_>,
    members: impl Iterator<Item = &'a Weighed>,
) -> Vec<Room> {
    members
        .map(|weighed| {
            let engine = model.order[weighed.index].borrow();
            let reported = engine.report.as_ref();
            let used_tokens = reported.map_or(0, |reported| reported.load.kv_used_tokens);
            Room {
                index: weighed.index,
                total_tokens: kv_tokens(&engine, asked).unwrap_or(0),
                used_tokens: used_tokens + engine.own.since_report_kv_tokens(),
            }
        })
        .collect()
}

/// The group's terms: its slowest member's, stretched as groups were seen to be.
fn group_choice(model: &Model, asked: &Asked<'_>, shares: &[Share]) -> Choice {
    let stretch = model.learned.borrow().group_stretch.mean().unwrap_or(1.0);
    let mut slowest: Option<Terms> = None;
    let mut group = Vec::with_capacity(shares.len());
    for share in shares {
        let engine = &model.order[share.index];
        let terms = weigh_share(&engine.borrow(), asked, 0, share.tokens);
        group.push((Rc::clone(engine), share.tokens));
        let first_token = terms.estimate.time_to_first_token;
        if slowest.is_none_or(|slowest| slowest.estimate.time_to_first_token < first_token) {
            slowest = Some(terms);
        }
    }
    let leader = &model.order[shares[0].index];
    let mut terms = slowest.unwrap_or_else(|| weigh(&leader.borrow(), asked));
    let decode = terms.estimate.completion - terms.estimate.time_to_first_token;
    let first_token_s = terms.estimate.time_to_first_token.as_secs_f64() * stretch;
    terms.estimate.time_to_first_token = seconds(first_token_s);
    terms.estimate.completion = seconds(first_token_s) + decode;
    Choice {
        engine: Rc::clone(leader),
        terms,
        group,
    }
}
