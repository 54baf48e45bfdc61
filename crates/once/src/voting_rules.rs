//! Conditions under which a voter may vote without having synchronised.

use std::time::Duration;

use crate::key::mint_time_unix_ms;
use crate::options::{duration_ms, unix_ms};

/// Parameters of these conditions.
#[derive(Debug, Clone, Copy)]
pub(crate) struct VotingRules {
    pub(crate) record_retention: Duration,
    pub(crate) clock_margin: Duration,
    pub(crate) first_start_unix_ms: u64,
}

impl VotingRules {
    /// Whether an operator confirms that a set adopted at `adopted_unix_ms` was
    /// adopted before any key was sent.
    pub(crate) fn operator_confirms(self, adopted_unix_ms: u64) -> bool {
        let first_start = self.first_start_unix_ms;
        let margin_ms = duration_ms(self.clock_margin);
        adopted_unix_ms.saturating_add(margin_ms) < first_start && first_start <= unix_ms()
    }

    /// Whether `key` was issued after `in_force_unix_ms`, by more than the margin.
    pub(crate) fn is_issued_after(self, key: &str, in_force_unix_ms: Option<u64>) -> bool {
        let Some((minted, in_force)) = mint_time_unix_ms(key).zip(in_force_unix_ms) else {
            return false;
        };
        let margin_ms = duration_ms(self.clock_margin);
        let in_future = minted > unix_ms().saturating_add(margin_ms);
        !in_future && minted > in_force.saturating_add(margin_ms)
    }
}
