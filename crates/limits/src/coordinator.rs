//! Grants permits for the upstreams of the groups that a daemon coordinates.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::rate::RateLimit;
use crate::schedule::Schedule;
use crate::shares::HeldShares;
use crate::{DaemonId, GroupName, LimitOptions, Moment, UpstreamKey};

/// Rank from which requests are scheduled least far ahead.
const LOWEST_RANK: u8 = 9;

/// Time for the shares of a group to arrive after they were asked for.
const SHARES_PAUSE: Duration = Duration::from_millis(50);

/// Longest time that a refusal names.
const LONGEST_RETURN: Duration = Duration::from_secs(60);

/// A request for a permit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// The upstream that the request would go to.
    pub upstream: UpstreamKey,
    /// Time for which the request can wait.
    pub max_wait: Duration,
    /// Rank among waiting requests, 0 to 9; 0 comes first.
    pub rank: u8,
}

/// Reply to a [`PermitRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum PermitDecision {
    /// The request may be sent after `delay`, for the lifetime of a permit.
    Granted {
        /// Time from the request for the permit.
        delay: Duration,
    },
    /// The coordinator holds no shares yet; it may be asked again after `pause`.
    NotReady {
        /// Time for the shares to arrive.
        pause: Duration,
    },
    /// The request can't be sent in time.
    Refused {
        /// Time until one that can wait could be sent.
        earliest: Duration,
        /// Time until the caller of this one may return.
        returns: Duration,
    },
}

impl PermitDecision {
    /// The decision of a coordinator that can't use any share yet.
    #[must_use]
    pub fn not_ready() -> Self {
        Self::NotReady {
            pause: SHARES_PAUSE,
        }
    }
}

/// The coordinator's side of a group.
#[derive(Debug, Default)]
struct Group {
    shares: HeldShares,
    /// When the other daemons were last asked for their shares.
    asked_at: Option<Moment>,
    /// When the last permit was granted.
    granted_at: Option<Moment>,
}

/// Grants permits by virtue of the shares that were lent to this daemon.
#[derive(Debug)]
pub struct Coordinator {
    options: LimitOptions,
    groups: HashMap<GroupName, Group>,
    schedules: HashMap<UpstreamKey, Schedule>,
}

impl Coordinator {
    /// Holds no shares.
    #[must_use]
    pub fn new(options: LimitOptions) -> Self {
        Self {
            options,
            groups: HashMap::new(),
            schedules: HashMap::new(),
        }
    }

    /// Whether the shares of a group should be asked for, as they were not within `period`;
    /// counts as asked if so.
    pub fn begin_asking(&mut self, group: &str, period: Duration, now: Moment) -> bool {
        let group = self.groups.entry(group.to_owned()).or_default();
        let is_due = group
            .asked_at
            .is_none_or(|at| now.saturating_sub(at) >= period);
        if is_due {
            group.asked_at = Some(now);
        }
        is_due
    }

    /// Records that a daemon lent its share of a group, in reply to a question at `asked_at`.
    pub fn receive_share(&mut self, group: &str, daemon: DaemonId, asked_at: Moment) {
        if let Some(group) = self.groups.get_mut(group) {
            group.shares.record(daemon, asked_at, &self.options);
        }
    }

    /// Drops the shares of a daemon that has ended.
    pub fn remove_daemon(&mut self, daemon: DaemonId) {
        for group in self.groups.values_mut() {
            group.shares.remove(daemon);
        }
    }

    /// Decides on a request for an upstream with a limit; `fleet` is the number of daemons that
    /// own a share.
    pub fn decide(
        &mut self,
        group: &str,
        request: &PermitRequest,
        limit: RateLimit,
        fleet: usize,
        now: Moment,
    ) -> PermitDecision {
        let share = self.share(group, fleet, now);
        let Some(interval) = limit.interval(share, self.options.least_per_s) else {
            return PermitDecision::not_ready();
        };
        let (horizon, max_wait) = (self.horizon(request.rank), request.max_wait);
        let schedule = self.schedule(request.upstream, interval, now);
        // One request of each limit may be saved up, divided among coordinators like the limit.
        let tolerance = interval.mul_f64(share);
        let earliest = schedule.earliest(tolerance, now);
        let delay = earliest.saturating_sub(now);
        if delay > horizon.min(max_wait) {
            let returns = schedule.refuse(tolerance, now).saturating_sub(now);
            return PermitDecision::Refused {
                earliest: delay.min(LONGEST_RETURN),
                returns: returns.min(LONGEST_RETURN),
            };
        }
        schedule.count(earliest);
        if let Some(group) = self.groups.get_mut(group) {
            group.granted_at = Some(now);
        }
        PermitDecision::Granted { delay }
    }

    /// Counts a request that was sent without a permit.
    pub fn charge(
        &mut self,
        group: &str,
        upstream: UpstreamKey,
        limit: RateLimit,
        fleet: usize,
        now: Moment,
    ) {
        let share = self.share(group, fleet, now);
        if let Some(interval) = limit.interval(share, self.options.least_per_s) {
            self.schedule(upstream, interval, now).count(now);
        }
    }

    /// Part of the limits of a group that this coordinator may grant, 0 to 1.
    #[must_use]
    pub fn share(&self, group: &str, fleet: usize, now: Moment) -> f64 {
        let group = self.groups.get(group);
        let held = group.map_or(0, |group| group.shares.count(now));
        held.min(fleet) as f64 / fleet.max(1) as f64
    }

    /// Stops granting for the groups that `is_own` does not name; returns those whose shares
    /// may be lent elsewhere, as no permit can be used any more.
    pub fn retire(&mut self, is_own: impl Fn(&str) -> bool, now: Moment) -> Vec<GroupName> {
        let in_use = self.options.horizon + self.options.permit_lifetime;
        let is_unused = |group: &Group| {
            group
                .granted_at
                .is_none_or(|at| now.saturating_sub(at) > in_use)
        };
        for group in self.groups.values_mut() {
            group.shares.remove_expired(now);
        }
        let retired: Vec<GroupName> = self
            .groups
            .iter()
            .filter(|(name, group)| !is_own(name) && is_unused(group))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &retired {
            self.groups.remove(name);
        }
        retired
    }

    /// Whether shares of any group are held or were asked for.
    #[must_use]
    pub fn has_groups(&self) -> bool {
        !self.groups.is_empty()
    }

    /// Forgets the schedules of upstreams that have no limit.
    pub fn retain(&mut self, is_limited: impl Fn(UpstreamKey) -> bool) {
        self.schedules.retain(|key, _| is_limited(*key));
    }

    /// Time ahead for which requests of a rank are granted permits; more urgent ones are
    /// granted them for longer, so that they come first when demand exceeds the limit.
    fn horizon(&self, rank: u8) -> Duration {
        let kept = 0.5 * f64::from(rank.min(LOWEST_RANK)) / f64::from(LOWEST_RANK);
        self.options.horizon.mul_f64(1.0 - kept)
    }

    fn schedule(
        &mut self,
        upstream: UpstreamKey,
        interval: Duration,
        now: Moment,
    ) -> &mut Schedule {
        let schedule = self
            .schedules
            .entry(upstream)
            .or_insert_with(|| Schedule::new(interval, now));
        schedule.set_interval(interval, now);
        schedule
    }
}
