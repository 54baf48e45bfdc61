//! Requests that this daemon has placed on one engine.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Instant;

use serde::{Deserialize, Serialize};

/// Number of priority bands in which waiting work is counted.
pub(crate) const BANDS: usize = 8;

/// Priorities in one band.
const PRIORITIES_PER_BAND: usize = 256 / BANDS;

/// Number of a placed request within its engine.
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
    /// When it was placed.
    pub(crate) placed_at: Instant,
    /// Priority it was sent with.
    pub(crate) priority: u8,
    /// Prompt tokens to be computed.
    pub(crate) prefill_tokens: u64,
    /// Memory that it takes, in tokens.
    pub(crate) kv_tokens: u64,
    /// More urgent work that may still go ahead of it, in tokens; kept only
    /// for prompts long enough to be overtaken often.
    pub(crate) overtaking_left_tokens: Option<i64>,
}

/// Requests placed on one engine that have not ended.
///
/// Invariants: `waiting` and `overtakable` are subsets of the ids in `all`;
/// `waiting_tokens` is the sum over `waiting` by band; the two sums "since
/// report" run over the works in `all` that were placed since `measured_at`,
/// the first over those that also wait. All of them are zero when `all` is
/// empty.
#[derive(Debug, Default)]
pub(crate) struct OwnWork {
    next_id: WorkId,
    all: BTreeMap<WorkId, Work>,
    waiting: BTreeSet<WorkId>,
    overtakable: BTreeMap<WorkId, Overtakable>,
    waiting_tokens: BandTokens,
    since_report_tokens: BandTokens,
    since_report_kv_tokens: u64,
    measured_at: Option<Instant>,
}

/// A waiting long prompt and what may still go ahead of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Overtakable {
    /// Priority that it was sent with.
    pub(crate) priority: u8,
    /// More urgent work that may still be placed there, in tokens.
    pub(crate) left_tokens: i64,
}

impl OwnWork {
    pub(crate) fn outstanding(&self) -> u32 {
        u32::try_from(self.all.len()).unwrap_or(u32::MAX)
    }

    pub(crate) fn waiting_tokens(&self) -> &BandTokens {
        &self.waiting_tokens
    }

    /// Waiting tokens by band, placed after the last report was measured.
    pub(crate) fn since_report_tokens(&self) -> &BandTokens {
        &self.since_report_tokens
    }

    /// Memory of the requests placed after the last report was measured.
    pub(crate) fn since_report_kv_tokens(&self) -> u64 {
        self.since_report_kv_tokens
    }

    /// When the oldest request that still waits was placed.
    pub(crate) fn oldest_waiting(&self) -> Option<Instant> {
        let id = self.waiting.first()?;
        self.all.get(id).map(|work| work.placed_at)
    }

    /// The waiting request less urgent than `priority` that least may overtake.
    pub(crate) fn most_overtaken(&self, priority: u8) -> Option<Overtakable> {
        self.overtakable
            .values()
            .filter(|overtakable| overtakable.priority > priority)
            .min_by_key(|overtakable| overtakable.left_tokens)
            .copied()
    }

    pub(crate) fn add(&mut self, work: Work) -> WorkId {
        let id = self.next_id;
        self.next_id += 1;
        self.spend_overtaking(&work);
        if let Some(left_tokens) = work.overtaking_left_tokens {
            let priority = work.priority;
            let overtakable = Overtakable {
                priority,
                left_tokens,
            };
            self.overtakable.insert(id, overtakable);
        }
        self.waiting_tokens[band(work.priority)] += work.prefill_tokens;
        if self.is_after_report(&work) {
            self.since_report_tokens[band(work.priority)] += work.prefill_tokens;
            self.since_report_kv_tokens += work.kv_tokens;
        }
        self.waiting.insert(id);
        self.all.insert(id, work);
        id
    }

    /// Notes that a request's prefill is done.
    pub(crate) fn started(&mut self, id: WorkId) {
        if !self.waiting.remove(&id) {
            return;
        }
        self.overtakable.remove(&id);
        let Some(work) = self.all.get(&id).copied() else {
            return;
        };
        self.waiting_tokens[band(work.priority)] -= work.prefill_tokens;
        if self.is_after_report(&work) {
            self.since_report_tokens[band(work.priority)] -= work.prefill_tokens;
        }
    }

    /// Takes a request out.
    pub(crate) fn remove(&mut self, id: WorkId) {
        self.started(id);
        let Some(work) = self.all.remove(&id) else {
            return;
        };
        if self.is_after_report(&work) {
            self.since_report_kv_tokens -= work.kv_tokens;
        }
    }

    /// Notes when the engine's last report was measured.
    pub(crate) fn report_measured(&mut self, at: Instant) {
        self.measured_at = Some(at);
        let newer = self.all.iter().filter(|(_, work)| work.placed_at >= at);
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

    fn spend_overtaking(&mut self, work: &Work) {
        let tokens = i64::try_from(work.prefill_tokens).unwrap_or(i64::MAX);
        for overtakable in self.overtakable.values_mut() {
            if overtakable.priority > work.priority {
                overtakable.left_tokens = overtakable.left_tokens.saturating_sub(tokens);
            }
        }
    }
}
