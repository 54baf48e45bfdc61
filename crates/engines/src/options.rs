//! Weights of the choice.

use std::time::Duration;

/// Weights of the choice among engines.
#[derive(Debug, Clone)]
pub struct ChoiceOptions {
    /// Cost of each further engine that reads a part, in milliseconds; 12 by default.
    ///
    /// A prompt that takes `r` ms on one engine is read by about `sqrt(r / 12)`:
    /// five engines for 45,000 tokens, twelve for 133,000, seventeen for
    /// 300,000. Less would split short prompts too, for which the risk that one
    /// more engine fails outweighs the few milliseconds.
    pub helper_cost_ms: f64,
    /// Cost of each place in the shared order, in milliseconds; 1.5 by default.
    ///
    /// About the time by which one more short answer lengthens a pass, so that
    /// an engine gets the next request when the one before it has one or two more.
    pub rank_cost_ms: f64,
    /// Prompts that take longer to read fill the engines from the far end, in
    /// milliseconds; 100 by default, between the short class and the next one.
    pub long_read_ms: f64,
    /// Share of an answer's longest pause that a pass may take; 0.75 by default.
    ///
    /// The rest is for what the prediction leaves out: other daemons' latest
    /// placements and the way to the caller.
    pub gap_share: f64,
    /// Cost of each answer whose pause would get too long, in milliseconds; 120 by default.
    pub broken_gap_cost_ms: f64,
    /// Cost of an engine in another availability zone, in milliseconds; 3 by
    /// default, about a round trip.
    pub other_zone_cost_ms: f64,
    /// Cost of a request that has to wait for a slot, in milliseconds; 400 by
    /// default, a third of a short answer's time.
    pub full_cost_ms: f64,
    /// Share of an engine's memory that is planned with; 0.96 by default, as
    /// memory comes in blocks and answers grow.
    pub memory_share: f64,
    /// Most engines that read one prompt with the one that answers; 16 by
    /// default, the most that engines take.
    pub helpers_limit: usize,
    /// How long a failed upstream is left out at first; 500 ms by default, and
    /// twice as long with each failure in a row.
    pub first_ejection: Duration,
    /// Longest time for which it is left out; 6 s by default.
    pub longest_ejection: Duration,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        Self {
            helper_cost_ms: 12.0,
            rank_cost_ms: 1.5,
            long_read_ms: 100.0,
            gap_share: 0.75,
            broken_gap_cost_ms: 120.0,
            other_zone_cost_ms: 3.0,
            full_cost_ms: 400.0,
            memory_share: 0.96,
            helpers_limit: 16,
            first_ejection: Duration::from_millis(500),
            longest_ejection: Duration::from_secs(6),
        }
    }
}
