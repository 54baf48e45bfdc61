//! When an attempt that is silent gets a replacement beside it.
//!
//! A replacement costs the engines the whole prompt once more, so it is started only once the
//! silence is much longer than what is usual.

use std::time::Duration;

use mangofront_routes::RetrySafety;

use crate::call::Call;
use crate::gateway::Gateway;
use crate::running_attempt::RunningAttempt;
use crate::usual_times::Wait;

/// Multiple of the longest usual wait after which an upstream counts as silent.
const UNUSUAL_FACTOR: u32 = 2;

/// Multiple of the route's gap between events after which a stream counts as silent at the
/// earliest.
const SILENT_GAPS: u32 = 4;

/// Shortest silence after which a stream counts as silent: engines that read a long prompt beside
/// it, or that have lost a helper, go on after less.
const MIN_STREAM_SILENCE: Duration = Duration::from_millis(1_300);

/// Multiple of the predicted time to the first event that an upstream may take.
const FIRST_EVENT_FACTOR: u32 = 2;

/// Divisor of the request's time that a plain service gets to answer at the most.
const PLAIN_TIME_DIVISOR: u32 = 2;

/// Time by which silence that most upstreams share may last longer: whatever causes it, other
/// upstreams would answer no sooner.
const COMMON_SILENCE_PATIENCE: Duration = Duration::from_millis(1_500);

/// Why an attempt gets a replacement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum HedgeTrigger {
    /// Its upstream is silent.
    Silence,
    /// Its path is lost.
    PathLost,
}

impl HedgeTrigger {
    /// Name in logs.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Silence => "silence",
            Self::PathLost => "path_lost",
        }
    }
}

/// Silence after which an attempt gets a replacement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SilenceLimit {
    /// If the silence is that of its upstream alone.
    pub(crate) own: Duration,
    /// If most upstreams are silent.
    pub(crate) common: Duration,
}

impl SilenceLimit {
    /// The limit of an attempt.
    pub(crate) fn of(gateway: &Gateway, call: &Call, attempt: &RunningAttempt) -> Self {
        let longest = |wait| {
            let usual = gateway.usual_times().longest(&call.service, wait);
            usual.map(|usual| usual * UNUSUAL_FACTOR)
        };
        let own = match call.route.safety {
            RetrySafety::Stream { gap, .. } if attempt.has_events() => {
                let least = (gap * SILENT_GAPS).max(MIN_STREAM_SILENCE);
                let most = gateway.stall_timeout().max(least);
                longest(Wait::NextEvent)
                    .unwrap_or(most)
                    .max(least)
                    .min(most)
            }
            RetrySafety::Stream { .. } => {
                let predicted = attempt.expected() * FIRST_EVENT_FACTOR;
                let least = call.route.target;
                let most = gateway.stall_timeout().max(least);
                let late = longest(Wait::FirstEvent).unwrap_or(most);
                predicted + late.max(least).min(most)
            }
            RetrySafety::Idempotent | RetrySafety::AtMostOnce => {
                let time = call.deadline.saturating_duration_since(call.arrived);
                let most = time / PLAIN_TIME_DIVISOR;
                let usual = longest(Wait::Answer).unwrap_or(most);
                usual.max(call.route.target).min(most)
            }
        };
        Self {
            own,
            common: own + COMMON_SILENCE_PATIENCE,
        }
    }
}
