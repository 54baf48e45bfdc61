//! Priority sent to the engine with a request.
//!
//! The priority can't change after the request is sent, so it combines the
//! amount of work with the slack, the time left beyond the prompt's own run
//! time. Each doubling of the work adds 16 to the priority, and the slack adds
//! up to 95. A prompt without slack therefore ranks less than six doublings
//! ahead of one of the same length with ample slack: new work of at most a 64th
//! of its length overtakes it, so it never blocks such short work. The amount of
//! work that overtakes a long prompt is limited at selection by a budget per
//! prompt.

use std::time::Duration;

/// Priority of all requests under the baseline policies.
pub(crate) const BASELINE_PRIORITY: u8 = 128;

/// Work below which all prompts count as equally short, in tokens.
const MIN_WORK_TOKENS: u64 = 1_024;

/// Increase of the priority per doubling of the work.
const PRIORITIES_PER_WORK_DOUBLING: f64 = 16.0;

/// Maximum contribution of the work to the priority.
const MAX_WORK_PRIORITY: f64 = 160.0;

/// Unit in which slack is measured; much smaller slack adds almost nothing.
const SLACK_UNIT: Duration = Duration::from_millis(50);

/// Increase of the priority per doubling of the slack.
const PRIORITIES_PER_SLACK_DOUBLING: f64 = 6.0;

/// Maximum contribution of the slack to the priority.
const MAX_SLACK_PRIORITY: f64 = 95.0;

/// Priority of a prompt with `work_tokens` uncached tokens and `slack` time to
/// spare; 0 is most urgent.
pub(crate) fn priority(work_tokens: u64, slack: Duration) -> u8 {
    let doublings = (work_tokens.max(MIN_WORK_TOKENS) as f64 / MIN_WORK_TOKENS as f64).log2();
    let work_priority = (PRIORITIES_PER_WORK_DOUBLING * doublings).min(MAX_WORK_PRIORITY);
    let slack_units = slack.div_duration_f64(SLACK_UNIT);
    let slack_priority =
        (PRIORITIES_PER_SLACK_DOUBLING * (1.0 + slack_units).log2()).min(MAX_SLACK_PRIORITY);
    (work_priority + slack_priority) as u8
}
