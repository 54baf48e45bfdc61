//! The attempts made for one request, and what may follow a failed one.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_engines::{NoUpstream, UpstreamKey, key_of};
use mangofront_routes::{Upstream, UpstreamId};
use mangofront_settings::ids::InstanceId;
use thiserror::Error;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::quarantine::Trial;
use crate::refusal::Refusal;
use crate::retry_budget::RetryPermit;
use crate::stopping::{self, CUT_OFF, STOPPING};
use crate::trace;

/// Upstreams that may prove unreachable for one request. Nothing was sent to them, so they
/// count neither as attempts nor as retries.
const UNREACHABLE_LIMIT: u32 = 4;

/// Minimum remaining time for which another attempt is worthwhile.
pub(crate) const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(40);

/// Retry-After when all upstreams are full or none is known.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);

/// Retry-After when every slot is taken: about the time for which a short answer occupies
/// one.
const RETRY_AFTER_SLOTS: Duration = Duration::from_millis(2_000);

/// Retry-After when every upstream is in an evacuated zone or outside the allowed regions. An end
/// of the evacuation is known here within this time.
const RETRY_AFTER_NOT_ELIGIBLE: Duration = Duration::from_secs(1);

/// Retry-After when the engines are overloaded and the prompt would miss its deadline.
const RETRY_AFTER_OVERRUN: Duration = Duration::from_millis(3_500);

/// Retry-After when no path leads from this daemon to the upstreams. Another daemon, to which
/// the caller's retry goes, may serve it at once.
const RETRY_AFTER_NO_PATH: Duration = Duration::from_millis(300);

/// Reason for refusing a request under which too many upstreams crashed.
pub(crate) const CRASHES_UPSTREAMS: &str = "request_crashes_upstreams";

/// Reason for refusing a request with a prompt part under which too many upstreams crashed.
pub(crate) const PROMPT_PART_CRASHES_UPSTREAMS: &str = "prompt_part_crashes_upstreams";

/// Reason for refusing a request for which the upstreams' rate limits leave no room.
pub(crate) const RATE_LIMITED: &str = "upstreams_rate_limited";

/// How far an upstream got with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AnswerProgress {
    /// No event was received, or the first one a moment ago.
    Starting,
    /// Events have been received for a while.
    Underway,
}

impl AnswerProgress {
    /// Name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Starting => "starting",
            Self::Underway => "underway",
        }
    }
}

/// What keeps a request from upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum QuarantineCause {
    /// The request itself.
    Request,
    /// A part of its prompt, which other requests have too.
    PromptPart,
}

/// Outcome of an attempt without an answer.
#[derive(Debug, Error)]
pub(crate) enum AttemptError {
    /// No upstream was selected.
    #[error(transparent)]
    NoUpstream(NoUpstream),
    /// Nothing was sent.
    #[error("nothing was sent: {0}")]
    Unreachable(String),
    /// Nothing was sent: the path to the upstream is lost, and no other daemon forwards the
    /// request.
    #[error("no path to the upstream")]
    NoPath,
    /// The upstream reports that it did not run the request.
    #[error("the upstream did not run it: {0}")]
    NotRun(String),
    /// The request may have run.
    #[error("it may have run: {0}")]
    MayHaveRun(String),
    /// The connection broke, or the upstream started again, while the request may have run.
    #[error("it may have run: {0}")]
    ConnectionLost(String),
    /// Nothing was sent: the rate limits of the upstreams leave no room.
    #[error("the upstreams' rate limits leave no room")]
    RateLimited {
        /// Time until the caller may return.
        retry_after: Duration,
    },
    /// Nothing was sent: all upstreams that were not tried asked for rest.
    #[error("the upstreams ask for rest")]
    Resting {
        /// Time until the caller may return.
        retry_after: Duration,
    },
    /// Too many upstreams crashed under the request or a part of its prompt.
    #[error("upstreams crash under it")]
    Quarantined {
        /// What they crashed under.
        cause: QuarantineCause,
        /// Time until the request may be tried again.
        retry_after: Duration,
    },
    /// The deadline passed; the request may have run.
    #[error("time is up")]
    DeadlineExceeded,
    /// Nothing was sent, as this daemon stops.
    #[error("{STOPPING}")]
    Stopping,
    /// This daemon stops, and can wait no longer.
    #[error("{CUT_OFF}")]
    CutOff,
}

impl AttemptError {
    /// Code in metrics and logs; it must not change.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::NoUpstream(_) => "no_upstream",
            Self::Unreachable(_) => "unreachable",
            Self::NotRun(_) => "not_run",
            Self::NoPath => "no_path",
            Self::MayHaveRun(_) | Self::ConnectionLost(_) => "may_have_run",
            Self::Quarantined { .. } => "quarantined",
            Self::RateLimited { .. } => "rate_limited",
            Self::Resting { .. } => "resting",
            Self::DeadlineExceeded => "out_of_time",
            Self::Stopping => STOPPING,
            Self::CutOff => CUT_OFF,
        }
    }
}

/// Leave to send a request to an upstream.
#[derive(Debug)]
pub(crate) enum SendLeave {
    /// For the first send, which needs none from the retry budget.
    First,
    /// For any other.
    Retry(RetryPermit),
}

impl SendLeave {
    /// Uses the leave, as the request is sent; returns whether that is a retry that was not
    /// counted yet.
    pub(crate) fn spend(&self) -> bool {
        match self {
            Self::First => false,
            Self::Retry(permit) => permit.spend(Instant::now()),
        }
    }
}

/// Whether a request may be sent once more.
#[derive(Debug)]
pub(crate) enum Resend {
    /// It may.
    Allowed(SendLeave),
    /// Not now: the retry budget has no room.
    NoBudget,
    /// Never.
    Never,
}

/// The attempts made for one request, which they share as they run beside each other.
pub(crate) type SharedHistory = Rc<RefCell<History>>;

/// The attempts made for one request.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) tried: Vec<UpstreamKey>,
    /// Ids of the upstreams that were selected, in order.
    pub(crate) selected: Vec<UpstreamId>,
    /// Number of upstreams that the request was sent to.
    pub(crate) sent: u32,
    pub(crate) unreachable: u32,
    pub(crate) may_have_run: bool,
    /// Whether an upstream was lost while it may have run the request.
    pub(crate) has_lost_connection: bool,
    /// Time for which the request waited for less loaded engines.
    pub(crate) waited: Duration,
    /// The trial of what is quarantined, if the request is one.
    pub(crate) trial: Option<Trial>,
    /// Whether an upstream was left out as no path leads to it.
    pub(crate) lacks_path: bool,
    /// The daemon that forwarded the last attempt, if one did.
    pub(crate) proxy: Option<InstanceId>,
}

impl History {
    /// Records that an upstream was selected.
    pub(crate) fn record_placement(&mut self, upstream: &Upstream) {
        self.tried.push(key_of(upstream));
        self.selected.push(upstream.id.clone());
    }

    /// Records that an attempt failed with `error` while no other one ran.
    pub(crate) fn record_failure(&mut self, gateway: &Gateway, error: &AttemptError) {
        self.has_lost_connection |= matches!(error, AttemptError::ConnectionLost(_));
        match error {
            AttemptError::NoUpstream(_)
            | AttemptError::RateLimited { .. }
            | AttemptError::Resting { .. }
            | AttemptError::Quarantined { .. }
            | AttemptError::Stopping
            | AttemptError::NotRun(_) => {}
            AttemptError::Unreachable(_) => self.unreachable += 1,
            AttemptError::NoPath => {
                self.unreachable += 1;
                self.lacks_path = true;
                let unreachable = gateway.upstream_client().without_direct_path();
                self.tried.extend(unreachable);
            }
            AttemptError::MayHaveRun(_)
            | AttemptError::ConnectionLost(_)
            | AttemptError::DeadlineExceeded
            | AttemptError::CutOff => self.may_have_run = true,
        }
    }

    /// Records that an attempt failed with `error` beside one at the upstream `running`.
    ///
    /// What was not sent counts for nothing, as the request may still need it if the other attempt
    /// is lost; upstreams that did not take it may be asked again.
    pub(crate) fn record_failure_beside(&mut self, running: UpstreamKey, error: &AttemptError) {
        self.has_lost_connection |= matches!(error, AttemptError::ConnectionLost(_));
        match error {
            AttemptError::MayHaveRun(_)
            | AttemptError::ConnectionLost(_)
            | AttemptError::DeadlineExceeded => self.may_have_run = true,
            AttemptError::NoUpstream(NoUpstream::AllTried) => {
                self.tried.retain(|key| *key == running);
            }
            _ => {}
        }
    }

    /// Whether another attempt may follow the last one, which failed with `error`.
    pub(crate) fn resend_after(
        &self,
        gateway: &Gateway,
        call: &Call,
        error: &AttemptError,
    ) -> Resend {
        match error {
            AttemptError::NoUpstream(_)
            | AttemptError::RateLimited { .. }
            | AttemptError::Resting { .. }
            | AttemptError::DeadlineExceeded
            | AttemptError::Stopping
            | AttemptError::CutOff
            | AttemptError::Quarantined { .. } => return Resend::Never,
            _ => {}
        }
        if self.may_have_run && !call.route.safety.may_retry() {
            return Resend::Never;
        }
        if call.time_left() < MIN_ATTEMPT_TIME || self.unreachable >= UNREACHABLE_LIMIT {
            return Resend::Never;
        }
        self.resend(gateway, call)
    }

    /// Whether the request may be sent, or sent once more, by the route, the quarantine and the
    /// retry budget.
    pub(crate) fn resend(&self, gateway: &Gateway, call: &Call) -> Resend {
        if self.has_lost_connection && is_near_quarantine(gateway, call) {
            return Resend::Never;
        }
        if self.sent == 0 {
            return Resend::Allowed(SendLeave::First);
        }
        if !self.has_attempts_left(call) {
            return Resend::Never;
        }
        let budget = gateway.retry_budget();
        let permit = budget.permit(&call.service, Instant::now());
        trace::retry_decided(
            &call.id,
            &call.service,
            gateway.daemon_count(),
            gateway.uptime(),
            permit.is_some(),
        );
        match permit {
            Some(permit) => Resend::Allowed(SendLeave::Retry(permit)),
            None => {
                gateway.parts().metrics.retry_refused();
                Resend::NoBudget
            }
        }
    }

    /// Whether the route allows another attempt.
    pub(crate) fn has_attempts_left(&self, call: &Call) -> bool {
        self.sent < call.route.attempts
    }

    fn no_path() -> Refusal {
        Refusal::NotRun {
            reason: "no_path_to_upstreams",
            retry_after: RETRY_AFTER_NO_PATH,
        }
    }

    /// The refusal of a request whose last attempt failed with `error`.
    pub(crate) fn refusal(&self, error: AttemptError) -> Refusal {
        let not_run = |reason| Refusal::NotRun {
            reason,
            retry_after: RETRY_AFTER_FULL,
        };
        if self.may_have_run {
            return match error {
                AttemptError::DeadlineExceeded => Refusal::TimedOut,
                AttemptError::MayHaveRun(reason)
                | AttemptError::ConnectionLost(reason)
                | AttemptError::NotRun(reason)
                | AttemptError::Unreachable(reason) => Refusal::Unknown { reason },
                AttemptError::NoUpstream(reason) => Refusal::Unknown {
                    reason: reason.to_string(),
                },
                AttemptError::Quarantined { .. }
                | AttemptError::RateLimited { .. }
                | AttemptError::Resting { .. }
                | AttemptError::Stopping
                | AttemptError::CutOff
                | AttemptError::NoPath => Refusal::Unknown {
                    reason: error.to_string(),
                },
            };
        }
        match error {
            AttemptError::NoPath => Self::no_path(),
            AttemptError::NoUpstream(NoUpstream::AllTried) if self.lacks_path => Self::no_path(),
            AttemptError::NoUpstream(reason) => Refusal::NotRun {
                reason: reason.code(),
                retry_after: retry_after(reason),
            },
            AttemptError::Unreachable(_) => not_run("upstreams_unreachable"),
            AttemptError::NotRun(_) => not_run("upstream_did_not_run_it"),
            AttemptError::MayHaveRun(reason) | AttemptError::ConnectionLost(reason) => {
                Refusal::Unknown { reason }
            }
            AttemptError::RateLimited { retry_after } => Refusal::NotRun {
                reason: RATE_LIMITED,
                retry_after,
            },
            AttemptError::Resting { retry_after } => Refusal::NotRun {
                reason: NoUpstream::Resting.code(),
                retry_after,
            },
            AttemptError::Quarantined { cause, retry_after } => Refusal::NotRun {
                reason: match cause {
                    QuarantineCause::Request => CRASHES_UPSTREAMS,
                    QuarantineCause::PromptPart => PROMPT_PART_CRASHES_UPSTREAMS,
                },
                retry_after,
            },
            AttemptError::CutOff if self.sent > 0 => Refusal::Unknown {
                reason: error.to_string(),
            },
            AttemptError::Stopping | AttemptError::CutOff => stopping::not_sent(),
            AttemptError::DeadlineExceeded => Refusal::TimedOut,
        }
    }
}

/// Whether the request or a part of its prompt is quarantined, or would be after one more crash.
pub(crate) fn is_near_quarantine(gateway: &Gateway, call: &Call) -> bool {
    let upstreams = &gateway.parts().upstreams;
    let organisation = call.suspects.organisation;
    let mut suspects = call.suspects.all().iter();
    suspects.any(|suspect| upstreams.is_near_quarantine(*suspect, organisation))
}

/// Retry-After of a request for which no upstream was selected.
fn retry_after(reason: NoUpstream) -> Duration {
    match reason {
        NoUpstream::Overrun => RETRY_AFTER_OVERRUN,
        NoUpstream::Full | NoUpstream::OrganisationOverShare(_) => RETRY_AFTER_SLOTS,
        NoUpstream::Evacuated | NoUpstream::OutsideRegions => RETRY_AFTER_NOT_ELIGIBLE,
        NoUpstream::NoneKnown
        | NoUpstream::AllTried
        | NoUpstream::Resting
        | NoUpstream::Busy
        | NoUpstream::TooLarge => RETRY_AFTER_FULL,
    }
}
