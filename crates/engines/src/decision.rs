//! Decides whether a prompt is sent now, held, or refused.
//!
//! The decision is based on a forecast for the chosen engines. Long prompts are held until the
//! engines are nearly idle, so that shorter ones go first, of which more are on time for the same
//! work. A prompt is held as long as it can still be on time afterwards: the queue may drain within
//! its target, while a caller that is refused and retries is certainly late. Once it can't be on
//! time, one of the largest prompts is refused, as it would delay many others for an answer of
//! little use; any other is prefilled late, when the engines have time. The largest prompts are
//! refused on arrival only if the engines' backlog is so long that holding them is known to be
//! futile.
//!
//! The outcomes of other prompts in the same size class limit how many are refused
//! ([`crate::large_prompts`]). If too few of a class were served, its prompts are not refused, and
//! are sent while there is time to answer them rather than held for a shorter queue.

use mangofront_settings::process::ChoiceOptions;

use crate::choose::Demand;

/// Forecast for a prompt that joins the queues of the chosen engines now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    /// Time to prefill the whole prompt on one engine, in milliseconds.
    pub(crate) prefill_ms: f64,
    /// Longest queue at the chosen engines, in milliseconds.
    pub(crate) queue_ms: f64,
    /// Time until the last share is prefilled, in milliseconds.
    pub(crate) prefilled_after_ms: f64,
    /// Time in which the engines of the service would have prefilled everything placed so far and
    /// this prompt, if the work were spread evenly, in milliseconds.
    pub(crate) all_prefilled_after_ms: f64,
}

impl Forecast {
    /// Whether the prompt can be held a little longer and be on time.
    pub(crate) fn may_be_on_time(&self, demand: &Demand, options: &ChoiceOptions) -> bool {
        let target_ms = demand.target.as_secs_f64() * 1_000.0;
        let elapsed_ms = demand.elapsed.as_secs_f64() * 1_000.0;
        elapsed_ms + self.prefilled_after_ms < target_ms * options.in_time_targets
    }
}

/// What to do with a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Decision {
    /// Add it to the engines' queues.
    Send,
    /// Wait for shorter queues.
    Hold,
    /// Refuse it, as it can't be on time.
    Refuse,
}

/// Served share of a prompt's size class if this prompt is not served.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServedShare {
    /// The target share is met, so the prompt may be refused.
    TargetMet,
    /// Below the target share, but the promised share is met.
    PromiseMet,
    /// Below the promised share.
    BelowPromise,
    /// Not one of the largest prompts, so never refused for its size.
    NotCounted,
}

/// Decides what to do with a prompt.
pub(crate) fn decide(
    forecast: Forecast,
    demand: &Demand,
    served_share: ServedShare,
    options: &ChoiceOptions,
) -> Decision {
    let is_split = forecast.prefill_ms > options.unsplit_read_ms;
    let is_queue_short = forecast.queue_ms * forecast.prefill_ms <= options.queue_read_ms2;
    if !is_split || is_queue_short {
        return Decision::Send;
    }
    let may_refuse = served_share == ServedShare::TargetMet && demand.is_refusable;
    let is_overrun = forecast.all_prefilled_after_ms > options.overrun_ms;
    if may_refuse && is_overrun && demand.waited.is_zero() {
        return Decision::Refuse;
    }
    if forecast.may_be_on_time(demand, options) {
        return Decision::Hold;
    }
    if may_refuse {
        return Decision::Refuse;
    }
    // If it were held, it might be sent too late to be answered before its caller leaves.
    if served_share == ServedShare::BelowPromise {
        return Decision::Send;
    }
    // A caller that retries has less time left than a late prompt may be held for.
    let target_ms = demand.target.as_secs_f64() * 1_000.0;
    let elapsed_ms = demand.elapsed.as_secs_f64() * 1_000.0;
    let time_left_ms = demand.time_left.as_secs_f64() * 1_000.0;
    let has_time = time_left_ms > forecast.prefilled_after_ms + target_ms;
    match has_time && elapsed_ms < target_ms * options.late_targets {
        true => Decision::Hold,
        false => Decision::Send,
    }
}
