//! The priority that a request is sent with.
//!
//! It is fixed at the send, so it has to carry both how much work the prompt
//! brings and how much time it has left. Sixteen steps stand for a doubling of
//! the work and up to 95 for the slack, the time left beyond what the prompt
//! itself takes. A prompt without slack thus stands no more than six doublings
//! before its length alone would put it: it is overtaken by fresh work of at
//! most a 64th of its length, and never blocks work shorter than that. How much
//! such work overtakes it is bounded where engines are chosen, by a budget that
//! is kept for each long prompt.

use std::time::Duration;

/// Priority of all requests under the baseline policies.
pub(crate) const BASELINE_PRIORITY: u8 = 128;

/// Work below which prompts are taken as equally short, in tokens.
const SHORTEST_TOKENS: u64 = 1_024;

/// Priorities for each doubling of the work.
const PER_DOUBLING: f64 = 16.0;

/// Highest part that the work makes up.
const MAX_WORK_PART: f64 = 160.0;

/// Slack that counts as none at all.
const SLACK_UNIT: Duration = Duration::from_millis(50);

/// Priorities for each doubling of the slack.
const PER_SLACK_DOUBLING: f64 = 6.0;

/// Highest part that the slack makes up.
const MAX_SLACK_PART: f64 = 95.0;

/// Priority of a prompt that brings `work_tokens` and could wait for `slack`.
pub(crate) fn priority(work_tokens: u64, slack: Duration) -> u8 {
    let doublings = (work_tokens.max(SHORTEST_TOKENS) as f64 / SHORTEST_TOKENS as f64).log2();
    let work_part = (PER_DOUBLING * doublings).min(MAX_WORK_PART);
    let slack_units = slack.div_duration_f64(SLACK_UNIT);
    let slack_part = (PER_SLACK_DOUBLING * (1.0 + slack_units).log2()).min(MAX_SLACK_PART);
    (work_part + slack_part) as u8
}
