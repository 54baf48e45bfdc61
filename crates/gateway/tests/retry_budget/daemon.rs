//! One daemon of the fleet.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mangofront_gateway::{RetryBudget, RetryLimit};
use mangofront_limits::{FleetSize, FleetView, LimitOptions};

const SERVICE: &str = "a";

/// One incarnation of a daemon.
#[derive(Debug)]
pub struct Daemon {
    pub zone: usize,
    /// When it will first have heard of each other daemon, in milliseconds.
    pub hears_at_ms: BTreeMap<usize, u64>,
    budget: RetryBudget,
    fleet: FleetSize,
    started: Instant,
    /// The daemons that it sees running, with their zones.
    members: BTreeMap<usize, usize>,
    view: FleetView,
}

impl Daemon {
    pub fn start(
        id: usize,
        zone: usize,
        hears_at_ms: BTreeMap<usize, u64>,
        limit: RetryLimit,
        salt: u64,
        now: Instant,
    ) -> Self {
        Self {
            zone,
            hears_at_ms,
            budget: RetryBudget::new(limit, salt, now),
            fleet: FleetSize::new(LimitOptions::default(), id as u64, Duration::ZERO),
            started: now,
            members: BTreeMap::new(),
            view: FleetView {
                zones: (0..crate::fleet::ZONES)
                    .map(|zone| zone.to_string())
                    .collect(),
                ..FleetView::default()
            },
        }
    }

    /// Learns that `members`, with their zones, are running.
    pub fn observe(&mut self, members: &BTreeMap<usize, usize>, now: Instant) {
        if self.members != *members {
            self.members.clone_from(members);
            let running = members.iter();
            self.view.running = running
                .map(|(id, zone)| (*id as u64, zone.to_string()))
                .collect();
            self.view.unanswered = unanswered(members);
        }
        let age = now - self.started;
        self.fleet.observe(&self.view, age);
        self.budget.set_fixed_share(self.fleet.share(age), now);
    }

    pub fn record_request(&self, now: Instant) {
        self.budget.record_request(SERVICE, now);
    }

    pub fn try_take(&self, now: Instant) -> bool {
        self.budget.try_take(SERVICE, now)
    }
}

/// The listed daemons, the first of each zone, that are not among `members`.
fn unanswered(members: &BTreeMap<usize, usize>) -> BTreeSet<u64> {
    let listed = 0..crate::fleet::ZONES;
    let unanswered = listed.filter(|id| !members.contains_key(id));
    unanswered.map(|id| id as u64).collect()
}
