//! Whether a prompt is sent now, held back, or refused.
//!
//! One place decides it, from a forecast of the engines that were chosen. Prompts that
//! take long are held back until engines have little else to do, so that shorter ones,
//! of which more are in time for the same work, come first. A prompt is held as long as
//! it can still be in time afterwards: a queue that is too long now may be read within
//! the time that the target leaves, and a caller who is refused and comes back is late
//! for certain. Once it can't be in time, one of the largest is refused, as it would hold
//! up many others for an answer of little use; the rest is read late, when engines have
//! time. The largest are refused at their arrival only if engines have so much to read
//! already that holding on is known to be in vain.
//!
//! How many of each size may be refused is steered by what became of the others of it
//! ([`crate::large_prompts`]). A size that was served too seldom is not refused, and is sent
//! while there is time to answer it rather than held for a shorter queue.

use mangofront_settings::process::ChoiceOptions;

use crate::choose::Demand;

/// What is expected of a prompt that joins the chosen engines now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Forecast {
    /// Time to read the whole prompt on one engine, in milliseconds.
    pub(crate) read_ms: f64,
    /// Longest queue before the chosen engines, in milliseconds.
    pub(crate) queue_ms: f64,
    /// Time until the last part is read, in milliseconds.
    pub(crate) read_after_ms: f64,
    /// Time in which all engines of the service would have read everything that was
    /// placed and this prompt, if they shared it evenly, in milliseconds.
    pub(crate) all_read_after_ms: f64,
}

/// What becomes of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// It joins the engines' queues.
    Send,
    /// It waits for shorter queues.
    Hold,
    /// It is refused, as it can't be in time.
    Refuse,
}

/// How many of a prompt's size are served without it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum ServedWithout {
    /// As many as are to be served, so that it may be refused.
    Enough,
    /// Fewer than that, and as many as are promised.
    AsPromised,
    /// Fewer than are promised.
    TooFew,
    /// It is none of the largest, and never refused for its size.
    NotCounted,
}

/// Decides what becomes of a prompt.
pub(crate) fn judge(
    forecast: Forecast,
    demand: &Demand,
    served_without: ServedWithout,
    options: &ChoiceOptions,
) -> Verdict {
    let is_split = forecast.read_ms > options.unsplit_read_ms;
    let joins = forecast.queue_ms * forecast.read_ms <= options.queue_read_ms2;
    if !is_split || joins {
        return Verdict::Send;
    }
    let may_refuse = served_without == ServedWithout::Enough && demand.is_refusable;
    let is_overrun = forecast.all_read_after_ms > options.overrun_ms;
    if may_refuse && is_overrun && demand.waited.is_zero() {
        return Verdict::Refuse;
    }
    let target_ms = demand.target.as_secs_f64() * 1_000.0;
    let elapsed_ms = demand.elapsed.as_secs_f64() * 1_000.0;
    let in_time_ms = target_ms * options.in_time_targets;
    if elapsed_ms + forecast.read_after_ms < in_time_ms {
        return Verdict::Hold;
    }
    if may_refuse {
        return Verdict::Refuse;
    }
    // Held on, it might be sent too late to be answered before its caller leaves.
    if served_without == ServedWithout::TooFew {
        return Verdict::Send;
    }
    // One that comes back has less time left than a late one may wait.
    let time_left_ms = demand.time_left.as_secs_f64() * 1_000.0;
    let has_time = time_left_ms > forecast.read_after_ms + target_ms;
    match has_time && elapsed_ms < target_ms * options.late_targets {
        true => Verdict::Hold,
        false => Verdict::Send,
    }
}
