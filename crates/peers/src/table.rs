//! The records of all daemons, and the order in which they changed.
//!
//! Each record that changes gets the next change number. A link remembers the last
//! change number that its peer has, so that each change crosses a link once and nothing
//! is sent again while nothing changes.
//!
//! Invariants: an entry with a record is in `changes` under exactly its
//! `change` number; a record is only ever replaced by a greater one, until a
//! tombstone expires.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{ListedPeer, MemberState, Record};
use crate::wire::ViewHash;
use crate::zone_heartbeat::{ZoneKey, zone_key};

/// Most daemons in the table; far more than any fleet has, so that gossip can't fill memory.
const ENTRY_LIMIT: usize = 10_000;

/// The daemon that sent a change, and its incarnation.
pub(crate) type Sender = (InstanceId, Incarnation);

/// The merged records of all daemons.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<InstanceId, Entry>,
    changes: BTreeMap<u64, InstanceId>,
    last_change: u64,
    /// Cached hash of the view; empty after a change.
    view_hash: Cell<Option<ViewHash>>,
}

/// The information on one daemon.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Greatest record received; none while the daemon is only listed.
    pub(crate) record: Option<Record>,
    /// Zone of that record.
    pub(crate) zone: ZoneKey,
    /// Entry in the platform's list, while there is one.
    pub(crate) listed: Option<ListedPeer>,
    /// When it came into that list.
    pub(crate) listed_at: Option<Instant>,
    /// Number of the record's last change.
    change: u64,
    /// The daemon that sent that change.
    pub(crate) received_from: Option<Sender>,
    /// Last answer to this daemon, or last newer record.
    pub(crate) last_received: Option<Instant>,
    /// When the record last changed, or its timers were restarted.
    pub(crate) since: Instant,
    /// Until when it isn't chosen for a link from another zone, as it didn't answer.
    pub(crate) avoid_until: Option<Instant>,
    /// Incarnation and state last reported to the embedder.
    pub(crate) reported: Option<(Incarnation, MemberState)>,
}

impl Entry {
    fn new(now: Instant) -> Self {
        Self {
            record: None,
            zone: 0,
            listed: None,
            listed_at: None,
            change: 0,
            received_from: None,
            last_received: None,
            since: now,
            avoid_until: None,
            reported: None,
        }
    }

    /// Address of the daemon: the one that the platform lists, else the one in its record.
    ///
    /// A daemon knows the address that it listens on. The platform knows the one by which
    /// others reach it, which differs behind a forwarder.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        let listed = self.listed.as_ref().map(|listed| listed.address);
        listed.or_else(|| self.record.as_ref().map(|record| record.address))
    }

    /// Whether the record says that the daemon is dead.
    pub(crate) fn is_dead(&self) -> bool {
        matches!(&self.record, Some(record) if record.state == MemberState::Dead)
    }
}

impl Table {
    /// An empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Merges a record; returns whether it changed the table.
    pub fn merge(&mut self, instance: &InstanceId, record: Record, now: Instant) -> bool {
        self.merge_from(instance, record, None, now)
    }

    /// The records, by instance.
    pub fn records(&self) -> impl Iterator<Item = (&InstanceId, &Record)> {
        self.entries
            .iter()
            .filter_map(|(instance, entry)| Some((instance, entry.record.as_ref()?)))
    }

    /// Merges a record and remembers who sent it; returns whether it changed the table.
    pub(crate) fn merge_from(
        &mut self,
        instance: &InstanceId,
        record: Record,
        from: Option<Sender>,
        now: Instant,
    ) -> bool {
        if self.entries.len() >= ENTRY_LIMIT && !self.entries.contains_key(instance) {
            return false;
        }
        let entry = self
            .entries
            .entry(instance.clone())
            .or_insert_with(|| Entry::new(now));
        if entry.record.as_ref().is_some_and(|known| *known >= record) {
            return false;
        }
        if record.state.is_responsive() {
            entry.last_received = Some(now);
            entry.avoid_until = None;
        }
        entry.zone = zone_key(&record.region, &record.availability_zone);
        entry.record = Some(record);
        entry.received_from = from;
        entry.since = now;
        self.changes.remove(&entry.change);
        self.last_change += 1;
        entry.change = self.last_change;
        self.changes.insert(self.last_change, instance.clone());
        self.view_hash.set(None);
        true
    }

    /// Replaces the entries of the platform's list; a daemon that leaves it and of which nothing
    /// else is known is forgotten.
    pub(crate) fn set_listed(&mut self, listed: &[ListedPeer], now: Instant) {
        for entry in self.entries.values_mut() {
            entry.listed = None;
        }
        for peer in listed {
            let entry = self
                .entries
                .entry(peer.instance.clone())
                .or_insert_with(|| Entry::new(now));
            entry.listed = Some(peer.clone());
            entry.listed_at.get_or_insert(now);
        }
        self.entries.retain(|_, entry| {
            if entry.listed.is_none() {
                entry.listed_at = None;
            }
            entry.record.is_some() || entry.listed.is_some()
        });
    }

    /// Raises a member's state in its present incarnation; returns whether that changed it.
    pub(crate) fn raise_state(&mut self, instance: &str, state: MemberState, now: Instant) -> bool {
        let Some(known) = self.get(instance).and_then(|entry| entry.record.clone()) else {
            return false;
        };
        let raised = Record { state, ..known };
        self.merge_from(&instance.to_owned(), raised, None, now)
    }

    /// Declares members dead that were suspect for `dead_after`; forgets expired tombstones.
    pub(crate) fn apply_timeouts(
        &mut self,
        dead_after: Duration,
        tombstone_after: Duration,
        now: Instant,
    ) {
        let mut dead = Vec::new();
        for (instance, entry) in &self.entries {
            let state = entry.record.as_ref().map(|record| record.state);
            if state == Some(MemberState::Suspect) && now - entry.since >= dead_after {
                dead.push(instance.clone());
            }
        }
        for instance in dead {
            self.raise_state(&instance, MemberState::Dead, now);
        }
        let changes = &mut self.changes;
        self.entries.retain(|_, entry| {
            let expired = entry.is_dead() && now - entry.since >= tombstone_after;
            if expired {
                changes.remove(&entry.change);
                entry.record = None;
            }
            entry.record.is_some() || entry.listed.is_some()
        });
    }

    /// Forgets every record but the own one; the platform's list stays.
    pub(crate) fn forget_others(&mut self, own: &InstanceId) {
        for (instance, entry) in &mut self.entries {
            if instance != own && entry.record.take().is_some() {
                self.changes.remove(&entry.change);
                entry.reported = None;
            }
        }
        self.view_hash.set(None);
    }

    /// Restarts the timers of all suspicions after a pause, which is no evidence against anyone.
    pub(crate) fn restart_suspicion_timers(&mut self, now: Instant) {
        for entry in self.entries.values_mut() {
            if !entry.is_dead() {
                entry.since = now;
            }
        }
    }

    /// One daemon's entry.
    pub(crate) fn get(&self, instance: &str) -> Option<&Entry> {
        self.entries.get(instance)
    }

    /// One daemon's entry, to change what isn't sent to others.
    pub(crate) fn get_mut(&mut self, instance: &str) -> Option<&mut Entry> {
        self.entries.get_mut(instance)
    }

    /// All entries.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&InstanceId, &Entry)> {
        self.entries.iter()
    }

    /// Number of the last change.
    pub(crate) fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Changes after a number, oldest first.
    pub(crate) fn changes_after(
        &self,
        change: u64,
    ) -> impl Iterator<Item = (u64, &InstanceId, &Entry)> {
        self.changes
            .range(change.saturating_add(1)..)
            .filter_map(|(number, instance)| Some((*number, instance, self.entries.get(instance)?)))
    }

    /// Hash of all members with their incarnations and states.
    ///
    /// Dead members are excluded, as tombstones expire at different times.
    pub(crate) fn view_hash(&self) -> ViewHash {
        if let Some(hash) = self.view_hash.get() {
            return hash;
        }
        let mut hash = 0;
        for (instance, record) in self.records() {
            if record.state != MemberState::Dead {
                let identity = (
                    instance,
                    record.incarnation,
                    record.refutation,
                    record.state,
                );
                hash ^= postcard::to_stdvec(&identity).map_or(0, |bytes| xxh3_64(&bytes));
            }
        }
        let [a, b, c, d, ..] = hash.to_le_bytes();
        self.view_hash.set(Some([a, b, c, d]));
        [a, b, c, d]
    }
}
