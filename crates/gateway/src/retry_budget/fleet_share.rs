//! The share of a limit of all daemons that belongs to one of them.
//!
//! Daemons that can't be reached may be running behind a partition and use theirs. One that has
//! seen them counts them for a while. One that starts behind the partition knows of none of them,
//! so it takes the share of its side: that of the availability zones in which it knows daemons
//! among all zones that it knows of. While it still learns who is running it takes none.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mangofront_limits::{DaemonId, FleetSize, LimitOptions, Moment};
use mangofront_settings::ids::AvailabilityZone;

/// Time without a new daemon after which a daemon that has started knows the others.
const LEARNED_AFTER: Duration = Duration::from_secs(1);

/// Time from its start in which a daemon learns who is running.
const LEARNING_TIME: Duration = Duration::from_secs(10);

/// Time for which daemons are expected in zones where none was seen.
const EXPECT_ZONES_FOR: Duration = Duration::from_secs(600);

/// Who is running, as a daemon sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// The daemons that answer, this one included, with their zones.
    pub running: BTreeMap<DaemonId, AvailabilityZone>,
    /// Zones in which daemons may be running.
    pub zones: BTreeSet<AvailabilityZone>,
    /// Whether other daemons are listed, running or not.
    pub lists_others: bool,
}

/// Computes the share of one daemon.
#[derive(Debug)]
pub struct FleetShare {
    started: Moment,
    fleet: FleetSize,
    grown_at: Moment,
    /// Zones in which a daemon was seen running.
    seen_zones: BTreeSet<AvailabilityZone>,
}

impl FleetShare {
    /// A daemon that starts now and knows of itself alone.
    #[must_use]
    pub fn new(own: DaemonId, now: Moment) -> Self {
        Self {
            started: now,
            fleet: FleetSize::new(LimitOptions::default(), own, now),
            grown_at: now,
            seen_zones: BTreeSet::new(),
        }
    }

    /// Number of daemons that may be running.
    #[must_use]
    pub fn daemons(&self) -> usize {
        self.fleet.counted()
    }

    /// Applies what this daemon sees, and returns its share, from 0 to 1.
    pub fn observe(&mut self, view: &FleetView, now: Moment) -> f64 {
        let before = self.fleet.counted();
        self.fleet.observe(view.running.keys().copied(), now);
        let daemons = self.fleet.counted();
        if daemons > before {
            self.grown_at = now;
        }
        for zone in view.running.values() {
            if !self.seen_zones.contains(zone) {
                self.seen_zones.insert(zone.clone());
            }
        }
        let is_alone = daemons == 1;
        let is_known = match is_alone {
            true => !view.lists_others,
            false => !self.is_learning(now),
        };
        if !is_known {
            return 0.0;
        }
        self.share_of_zones(view, now) / daemons as f64
    }

    fn is_learning(&self, now: Moment) -> bool {
        now.saturating_sub(self.started) < LEARNING_TIME
            && now.saturating_sub(self.grown_at) < LEARNED_AFTER
    }

    /// Part of the zones in which daemons were seen.
    fn share_of_zones(&self, view: &FleetView, now: Moment) -> f64 {
        if now.saturating_sub(self.started) >= EXPECT_ZONES_FOR {
            return 1.0;
        }
        let all = self.seen_zones.union(&view.zones).count();
        self.seen_zones.len() as f64 / all.max(1) as f64
    }
}
