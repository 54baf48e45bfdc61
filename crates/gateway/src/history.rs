//! The attempts made for one request, and what may follow a failed one.

use std::time::{Duration, Instant};

use mangofront_engines::{NoUpstream, UpstreamKey};
use mangofront_settings::ids::InstanceId;
use thiserror::Error;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::quarantine::Trial;
use crate::refusal::Refusal;
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
    /// The request may have run; the path to its upstream was lost.
    #[error("it may have run: the path to the upstream was lost")]
    PathLost,
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
}

impl AttemptError {
    /// Code in metrics and logs; it must not change.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::NoUpstream(_) => "no_upstream",
            Self::Unreachable(_) => "unreachable",
            Self::NotRun(_) => "not_run",
            Self::NoPath => "no_path",
            Self::MayHaveRun(_) | Self::ConnectionLost(_) | Self::PathLost => "may_have_run",
            Self::Quarantined { .. } => "quarantined",
            Self::RateLimited { .. } => "rate_limited",
            Self::Resting { .. } => "resting",
            Self::DeadlineExceeded => "out_of_time",
        }
    }
}

/// The attempts made for one request.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) tried: Vec<UpstreamKey>,
    /// Number of upstreams that the request was sent to.
    pub(crate) sent: u32,
    pub(crate) unreachable: u32,
    pub(crate) may_have_run: bool,
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
    /// Whether another attempt may follow one that failed with `error`.
    ///
    /// Takes from the retry budget if it returns true for a request that was sent before.
    pub(crate) fn may_retry(
        &mut self,
        gateway: &Gateway,
        call: &Call,
        error: &AttemptError,
    ) -> bool {
        match error {
            AttemptError::NoUpstream(_)
            | AttemptError::RateLimited { .. }
            | AttemptError::Resting { .. }
            | AttemptError::DeadlineExceeded
            | AttemptError::Quarantined { .. } => {
                return false;
            }
            AttemptError::Unreachable(_) => self.unreachable += 1,
            AttemptError::NoPath => {
                self.unreachable += 1;
                self.lacks_path = true;
                let unreachable = gateway.upstream_client().without_direct_path();
                self.tried.extend(unreachable);
            }
            AttemptError::NotRun(_) => {}
            AttemptError::MayHaveRun(_)
            | AttemptError::ConnectionLost(_)
            | AttemptError::PathLost => self.may_have_run = true,
        }
        if matches!(error, AttemptError::ConnectionLost(_)) && is_near_quarantine(gateway, call) {
            return false;
        }
        if self.may_have_run && !call.route.safety.may_retry() {
            return false;
        }
        if call.time_left() < MIN_ATTEMPT_TIME || self.unreachable >= UNREACHABLE_LIMIT {
            return false;
        }
        if self.sent == 0 {
            return true;
        }
        if !self.has_attempts_left(call) {
            return false;
        }
        let daemons = gateway.daemon_count();
        let budget = gateway.retry_budget();
        let is_allowed = budget.try_take(&call.service, Instant::now());
        trace::retry_decided(
            &call.id,
            &call.service,
            daemons,
            gateway.uptime(),
            is_allowed,
        );
        let metrics = &gateway.parts().metrics;
        match is_allowed {
            true => metrics.retried(),
            false => metrics.retry_refused(),
        }
        is_allowed
    }

    /// Whether the route and the retry budget allow another attempt.
    pub(crate) fn may_resend(&self, gateway: &Gateway, call: &Call) -> bool {
        let budget = gateway.retry_budget();
        self.has_attempts_left(call) && budget.has_room(&call.service, Instant::now())
    }

    /// Whether they would after one that is about to be sent.
    pub(crate) fn may_resend_after_next(&self, gateway: &Gateway, call: &Call) -> bool {
        self.sent + 1 < call.route.attempts && self.may_resend(gateway, call)
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
                | AttemptError::NoPath
                | AttemptError::PathLost => Refusal::Unknown {
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
            AttemptError::PathLost => Refusal::Unknown {
                reason: error.to_string(),
            },
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
            AttemptError::DeadlineExceeded => Refusal::TimedOut,
        }
    }
}

/// Whether the request or a part of its prompt is quarantined, or would be after one more crash.
fn is_near_quarantine(gateway: &Gateway, call: &Call) -> bool {
    let upstreams = &gateway.parts().upstreams;
    let organisation = call.suspects.organisation;
    let mut suspects = call.suspects.all().iter();
    suspects.any(|suspect| upstreams.is_near_quarantine(*suspect, organisation))
}

/// Retry-After of a request for which no upstream was selected.
fn retry_after(reason: NoUpstream) -> Duration {
    match reason {
        NoUpstream::Overrun => RETRY_AFTER_OVERRUN,
        NoUpstream::Full => RETRY_AFTER_SLOTS,
        NoUpstream::NoneKnown
        | NoUpstream::AllTried
        | NoUpstream::Resting
        | NoUpstream::Busy
        | NoUpstream::TooLarge => RETRY_AFTER_FULL,
    }
}
