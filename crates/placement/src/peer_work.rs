//! Requests that peers have placed on one engine, as far as they told.

use std::time::Instant;

use crate::gossip::{EngineWork, NameKey};
use crate::work::{BandTokens, Overtakable};

/// Outstanding work of all peers on one engine.
///
/// Invariant: each number is the sum over the peers' views in force.
#[derive(Debug, Default)]
pub(crate) struct PeerWork {
    pub(crate) outstanding: u32,
    pub(crate) waiting_tokens: BandTokens,
    pub(crate) since_report_tokens: u64,
    most_overtaken: Vec<(NameKey, Overtakable)>,
    /// Each view's waiting tokens by the time of its receipt after `epoch`.
    token_seconds: f64,
    epoch: Option<Instant>,
}

impl PeerWork {
    /// Adds the work that `peer` told of at `received_at`.
    pub(crate) fn add(&mut self, peer: NameKey, work: &EngineWork, received_at: Instant) {
        self.outstanding = self.outstanding.saturating_add(work.outstanding);
        self.since_report_tokens = self
            .since_report_tokens
            .saturating_add(work.since_report_tokens);
        for (band, tokens) in &work.waiting_tokens {
            if let Some(sum) = self.waiting_tokens.get_mut(usize::from(*band)) {
                *sum = sum.saturating_add(*tokens);
            }
        }
        if let Some(overtakable) = work.most_overtaken {
            self.most_overtaken.push((peer, overtakable));
        }
        self.token_seconds += self.token_seconds_of(work, received_at);
    }

    /// Takes out what [`Self::add`] added.
    pub(crate) fn remove(&mut self, peer: NameKey, work: &EngineWork, received_at: Instant) {
        self.outstanding = self.outstanding.saturating_sub(work.outstanding);
        self.since_report_tokens = self
            .since_report_tokens
            .saturating_sub(work.since_report_tokens);
        for (band, tokens) in &work.waiting_tokens {
            if let Some(sum) = self.waiting_tokens.get_mut(usize::from(*band)) {
                *sum = sum.saturating_sub(*tokens);
            }
        }
        self.most_overtaken.retain(|(from, _)| *from != peer);
        self.token_seconds -= self.token_seconds_of(work, received_at);
        if self.total_tokens() == 0.0 {
            self.token_seconds = 0.0;
            self.epoch = None;
        }
    }

    /// Mean age of the waiting work's views, in seconds.
    pub(crate) fn age_s(&self, now: Instant) -> f64 {
        let total = self.total_tokens();
        let Some(epoch) = self.epoch.filter(|_| total > 0.0) else {
            return 0.0;
        };
        let now_s = now.saturating_duration_since(epoch).as_secs_f64();
        (now_s - self.token_seconds / total).max(0.0)
    }

    /// For each peer, its waiting long prompt that least may overtake.
    pub(crate) fn most_overtaken(&self) -> impl Iterator<Item = Overtakable> {
        self.most_overtaken
            .iter()
            .map(|(_, overtakable)| *overtakable)
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
