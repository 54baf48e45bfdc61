//! Leases by which daemons lend their shares to coordinators.

use std::collections::HashMap;

use crate::{DaemonId, GroupName, IncarnationId, LimitOptions, Moment};

/// Lends the share of this daemon.
#[derive(Debug)]
pub struct ShareLender {
    options: LimitOptions,
    started_at: Moment,
    leases: HashMap<GroupName, Lease>,
}

#[derive(Debug, Clone, Copy)]
struct Lease {
    coordinator: IncarnationId,
    until: Moment,
}

impl ShareLender {
    /// A daemon that started at `started_at`.
    #[must_use]
    pub fn new(options: LimitOptions, started_at: Moment) -> Self {
        Self {
            options,
            started_at,
            leases: HashMap::new(),
        }
    }

    /// Lends the share of a group's limits to a coordinator, or renews its lease; returns
    /// whether it did.
    pub fn lend(&mut self, group: &str, coordinator: IncarnationId, now: Moment) -> bool {
        let lease = self.options.share_lease();
        if now < self.started_at.saturating_add(lease) {
            // The previous incarnation of this daemon may have lent the same share.
            return false;
        }
        self.leases.retain(|_, lease| now < lease.until);
        let lent = self.leases.get(group);
        if lent.is_some_and(|lent| lent.coordinator != coordinator) {
            return false;
        }
        let until = now.saturating_add(lease);
        let lease = Lease { coordinator, until };
        self.leases.insert(group.to_owned(), lease);
        true
    }

    /// Ends the lease of a coordinator that uses the share no longer and whose permits have
    /// expired.
    pub fn take_back(&mut self, group: &str, coordinator: IncarnationId) {
        let lent = self.leases.get(group);
        if lent.is_some_and(|lent| lent.coordinator == coordinator) {
            self.leases.remove(group);
        }
    }
}

/// Shares that a coordinator holds.
#[derive(Debug, Default)]
pub(crate) struct HeldShares(HashMap<DaemonId, Moment>);

impl HeldShares {
    /// Records that a daemon lent its share; it may be used for a while from `asked_at`.
    pub(crate) fn record(&mut self, daemon: DaemonId, asked_at: Moment, options: &LimitOptions) {
        let until = asked_at.saturating_add(options.share_use);
        let held = self.0.entry(daemon).or_insert(until);
        *held = (*held).max(until);
    }

    /// Number of shares held.
    pub(crate) fn count(&self, now: Moment) -> usize {
        self.0.values().filter(|until| now < **until).count()
    }

    /// Drops the share of a daemon.
    pub(crate) fn remove(&mut self, daemon: DaemonId) {
        self.0.remove(&daemon);
    }

    /// Drops shares that may no longer be used.
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        self.0.retain(|_, until| now < *until);
    }
}
