//! Number of daemons that may be sending requests.
//!
//! A limit of all daemons together is divided by the number of those that may be using it. Of
//! three kinds a daemon knows or expects that they may be running:
//!
//! - those that answer, and for a while those that did: one that can't be reached may be running
//!   behind a network partition. Only one that announced its leave is known to have stopped.
//! - those that are listed and have never answered;
//! - those of availability zones in which none was seen: as many a zone as in the others.
//!
//! The latter two are expected for a while too, so that a fleet whose other daemons are gone for
//! good comes to its whole limits again. A daemon that has just started knows no number while it
//! still learns of others. One that is alone although others are listed has nothing to tell how
//! many there are in a zone, not even in its own, so it waits for longer, and then expects one for
//! itself and for each that is listed in every zone. One that lists nobody else is a fleet of its
//! own.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use crate::{DaemonId, LimitOptions, Moment, ZoneName};

/// Time without a new daemon after which a daemon that has started knows the others.
const LEARNED_AFTER: Duration = Duration::from_secs(1);

/// Time from its start in which a daemon learns who is running.
const LEARNING_TIME: Duration = Duration::from_secs(10);

/// Who is running, as a daemon sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FleetView {
    /// The daemons that answer, this one included, with their availability zones.
    pub running: BTreeMap<DaemonId, ZoneName>,
    /// Availability zones in which daemons may be running.
    pub zones: BTreeSet<ZoneName>,
    /// Listed daemons that have never answered.
    pub unanswered: BTreeSet<DaemonId>,
}

/// Counts the daemons that are seen, those that were, and those that are expected.
#[derive(Debug)]
pub struct FleetSize {
    options: LimitOptions,
    started: Moment,
    grown_at: Moment,
    seen: HashMap<DaemonId, Moment>,
    /// Zones in which a daemon was seen running.
    seen_zones: BTreeSet<ZoneName>,
    /// All zones in which daemons may be running.
    zones: BTreeSet<ZoneName>,
    /// Since when each listed daemon is expected that has never answered.
    unanswered: HashMap<DaemonId, Moment>,
    /// Numbers that other daemons expect.
    reported: HashMap<DaemonId, (usize, Moment)>,
}

impl FleetSize {
    /// A daemon that starts now and knows of itself alone.
    #[must_use]
    pub fn new(options: LimitOptions, own: DaemonId, now: Moment) -> Self {
        Self {
            options,
            started: now,
            grown_at: now,
            seen: HashMap::from([(own, now)]),
            seen_zones: BTreeSet::new(),
            zones: BTreeSet::new(),
            unanswered: HashMap::new(),
            reported: HashMap::new(),
        }
    }

    /// Records what this daemon sees.
    pub fn observe(&mut self, view: &FleetView, now: Moment) {
        let before = self.seen.len();
        self.seen
            .extend(view.running.keys().map(|daemon| (*daemon, now)));
        if self.seen.len() > before {
            self.grown_at = now;
        }
        let forget_after = self.options.forget_daemon_after;
        let is_recent = |at: Moment| now.saturating_sub(at) < forget_after;
        self.seen.retain(|_, at| is_recent(*at));
        self.reported.retain(|_, (_, at)| is_recent(*at));
        for zone in view.running.values() {
            if !self.seen_zones.contains(zone) {
                self.seen_zones.insert(zone.clone());
            }
        }
        if self.zones != view.zones {
            self.zones.clone_from(&view.zones);
        }
        let unanswered = &mut self.unanswered;
        unanswered.retain(|daemon, _| view.unanswered.contains(daemon));
        for daemon in &view.unanswered {
            unanswered.entry(*daemon).or_insert(now);
        }
    }

    /// Records that a daemon announced its leave and ended.
    pub fn remove(&mut self, daemon: DaemonId) {
        self.seen.remove(&daemon);
        self.reported.remove(&daemon);
    }

    /// Records the number that another daemon expects; one that has just started learns from it
    /// of daemons that it has never seen.
    pub fn report(&mut self, daemon: DaemonId, count: usize, now: Moment) {
        self.reported.insert(daemon, (count, now));
    }

    /// Number of daemons that this one has seen.
    #[must_use]
    pub fn counted(&self) -> usize {
        self.seen.len().max(1)
    }

    /// Number of daemons that this one expects to be running; `None` while it learns of them.
    #[must_use]
    pub fn expected(&self, now: Moment) -> Option<usize> {
        let unanswered = self.unanswered(now);
        if self.is_learning(now, unanswered) {
            return None;
        }
        match (self.counted(), unanswered) {
            (1, 0) => Some(1),
            (1, unanswered) => Some(self.all_zones().max(1) * (1 + unanswered)),
            (counted, unanswered) => Some((counted + unanswered).max(self.by_zones(now))),
        }
    }

    /// Largest number that this daemon or another one expects; `None` while this one learns.
    #[must_use]
    pub fn get(&self, now: Moment) -> Option<usize> {
        let reported = self.reported.values().map(|(count, _)| *count);
        let reported = reported.max().unwrap_or_default();
        self.expected(now).map(|expected| expected.max(reported))
    }

    /// Part of a limit that belongs to this daemon, from 0 to 1; 0 while it learns.
    #[must_use]
    pub fn share(&self, now: Moment) -> f64 {
        let expected = self.expected(now);
        expected.map_or(0.0, |expected| 1.0 / expected as f64)
    }

    /// Number of listed daemons that have never answered, and still may.
    fn unanswered(&self, now: Moment) -> usize {
        let is_expected = |daemon: &DaemonId, since: Moment| {
            !self.seen.contains_key(daemon)
                && now.saturating_sub(since) < self.options.forget_daemon_after
        };
        let unanswered = self.unanswered.iter();
        unanswered
            .filter(|(daemon, since)| is_expected(daemon, **since))
            .count()
    }

    fn is_learning(&self, now: Moment, unanswered: usize) -> bool {
        let has_more_to_learn = match self.counted() {
            1 => unanswered > 0,
            _ => now.saturating_sub(self.grown_at) < LEARNED_AFTER,
        };
        now.saturating_sub(self.started) < LEARNING_TIME && has_more_to_learn
    }

    /// Number of daemons if those of zones in which none was seen are as many as in the others.
    fn by_zones(&self, now: Moment) -> usize {
        if now.saturating_sub(self.started) >= self.options.forget_daemon_after {
            return self.counted();
        }
        let seen = self.seen_zones.len().max(1);
        (self.counted() * self.all_zones()).div_ceil(seen)
    }

    /// Number of zones in which daemons were seen or may be running.
    fn all_zones(&self) -> usize {
        self.seen_zones.union(&self.zones).count()
    }
}
