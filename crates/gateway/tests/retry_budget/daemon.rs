//! One daemon of the fleet.

use std::collections::BTreeMap;
use std::time::Instant;

use mangofront_gateway::{RetryBudget, RetryLimit};

const SERVICE: &str = "a";

/// One incarnation of a daemon.
#[derive(Debug)]
pub struct Daemon {
    pub zone: usize,
    /// When it will first have heard of each other daemon, in milliseconds.
    pub hears_at_ms: BTreeMap<usize, u64>,
    budget: RetryBudget,
    known: usize,
}

impl Daemon {
    pub fn start(
        _id: usize,
        zone: usize,
        hears_at_ms: BTreeMap<usize, u64>,
        limit: RetryLimit,
        _now: Instant,
    ) -> Self {
        Self {
            zone,
            hears_at_ms,
            budget: RetryBudget::new(limit),
            known: 1,
        }
    }

    /// Learns that `members`, with their zones, are running.
    pub fn observe(&mut self, members: &BTreeMap<usize, usize>, _now: Instant) {
        self.known = self.known.max(members.len());
    }

    pub fn record_request(&self, now: Instant) {
        self.budget.record_request(SERVICE, now);
    }

    pub fn try_take(&self, now: Instant) -> bool {
        self.budget.try_take(SERVICE, self.known, now)
    }
}
