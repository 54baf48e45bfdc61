//! One daemon of the fleet.

use std::collections::BTreeMap;
use std::time::Instant;

use mangofront_gateway::{FleetShare, FleetView, RetryBudget, RetryLimit};

const SERVICE: &str = "a";

/// One incarnation of a daemon.
#[derive(Debug)]
pub struct Daemon {
    pub zone: usize,
    /// When it will first have heard of each other daemon, in milliseconds.
    pub hears_at_ms: BTreeMap<usize, u64>,
    budget: RetryBudget,
    fleet: FleetShare,
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
            fleet: FleetShare::new(id as u64, std::time::Duration::ZERO),
            started: now,
            members: BTreeMap::new(),
            view: FleetView {
                zones: (0..crate::fleet::ZONES)
                    .map(|zone| zone.to_string())
                    .collect(),
                lists_others: true,
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
        }
        let share = self.fleet.observe(&self.view, now - self.started);
        self.budget.set_fixed_share(share, now);
    }

    pub fn record_request(&self, now: Instant) {
        self.budget.record_request(SERVICE, now);
    }

    pub fn try_take(&self, now: Instant) -> bool {
        self.budget.try_take(SERVICE, now)
    }
}
