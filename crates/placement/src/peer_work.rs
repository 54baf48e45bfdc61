//! Peers' outstanding requests on one engine, according to their views.

use std::time::Instant;

use crate::own_work::{BandTokens, OvertakingBudget};
use crate::peer_views::{EngineWork, NameHash};

/// Outstanding work of all peers on one engine.
///
/// Invariant: each number is the sum over the peers' current views.
#[derive(Debug, Default)]
pub(crate) struct PeerWork {
    pub(crate) outstanding: u32,
    pub(crate) waiting_tokens: BandTokens,
    pub(crate) since_report_tokens: u64,
    overtaking_budgets: Vec<(NameHash, OvertakingBudget)>,
    /// Sum over the views of waiting tokens times the seconds from `epoch` to the
    /// view's receipt.
    token_seconds: f64,
    epoch: Option<Instant>,
}

impl PeerWork {
    /// Adds the work in a view of `peer` received at `received_at`.
    pub(crate) fn add(&mut self, peer: NameHash, work: &EngineWork, received_at: Instant) {
        self.outstanding = self.outstanding.saturating_add(work.outstanding);
        self.since_report_tokens = self
            .since_report_tokens
            .saturating_add(work.since_report_tokens);
        for (band, tokens) in &work.waiting_tokens {
            if let Some(sum) = self.waiting_tokens.get_mut(usize::from(*band)) {
                *sum = sum.saturating_add(*tokens);
            }
        }
        if let Some(budget) = work.most_overtaken {
            self.overtaking_budgets.push((peer, budget));
        }
        self.token_seconds += self.token_seconds_of(work, received_at);
    }

    /// Subtracts what [`Self::add`] added.
    pub(crate) fn remove(&mut self, peer: NameHash, work: &EngineWork, received_at: Instant) {
        self.outstanding = self.outstanding.saturating_sub(work.outstanding);
        self.since_report_tokens = self
            .since_report_tokens
            .saturating_sub(work.since_report_tokens);
        for (band, tokens) in &work.waiting_tokens {
            if let Some(sum) = self.waiting_tokens.get_mut(usize::from(*band)) {
                *sum = sum.saturating_sub(*tokens);
            }
        }
        self.overtaking_budgets.retain(|(from, _)| *from != peer);
        self.token_seconds -= self.token_seconds_of(work, received_at);
        if self.total_tokens() == 0.0 {
            self.token_seconds = 0.0;
            self.epoch = None;
        }
    }

    /// Mean age of the views, weighted by their waiting tokens, in seconds.
    pub(crate) fn mean_age_s(&self, now: Instant) -> f64 {
        let total = self.total_tokens();
        let Some(epoch) = self.epoch.filter(|_| total > 0.0) else {
            return 0.0;
        };
        let now_s = now.saturating_duration_since(epoch).as_secs_f64();
        (now_s - self.token_seconds / total).max(0.0)
    }

    /// Smallest overtaking budget of each peer's waiting long prompts.
    pub(crate) fn overtaking_budgets(&self) -> impl Iterator<Item = OvertakingBudget> {
        self.overtaking_budgets.iter().map(|(_, budget)| *budget)
    }

    fn total_tokens(&self) -> f64 {
        self.waiting_tokens
            .iter()
            .map(|tokens| *tokens as f64)
            .sum()
    }

    fn token_seconds_of(&mut self, work: &EngineWork, received_at: Instant) -> f64 {
        let epoch = *self.epoch.get_or_insert(received_at);
        let tokens = work.waiting_tokens.iter().map(|(_, tokens)| *tokens as f64);
        let after_s = received_at.saturating_duration_since(epoch).as_secs_f64();
        tokens.sum::<f64>() * after_s
    }
}
