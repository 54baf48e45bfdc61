//! Placement of a request, with the permits that its upstreams need.
//!
//! An upstream with a rate limit is a candidate like any other while a permit for it may be
//! had. Whoever holds none asks the coordinator; if that refuses, the request is placed
//! elsewhere, and the upstream is no candidate until the moment that the refusal named. If
//! nothing else takes the request, it waits for a granted time, or is refused with the time at
//! which its turn would come.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_engines::{
    Caller, Demand, NoUpstream, ORGANISATION_OVER_SHARE, Placement, Precedence, UpstreamKey, key_of,
};
use mangofront_limits::Moment;
use mangofront_routes::{RetrySafety, Upstream};
use mangofront_upstream::Connections;
use xxhash_rust::xxh3::xxh3_64;

use crate::attempts::upstreams_of;
use crate::call::Call;
use crate::gateway::Gateway;
use crate::held::HeldPlace;
use crate::history::{AttemptError, History, MIN_ATTEMPT_TIME, SharedHistory};
use crate::rate_limits::{NotPermitted, SendPermits, SlotWait};
use crate::trace;

/// Pause before placement is tried again while all engines are overloaded: shorter than one
/// share of a prompt takes to prefill, and long enough to keep the cost of placement low.
const BUSY_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Number of engines above which the pause grows in proportion. Placement evaluates every
/// engine, and with two hundred of them a waiting prompt would use a third of the CPU time
/// of a daemon that has an eighth of a core.
const BUSY_RETRY_SCALING_ENGINES: usize = 50;

/// Refusals of permits after which a request looks for a time in the future.
const MAX_REFUSALS: usize = 6;

/// Upstreams that are asked for a time in the future.
const MAX_SLOT_REQUESTS: usize = 2;

/// Longest wait for a granted time.
const MAX_SLOT_WAIT: Duration = Duration::from_secs(1);

/// Time for which other requests avoid the upstream of a trial: until the start of its answer.
const TRIAL_ISOLATION: Duration = Duration::from_millis(400);

/// Period with which a request that waits for resting upstreams looks for others.
const REST_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Part of the rest over which the returns of refused callers are spread.
const RETURN_SPREAD: f64 = 0.25;

/// Lowest rank of a request that waits for a permit.
const LOWEST_RANK: u32 = 9;

/// A request that may be sent.
pub(crate) struct Placed {
    pub(crate) placement: Placement,
    pub(crate) permits: SendPermits,
}

/// Selects the upstreams of a request and obtains their permits.
pub(crate) async fn place(
    gateway: &Gateway,
    call: &Call,
    history: &SharedHistory,
) -> Result<Placed, AttemptError> {
    let is_trial = history.borrow().trial.is_some();
    let mut avoided = match is_trial {
        true => all_but_calmest(gateway, call, &history.borrow()),
        false => Vec::new(),
    };
    for _ in 0..MAX_REFUSALS {
        let placement = match place_once(gateway, call, history, &avoided).await {
            Ok(placement) => placement,
            Err(NoUpstream::Resting) => return Err(resting(gateway, call, &history.borrow())),
            Err(reason) => return place_at_slot(gateway, call, history, reason).await,
        };
        let limited_reservations = limited_reservations(gateway, &placement);
        if !limited_reservations.is_empty() {
            avoided.extend(limited_reservations);
            continue;
        }
        let wait = slot_wait(gateway, call, &history.borrow());
        let limits = gateway.rate_limits();
        let upstreams = upstreams_of(&placement);
        if let Ok(permits) = limits.acquire(&upstreams, wait, &call.id).await {
            wait_for_permits(&permits, history).await;
            if is_trial {
                isolate(gateway, &upstreams);
            }
            return Ok(Placed { placement, permits });
        }
    }
    place_at_slot(gateway, call, history, NoUpstream::AllTried).await
}

/// All upstreams of a service but the one with the fewest requests, as a trial may crash it.
fn all_but_calmest(gateway: &Gateway, call: &Call, history: &History) -> Vec<UpstreamKey> {
    let upstreams = &gateway.parts().upstreams;
    let calmest = upstreams.calmest(&call.service, &call.allowed_regions, &history.tried);
    let mut others = upstreams.keys();
    others.retain(|key| calmest.is_some_and(|calmest| *key != calmest));
    others
}

/// Keeps other requests from the upstreams of a trial while it may crash them.
fn isolate(gateway: &Gateway, upstreams: &[Upstream]) {
    for upstream in upstreams {
        let all = &gateway.parts().upstreams;
        all.isolate(key_of(upstream), TRIAL_ISOLATION);
    }
}

/// Waits until the permits may be used.
async fn wait_for_permits(permits: &SendPermits, history: &SharedHistory) {
    let wait = permits.wait();
    if !wait.is_zero() {
        compio::time::sleep(wait).await;
        history.borrow_mut().waited += wait;
    }
}

/// Upstreams with a limit at which memory would be reserved: the calls that keep a reservation
/// would take what the limit allows.
fn limited_reservations(gateway: &Gateway, placement: &Placement) -> Vec<UpstreamKey> {
    let reserving = placement.shares.iter();
    let reserving = reserving.filter(|share| share.reserve_tokens.is_some());
    reserving
        .map(|share| key_of(&share.upstream))
        .filter(|key| gateway.rate_limits().limit(*key).is_some())
        .collect()
}

/// How long a request waits for a permit: not at all while an upstream without a limit may take
/// it.
fn slot_wait(gateway: &Gateway, call: &Call, history: &History) -> SlotWait {
    let limits = gateway.rate_limits();
    let has_unlimited = !limits.has_limits() || {
        let upstreams = &gateway.parts().upstreams;
        let open = upstreams.open_of_service(&call.service, &call.allowed_regions);
        let mut untried = open.iter().filter(|key| !history.tried.contains(key));
        untried.any(|key| limits.limit(*key).is_none())
    };
    let patience = call.time_left().saturating_sub(MIN_ATTEMPT_TIME);
    SlotWait {
        max_wait: match has_unlimited {
            true => Duration::ZERO,
            false => patience.min(MAX_SLOT_WAIT),
        },
        rank: rank(call),
    }
}

/// Rank among the requests that wait for permits: the organisation's priority, or else the
/// route's.
fn rank(call: &Call) -> u8 {
    let organisation = call.organisation.as_ref();
    let priority = organisation.and_then(|organisation| organisation.priority);
    let rank = u32::from(priority.unwrap_or(call.route.priority));
    u8::try_from(rank.min(LOWEST_RANK)).unwrap_or(u8::MAX)
}

/// Places a request for which no upstream was selected, because of `reason`, on one whose limit
/// allows it a little later.
async fn place_at_slot(
    gateway: &Gateway,
    call: &Call,
    history: &SharedHistory,
    reason: NoUpstream,
) -> Result<Placed, AttemptError> {
    let limits = gateway.rate_limits();
    let mut withheld: Vec<(UpstreamKey, Moment)> = limits.withheld();
    if withheld.is_empty() {
        return Err(AttemptError::NoUpstream(reason));
    }
    let upstreams = &gateway.parts().upstreams;
    let open = upstreams.open_of_service(&call.service, &call.allowed_regions);
    withheld.retain(|(key, _)| open.contains(key) && !history.borrow().tried.contains(key));
    withheld.sort_unstable_by_key(|(_, until)| *until);
    withheld.truncate(MAX_SLOT_REQUESTS);
    let mut refused: Option<Duration> = None;
    for (key, _) in withheld {
        let Some(upstream) = gateway.parts().upstreams.registration(key) else {
            continue;
        };
        let wait = SlotWait {
            max_wait: call
                .time_left()
                .saturating_sub(MIN_ATTEMPT_TIME)
                .min(MAX_SLOT_WAIT),
            rank: rank(call),
        };
        match limits.acquire(&[upstream], wait, &call.id).await {
            Ok(permits) => {
                wait_for_permits(&permits, history).await;
                let placement = place_on(gateway, call, &history.borrow(), key);
                return placement
                    .map(|placement| Placed { placement, permits })
                    .map_err(AttemptError::NoUpstream);
            }
            Err(NotPermitted { returns }) => {
                refused = Some(refused.map_or(returns, |before| before.min(returns)));
            }
        }
    }
    Err(match refused {
        Some(retry_after) => AttemptError::RateLimited { retry_after },
        None => AttemptError::NoUpstream(reason),
    })
}

/// Places a request on one upstream alone.
fn place_on(
    gateway: &Gateway,
    call: &Call,
    history: &History,
    key: UpstreamKey,
) -> Result<Placement, NoUpstream> {
    let parts = gateway.parts();
    let demand = demand(call, history, Duration::ZERO, &parts.connections);
    let mut others = parts.upstreams.keys();
    others.retain(|other| *other != key);
    parts.upstreams.place(&call.service, &demand, &others)
}

/// Selects the upstreams; waits while all engines are overloaded.
async fn place_once(
    gateway: &Gateway,
    call: &Call,
    history: &SharedHistory,
    avoided: &[UpstreamKey],
) -> Result<Placement, NoUpstream> {
    let started = Instant::now();
    let mut waited = Duration::ZERO;
    let mut held: Option<HeldPlace> = None;
    loop {
        gateway.parts().published.wait_until_confirmed().await;
        let connections = &gateway.parts().connections;
        let demand = demand(call, &history.borrow(), waited, connections);
        let upstreams = &gateway.parts().upstreams;
        let withheld = gateway.rate_limits().withheld();
        let tried = history.borrow().tried.clone();
        let excluded: Vec<UpstreamKey> = tried
            .iter()
            .chain(avoided)
            .copied()
            .chain(withheld.into_iter().map(|(key, _)| key))
            .collect();
        match upstreams.place(&call.service, &demand, &excluded) {
            Err(NoUpstream::Busy) if call.time_left() > MIN_ATTEMPT_TIME => {
                let period = busy_retry_pause(upstreams.count());
                let pause = match upstreams.shares_engines() {
                    true => turn_among_held(gateway, call, &demand, &mut held, period),
                    false => period,
                };
                compio::time::sleep(pause).await;
                waited = started.elapsed();
            }
            Err(NoUpstream::Resting) => match rest_to_wait_for(gateway, call, &excluded) {
                Some(rest) => {
                    compio::time::sleep(rest.min(REST_CHECK_PERIOD)).await;
                    waited = started.elapsed();
                }
                None => return Err(NoUpstream::Resting),
            },
            placement => {
                if let Err(NoUpstream::OrganisationOverShare(over_share)) = &placement {
                    trace::over_share(call, over_share);
                    gateway.parts().metrics.refused(ORGANISATION_OVER_SHARE);
                }
                history.borrow_mut().waited += waited;
                return placement;
            }
        }
    }
}

/// Time until a held request tries again: those that wait at this daemon try in order of precedence.
fn turn_among_held(
    gateway: &Gateway,
    call: &Call,
    demand: &Demand,
    held: &mut Option<HeldPlace>,
    period: Duration,
) -> Duration {
    let upstreams = &gateway.parts().upstreams;
    let precedence = precedence(call, || upstreams.is_above_share(&call.service, demand));
    let place = held.get_or_insert_with(|| gateway.held().join(precedence));
    place.set_precedence(precedence);
    place.next_try_in(Instant::now(), period)
}

/// Place among the requests that are held.
fn precedence(call: &Call, is_above_share: impl FnOnce() -> bool) -> Precedence {
    Precedence {
        is_late: call.arrived.elapsed() >= call.route.target,
        priority: rank(call),
        is_above_share: call.organisation.is_some() && is_above_share(),
        arrived: call.arrived,
    }
}

/// Time until an upstream takes requests again, if its answer may still come in time.
fn rest_to_wait_for(gateway: &Gateway, call: &Call, excluded: &[UpstreamKey]) -> Option<Duration> {
    let upstreams = &gateway.parts().upstreams;
    let rest = upstreams.soonest_rest_end(&call.service, &call.allowed_regions, excluded)?;
    (rest + call.route.target.max(MIN_ATTEMPT_TIME) <= call.time_left()).then_some(rest)
}

/// The refusal of a request for which no upstream takes requests in time.
///
/// The times of return are spread, so that not all callers come at the end of the rest.
fn resting(gateway: &Gateway, call: &Call, history: &History) -> AttemptError {
    let upstreams = &gateway.parts().upstreams;
    let rest = upstreams.soonest_rest_end(&call.service, &call.allowed_regions, &history.tried);
    let draw = f64::from(xxh3_64(call.id.as_bytes()) as u32) / f64::from(u32::MAX);
    AttemptError::Resting {
        retry_after: rest.unwrap_or_default().mul_f64(1.0 + RETURN_SPREAD * draw),
    }
}

/// Pause between two placement attempts while `engines` engines are overloaded.
fn busy_retry_pause(engines: usize) -> Duration {
    let factor = (engines as f64 / BUSY_RETRY_SCALING_ENGINES as f64).max(1.0);
    BUSY_RETRY_PAUSE.mul_f64(factor)
}

/// Describes a request to the placement algorithm.
fn demand(call: &Call, history: &History, waited: Duration, connections: &Connections) -> Demand {
    let gap = match call.route.safety {
        RetrySafety::Stream { gap, .. } => gap,
        RetrySafety::Idempotent | RetrySafety::AtMostOnce => Duration::ZERO,
    };
    let tokens = call.tokens;
    Demand {
        prompt_tokens: tokens.map_or(0, |tokens| tokens.prompt_tokens),
        answer_limit_tokens: tokens.map_or(0, |tokens| tokens.answer_limit_tokens),
        gap,
        target: call.route.target,
        elapsed: call.arrived.elapsed(),
        waited,
        caller: Caller {
            organisation: call.suspects.organisation,
            priority: rank(call),
        },
        request: call.fingerprint.as_number(),
        is_refusable: history.sent == 0,
        // Requests that must not be repeated always open a new connection.
        connected: match call.route.safety.may_retry() {
            true => connections.idle_addresses(),
            false => HashSet::new(),
        },
        time_left: call.time_left(),
        prompt_parts: Rc::clone(&call.prompt_parts),
        allowed_regions: call.allowed_regions.clone(),
    }
}
