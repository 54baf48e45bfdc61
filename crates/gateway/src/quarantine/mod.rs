//! Quarantine of what crashes upstreams: requests, and parts that prompts share.
//!
//! `mangofront-quarantine` decides what is at fault; this module finds out which upstreams have
//! crashed ([`crash`]), decides whether a request may be sent, and agrees with the other daemons
//! on trials ([`trials`]).

mod crash;
mod status;
mod suspects;
mod trials;

use std::time::{Duration, Instant};

use http::StatusCode;
use mangofront_quarantine::{QuarantineState, Suspect};

use crate::call::Call;
use crate::gateway::Gateway;
use crate::history::{AttemptError, MIN_ATTEMPT_TIME, QuarantineCause, SharedHistory};
use crate::trace;

pub(crate) use crash::{LostAttempt, record_lost_connection};
pub(crate) use status::format_suspect;
pub use status::{QuarantinedPart, QuarantinedRequest};
pub(crate) use suspects::Suspects;
pub(crate) use trials::{Trial, TrialMessage};
pub use trials::{Trials, TrialsParts};

/// Longest wait for the first trial of a prompt part: the pause before it and the start of an
/// answer. By then it is known whether sound prompts share the part.
const MAX_VERDICT_WAIT: Duration = Duration::from_millis(800);

/// Interval at which a waiting request looks for the verdict.
const VERDICT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Minimum Retry-After of a request that may be tried at any time, by one daemon at a time.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Checks that neither a request nor a part of its prompt is quarantined, or starts a trial.
///
/// Waits for the first trial of a part, which shows whether it is at fault.
pub(crate) async fn check_quarantine(
    gateway: &Gateway,
    call: &Call,
    history: &SharedHistory,
) -> Result<(), AttemptError> {
    let started = Instant::now();
    while history.borrow().trial.is_none() {
        let blocked = blocked_suspects(gateway, call);
        if blocked.is_empty() {
            return Ok(());
        }
        if let Some(trial) = begin_trial(gateway, call, &blocked).await {
            history.borrow_mut().trial = Some(trial);
            trace::trial_started(call, &blocked);
            return Ok(());
        }
        if !may_wait(gateway, call, &blocked, started) {
            return Err(refusal(gateway, call, &blocked));
        }
        compio::time::sleep(VERDICT_POLL_INTERVAL).await;
    }
    Ok(())
}

/// Checks again right before a request is sent, without a trial: other daemons may have seen more
/// upstreams crash meanwhile.
pub(crate) fn recheck_quarantine(
    gateway: &Gateway,
    call: &Call,
    history: &SharedHistory,
) -> Result<(), AttemptError> {
    if history.borrow().trial.is_some() {
        return Ok(());
    }
    match blocked_suspects(gateway, call) {
        blocked if blocked.is_empty() => Ok(()),
        blocked => Err(refusal(gateway, call, &blocked)),
    }
}

/// Suspects of a request that keep it from upstreams.
fn blocked_suspects(gateway: &Gateway, call: &Call) -> Vec<Suspect> {
    let upstreams = &gateway.parts().upstreams;
    let organisation = call.suspects.organisation;
    let all = call.suspects.all().iter().copied();
    all.filter(|suspect| {
        let state = upstreams.quarantine_state(*suspect, organisation);
        !matches!(state, QuarantineState::Open { .. })
    })
    .collect()
}

/// Begins the trial of suspects if one is allowed and no other daemon has one.
async fn begin_trial(gateway: &Gateway, call: &Call, blocked: &[Suspect]) -> Option<Trial> {
    let upstreams = &gateway.parts().upstreams;
    let organisation = call.suspects.organisation;
    let is_allowed = blocked.iter().all(|suspect| {
        upstreams.quarantine_state(*suspect, organisation) == QuarantineState::TrialAllowed
    });
    match is_allowed {
        true => gateway.parts().trials.begin(blocked).await,
        false => None,
    }
}

/// Whether a request should wait until it is known whether its blocked parts are at fault.
fn may_wait(gateway: &Gateway, call: &Call, blocked: &[Suspect], started: Instant) -> bool {
    let upstreams = &gateway.parts().upstreams;
    let is_undecided =
        |suspect: &Suspect| suspect.is_prompt_part() && upstreams.awaits_first_trial(*suspect);
    blocked.iter().all(is_undecided)
        && started.elapsed() < MAX_VERDICT_WAIT
        && call.time_left() > MIN_ATTEMPT_TIME + VERDICT_POLL_INTERVAL
}

fn refusal(gateway: &Gateway, call: &Call, blocked: &[Suspect]) -> AttemptError {
    let upstreams = &gateway.parts().upstreams;
    let organisation = call.suspects.organisation;
    let remaining = |suspect: &Suspect| match upstreams.quarantine_state(*suspect, organisation) {
        QuarantineState::Quarantined { remaining } => remaining,
        QuarantineState::Open { .. } | QuarantineState::TrialAllowed => Duration::ZERO,
    };
    let retry_after = blocked.iter().map(remaining).max().unwrap_or_default();
    let cause = match blocked.iter().any(|suspect| !suspect.is_prompt_part()) {
        true => QuarantineCause::Request,
        false => QuarantineCause::PromptPart,
    };
    trace::quarantined(call, blocked, retry_after);
    AttemptError::Quarantined {
        cause,
        retry_after: retry_after.max(MIN_RETRY_AFTER),
    }
}

/// Clears the parts of a prompt of crashes, since its answer is underway.
pub(crate) fn record_underway(gateway: &Gateway, call: &Call) {
    clear(gateway, call.suspects.parts(), &call.id, "answer underway");
}

/// Clears a request of crashes, since it was answered completely, and the parts of its prompt if
/// the answer was generated from them.
pub(crate) fn record_complete_answer(gateway: &Gateway, call: &Call, status: StatusCode) {
    let cleared = match status {
        status if status.is_success() => call.suspects.all(),
        status if status.is_server_error() => &[],
        _ => call.suspects.request(),
    };
    clear(gateway, cleared, &call.id, "answered");
}

fn clear(gateway: &Gateway, suspects: &[Suspect], request: &str, reason: &str) {
    let upstreams = &gateway.parts().upstreams;
    for suspect in suspects {
        if upstreams.clear_crashes(*suspect) {
            gateway.parts().metrics.suspect_cleared();
            trace::suspect_cleared(*suspect, request, reason);
        }
    }
}
