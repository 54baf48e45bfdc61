//! Heartbeats of whole availability zones.
//!
//! A daemon exchanges heartbeats with its neighbours only, so that traffic doesn't grow
//! with the fleet. It therefore takes a distant member to be alive as long as no record
//! says otherwise and the heartbeat of that member's zone advances. A zone's heartbeat is
//! a counter: each member of the zone increments it when nobody else did for a period,
//! and all daemons merge it by taking the greater value. When the counter stops, the
//! zone is cut off or down, and this view alone treats its members as suspect and later
//! as dead. When it advances again they return, without any message about each of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::wire::ZoneHeartbeat;

/// Counters of other zones in one message; the remaining zones follow in later messages.
const OTHER_ZONES_PER_MESSAGE: usize = 6;

/// Hash that identifies a zone in messages.
pub(crate) type ZoneKey = u32;

/// Heartbeat counters of all zones.
#[derive(Debug)]
pub(crate) struct ZoneHeartbeats {
    own: ZoneKey,
    /// Count of the own zone at the last call of `increment_own`.
    own_last_count: u32,
    zones: BTreeMap<ZoneKey, ZoneState>,
    /// Last of the other zones in the previous message; the next message continues after it.
    last_sent: ZoneKey,
}

#[derive(Debug)]
struct ZoneState {
    count: u32,
    advanced_at: Instant,
}

/// Hash of a zone's region and name.
pub(crate) fn zone_key(region: &str, availability_zone: &str) -> ZoneKey {
    let hash = xxh3_64(format!("{region}\0{availability_zone}").as_bytes());
    (hash & u64::from(u32::MAX)) as u32
}

impl ZoneHeartbeats {
    /// Contains the own zone only.
    pub(crate) fn new(own: ZoneKey, now: Instant) -> Self {
        let state = ZoneState {
            count: 1,
            advanced_at: now,
        };
        Self {
            own,
            own_last_count: 0,
            zones: BTreeMap::from([(own, state)]),
            last_sent: own,
        }
    }

    /// Adds a zone; counters of unknown zones aren't merged, so that messages can't fill memory.
    pub(crate) fn add_zone(&mut self, zone: ZoneKey, now: Instant) {
        self.zones.entry(zone).or_insert(ZoneState {
            count: 0,
            advanced_at: now,
        });
    }

    /// Increments the own zone's counter unless another member did since the last call.
    pub(crate) fn increment_own(&mut self, now: Instant) {
        let Some(state) = self.zones.get_mut(&self.own) else {
            return;
        };
        if state.count == self.own_last_count {
            state.count = state.count.saturating_add(1);
            state.advanced_at = now;
        }
        self.own_last_count = state.count;
    }

    /// Merges received counters: the greater one wins.
    pub(crate) fn merge(&mut self, heartbeats: &[ZoneHeartbeat], now: Instant) {
        for heartbeat in heartbeats {
            match self.zones.get_mut(&heartbeat.zone) {
                Some(state) if heartbeat.count > state.count => {
                    state.count = heartbeat.count;
                    state.advanced_at = now;
                }
                _ => {}
            }
        }
    }

    /// Counters for the next message: the own zone's and those of the next few other zones.
    pub(crate) fn next_message(&mut self) -> Vec<ZoneHeartbeat> {
        let after = self.zones.range(self.last_sent.saturating_add(1)..);
        let before = self.zones.range(..=self.last_sent);
        let others: Vec<ZoneHeartbeat> = after
            .chain(before)
            .filter(|(zone, _)| **zone != self.own)
            .take(OTHER_ZONES_PER_MESSAGE)
            .map(|(zone, state)| ZoneHeartbeat {
                zone: *zone,
                count: state.count,
            })
            .collect();
        if let Some(last) = others.last() {
            self.last_sent = last.zone;
        }
        let own = self.zones.get(&self.own).map(|state| ZoneHeartbeat {
            zone: self.own,
            count: state.count,
        });
        own.into_iter().chain(others).collect()
    }

    /// Time since a zone's counter last advanced; zero for the own zone.
    pub(crate) fn silent_for(&self, zone: ZoneKey, now: Instant) -> Duration {
        match self.zones.get(&zone) {
            Some(state) if zone != self.own => now.saturating_duration_since(state.advanced_at),
            _ => Duration::ZERO,
        }
    }

    /// Restarts all timers after a pause, which is no evidence against any zone.
    pub(crate) fn restart_timers(&mut self, now: Instant) {
        for state in self.zones.values_mut() {
            state.advanced_at = now;
        }
    }
}
