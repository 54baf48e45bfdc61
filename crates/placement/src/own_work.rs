//! This daemon's outstanding requests on one engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Number of priority bands in which waiting work is counted.
pub(crate) const BANDS: usize = 8;

/// Priorities in one band.
const PRIORITIES_PER_BAND: usize = 256 / BANDS;

/// Identifies a placed request on its engine.
pub(crate) type WorkId = u64;

/// Waiting prefill work by priority band, most urgent first, in tokens.
pub(crate) type BandTokens = [u64; BANDS];

/// Band of a priority.
pub(crate) fn band(priority: u8) -> usize {
    usize::from(priority) / PRIORITIES_PER_BAND
}

/// One placed request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Work {
    /// Time of the placement.
    pub(crate) placed_at: Instant,
    /// Priority that was sent to the engine.
    pub(crate) priority: u8,
    /// Prompt tokens to compute.
    pub(crate) prefill_tokens: u64,
    /// KV memory that the request occupies, in tokens.
    pub(crate) kv_tokens: u64,
    /// More urgent work that may still overtake the request, in tokens; set only
    /// for long prompts.
    pub(crate) overtaking_budget_tokens: Option<i64>,
}

/// Outstanding requests placed on one engine.
///
/// Invariants: `waiting` and the keys of `overtaking_budgets` are subsets of the
/// ids in `requests`; `waiting_tokens` is the sum over `waiting` by band. The two
/// `since_report` sums cover the requests placed since `measured_at`:
/// `since_report_tokens` those that are waiting, `since_report_kv_tokens` all.
/// All sums are zero when `requests` is empty.
#[derive(Debug, Default)]
pub(crate) struct OwnWork {
    next_id: WorkId,
    requests: BTreeMap<WorkId, Work>,
    waiting: BTreeSet<WorkId>,
    overtaking_budgets: BTreeMap<WorkId, OvertakingBudget>,
    waiting_tokens: BandTokens,
    since_report_tokens: BandTokens,
    since_report_kv_tokens: u64,
    measured_at: Option<Instant>,
}

/// Work that may still overtake a waiting long prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct OvertakingBudget {
    /// Priority of the prompt.
    pub(crate) priority: u8,
    /// More urgent work that may still be placed on the engine, in tokens.
    pub(crate) left_tokens: i64,
}

impl OwnWork {
    pub(crate) fn outstanding(&self) -> u32 {
        u32::try_from(self.requests.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn waiting_tokens(&self) -> &BandTokens {
        &self.waiting_tokens
    }

    /// Waiting tokens by band of requests placed after the last report was
    /// measured.
    pub(crate) fn since_report_tokens(&self) -> &BandTokens {
        &self.since_report_tokens
    }

    /// KV memory of requests placed after the last report was measured, in tokens.
    pub(crate) fn since_report_kv_tokens(&self) -> u64 {
        self.since_report_kv_tokens
    }

    /// Time at which the oldest waiting request was placed.
    pub(crate) fn oldest_waiting(&self) -> Option<Instant> {
        let id = self.waiting.first()?;
        self.requests.get(id).map(|work| work.placed_at)
    }

    /// Smallest budget among the waiting long prompts less urgent than `priority`.
    pub(crate) fn smallest_overtaking_budget(&self, priority: u8) -> Option<OvertakingBudget> {
        self.overtaking_budgets
            .values()
            .filter(|budget| budget.priority > priority)
            .min_by_key(|budget| budget.left_tokens)
            .copied()
    }

    pub(crate) fn add(&mut self, work: Work) -> WorkId {
        let id = self.next_id;
        self.next_id += 1;
        self.deduct_overtaking_budgets(&work);
        if let Some(left_tokens) = work.overtaking_budget_tokens {
            let priority = work.priority;
            let budget = OvertakingBudget {
                priority,
                left_tokens,
            };
            self.overtaking_budgets.insert(id, budget);
        }
        self.waiting_tokens[band(work.priority)] += work.prefill_tokens;
        if self.is_after_report(&work) {
            self.since_report_tokens[band(work.priority)] += work.prefill_tokens;
            self.since_report_kv_tokens += work.kv_tokens;
        }
        self.waiting.insert(id);
        self.requests.insert(id, work);
        id
    }

    /// Records that a request's prefill has completed.
    pub(crate) fn prefill_completed(&mut self, id: WorkId) {
        if !self.waiting.remove(&id) {
            return;
        }
        self.overtaking_budgets.remove(&id);
        let Some(work) = self.requests.get(&id).copied() else {
            return;
        };
        self.waiting_tokens[band(work.priority)] -= work.prefill_tokens;
        if self.is_after_report(&work) {
            self.since_report_tokens[band(work.priority)] -= work.prefill_tokens;
        }
    }

    /// Removes a request that has ended.
    pub(crate) fn remove(&mut self, id: WorkId) {
        self.prefill_completed(id);
        let Some(work) = self.requests.remove(&id) else {
            return;
        };
        if self.is_after_report(&work) {
            self.since_report_kv_tokens -= work.kv_tokens;
        }
    }

    /// Sets the time at which the engine's last report was measured.
    pub(crate) fn set_report_time(&mut self, at: Instant) {
        self.measured_at = Some(at);
        let newer = self
            .requests
            .iter()
            .filter(|(_, work)| work.placed_at >= at);
        let (mut tokens, mut kv_tokens) = ([0; BANDS], 0);
        for (id, work) in newer {
            kv_tokens += work.kv_tokens;
            if self.waiting.contains(id) {
                tokens[band(work.priority)] += work.prefill_tokens;
            }
        }
        self.since_report_tokens = tokens;
        self.since_report_kv_tokens = kv_tokens;
    }

    fn is_after_report(&self, work: &Work) -> bool {
        self.measured_at.is_none_or(|at| work.placed_at >= at)
    }

    fn deduct_overtaking_budgets(&mut self, work: &Work) {
        let tokens = i64::try_from(work.prefill_tokens).unwrap_or(i64::MAX);
        for budget in self.overtaking_budgets.values_mut() {
            if budget.priority > work.priority {
                budget.left_tokens = budget.left_tokens.saturating_sub(tokens);
            }
        }
    }
}
