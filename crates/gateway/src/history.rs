//! What has been tried for one request, and what may follow a failed attempt.

use std::time::{Duration, Instant};

use mangofront_engines::{NoUpstream, UpstreamKey};
use thiserror::Error;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::refusal::Refusal;
use crate::trace;

/// Upstreams that may be found unreachable for one request. Nothing was sent to
/// them, so they count neither as attempts nor as second sends.
const UNREACHABLE_LIMIT: u32 = 4;

/// Least time left in which another attempt is of use.
pub(crate) const LEAST_TIME: Duration = Duration::from_millis(40);

/// When a caller may come back after all upstreams were full or none was known.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);

/// When a caller may come back after every slot was taken: about the time for
/// which a short answer holds one.
const RETRY_AFTER_SLOTS: Duration = Duration::from_millis(2_000);

/// When a caller may come back with a prompt for which engines were overrun.
const RETRY_AFTER_OVERRUN: Duration = Duration::from_millis(3_500);

/// Why a request is refused under which too many upstreams crashed.
pub(crate) const CRASHES_UPSTREAMS: &str = "request_crashes_upstreams";

/// How an attempt ended without an answer.
#[derive(Debug, Error)]
pub(crate) enum Failed {
    /// No upstream was chosen.
    #[error(transparent)]
    NoUpstream(NoUpstream),
    /// Nothing was sent.
    #[error("nothing was sent: {0}")]
    Unreachable(String),
    /// The upstream says that it has not run the request.
    #[error("the upstream did not run it: {0}")]
    NotRun(String),
    /// The request may have run.
    #[error("it may have run: {0}")]
    MayHaveRun(String),
    /// The connection broke while the request may have run.
    #[error("it may have run: {0}")]
    Broken(String),
    /// Too many upstreams crashed under the request.
    #[error("upstreams crash under it")]
    Quarantined {
        /// When it may be tried again.
        retry_after: Duration,
    },
    /// Time is up; the request may have run.
    #[error("time is up")]
    OutOfTime,
}

impl Failed {
    /// Stable code, for metrics and logs.
    pub(crate) fn code(&self) -> &'static str {
        match self {
            Self::NoUpstream(_) => "no_upstream",
            Self::Unreachable(_) => "unreachable",
            Self::NotRun(_) => "not_run",
            Self::MayHaveRun(_) | Self::Broken(_) => "may_have_run",
            Self::Quarantined { .. } => "quarantined",
            Self::OutOfTime => "out_of_time",
        }
    }
}

/// What has been tried for one request.
#[derive(Debug, Default)]
pub(crate) struct History {
    pub(crate) tried: Vec<UpstreamKey>,
    /// Upstreams that the request was sent to.
    pub(crate) sent: u32,
    pub(crate) unreachable: u32,
    pub(crate) may_have_run: bool,
    /// Time for which the request waited for engines with less to do.
    pub(crate) waited: Duration,
    /// Whether it is tried again after upstreams crashed under it.
    pub(crate) is_trial: bool,
}

impl History {
    /// Whether another attempt may follow one that ended as `failed`.
    ///
    /// Takes from the budget of second sends when it says so.
    pub(crate) fn may_go_on(&mut self, gateway: &Gateway, call: &Call, failed: &Failed) -> bool {
        match failed {
            Failed::NoUpstream(_) | Failed::OutOfTime | Failed::Quarantined { .. } => {
                return false;
            }
            Failed::Unreachable(_) => self.unreachable += 1,
            Failed::NotRun(_) => {}
            Failed::MayHaveRun(_) | Failed::Broken(_) => self.may_have_run = true,
        }
        let upstreams = &gateway.parts().upstreams;
        if matches!(failed, Failed::Broken(_))
            && upstreams.is_near_quarantine(call.fingerprint.name())
        {
            return false;
        }
        if self.may_have_run && !call.route.safety.may_retry() {
            return false;
        }
        if call.time_left() < LEAST_TIME || self.unreachable >= UNREACHABLE_LIMIT {
            return false;
        }
        if self.sent == 0 {
            return true;
        }
        if !self.may_send_again(call) {
            return false;
        }
        let daemons = gateway.daemons();
        let budget = gateway.budget();
        let is_allowed = budget.try_take(&call.service, daemons, Instant::now());
        if is_allowed {
            gateway.parts().metrics.retried();
        } else {
            trace::second_send_refused(&call.id, &call.service, daemons);
        }
        is_allowed
    }

    /// Whether the route allows one more upstream.
    pub(crate) fn may_send_again(&self, call: &Call) -> bool {
        self.sent < call.route.attempts
    }

    /// The answer for a request whose last attempt ended as `failed`.
    pub(crate) fn refusal(&self, failed: Failed) -> Refusal {
        let not_run = |reason| Refusal::NotRun {
            reason,
            retry_after: RETRY_AFTER_FULL,
        };
        if self.may_have_run {
            return match failed {
                Failed::OutOfTime => Refusal::TimedOut,
                Failed::MayHaveRun(reason)
                | Failed::Broken(reason)
                | Failed::NotRun(reason)
                | Failed::Unreachable(reason) => Refusal::Unknown { reason },
                Failed::NoUpstream(reason) => Refusal::Unknown {
                    reason: reason.to_string(),
                },
                Failed::Quarantined { .. } => Refusal::Unknown {
                    reason: failed.to_string(),
                },
            };
        }
        match failed {
            Failed::NoUpstream(reason) => Refusal::NotRun {
                reason: reason.code(),
                retry_after: retry_after(reason),
            },
            Failed::Unreachable(_) => not_run("upstreams_unreachable"),
            Failed::NotRun(_) => not_run("upstream_did_not_run_it"),
            Failed::MayHaveRun(reason) | Failed::Broken(reason) => Refusal::Unknown { reason },
            Failed::Quarantined { retry_after } => Refusal::NotRun {
                reason: CRASHES_UPSTREAMS,
                retry_after,
            },
            Failed::OutOfTime => Refusal::TimedOut,
        }
    }
}

/// When a caller may come back for whom no upstream was chosen.
fn retry_after(reason: NoUpstream) -> Duration {
    match reason {
        NoUpstream::Overrun => RETRY_AFTER_OVERRUN,
        NoUpstream::Full => RETRY_AFTER_SLOTS,
        NoUpstream::NoneKnown | NoUpstream::AllTried | NoUpstream::Busy | NoUpstream::TooLarge => {
            RETRY_AFTER_FULL
        }
    }
}
