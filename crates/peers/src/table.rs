//! Everything known of every daemon, and the order in which it was learned.
//!
//! Each record that changes takes the next change number. A link remembers up
//! to which number its peer has read, so that news crosses each link once and
//! nothing has to be sent again while nothing changes.
//!
//! Invariants: an entry with a record stands in `changes` under exactly its
//! `change` number; a record is only ever replaced by a greater one, until a
//! tombstone expires.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

use crate::member::{ListedPeer, MemberState, Record};
use crate::pulse::{ZoneKey, zone_key};
use crate::wire::ViewHash;

/// Daemons remembered at most, far above any fleet: gossip can't fill the memory.
const ENTRY_LIMIT: usize = 10_000;

/// Who told of a change, and in which life of it.
pub(crate) type Teacher = (InstanceId, Incarnation);

/// The merged records of all daemons.
#[derive(Debug, Default)]
pub struct Table {
    entries: BTreeMap<InstanceId, Entry>,
    changes: BTreeMap<u64, InstanceId>,
    last_change: u64,
    /// Hash of the view, until the next change.
    view: Cell<Option<ViewHash>>,
}

/// What is known of one daemon.
#[derive(Debug)]
pub(crate) struct Entry {
    /// Greatest record heard; none while it is only listed.
    pub(crate) record: Option<Record>,
    /// Zone of that record.
    pub(crate) zone: ZoneKey,
    /// The platform's line on it, while it is listed.
    pub(crate) listed: Option<ListedPeer>,
    /// Number of the record's last change.
    change: u64,
    /// Who told of that change.
    pub(crate) learned_from: Option<Teacher>,
    /// Last answer to this daemon, or last newer record.
    pub(crate) last_heard: Option<Instant>,
    /// Since when the record stands as it is.
    pub(crate) since: Instant,
    /// Until when it isn't picked for a far link, as it did not answer.
    pub(crate) avoid_until: Option<Instant>,
    /// Life and state last told to the embedder.
    pub(crate) reported: Option<(Incarnation, MemberState)>,
}

impl Entry {
    fn new(now: Instant) -> Self {
        Self {
            record: None,
            zone: 0,
            listed: None,
            change: 0,
            learned_from: None,
            last_heard: None,
            since: now,
            avoid_until: None,
            reported: None,
        }
    }

    /// Where to reach it: the platform's line goes before what it says itself.
    ///
    /// A daemon knows the address that it listens on, the platform the one by
    /// which others reach it, which differs behind a forwarder.
    pub(crate) fn address(&self) -> Option<SocketAddr> {
        let listed = self.listed.as_ref().map(|listed| listed.address);
        listed.or_else(|| self.record.as_ref().map(|record| record.address))
    }

    /// Whether the record says dead.
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

    /// Takes a record in; true when it was news.
    pub fn merge(&mut self, instance: &InstanceId, record: Record, now: Instant) -> bool {
        self.learn(instance, record, None, now)
    }

    /// The records, by instance.
    pub fn records(&self) -> impl Iterator<Item = (&InstanceId, &Record)> {
        self.entries
            .iter()
            .filter_map(|(instance, entry)| Some((instance, entry.record.as_ref()?)))
    }

    /// Takes a record in and remembers who told of it; true when it was news.
    pub(crate) fn learn(
        &mut self,
        instance: &InstanceId,
        record: Record,
        from: Option<Teacher>,
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
            entry.last_heard = Some(now);
            entry.avoid_until = None;
        }
        entry.zone = zone_key(&record.region, &record.availability_zone);
        entry.record = Some(record);
        entry.learned_from = from;
        entry.since = now;
        self.changes.remove(&entry.change);
        self.last_change += 1;
        entry.change = self.last_change;
        self.changes.insert(self.last_change, instance.clone());
        self.view.set(None);
        true
    }

    /// Replaces the platform's lines.
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
        }
    }

    /// Raises a member's state in its present life; true when that changed it.
    pub(crate) fn raise(&mut self, instance: &str, state: MemberState, now: Instant) -> bool {
        let Some(known) = self.get(instance).and_then(|entry| entry.record.clone()) else {
            return false;
        };
        let raised = Record { state, ..known };
        self.learn(&instance.to_owned(), raised, None, now)
    }

    /// Calls those dead that were suspected for long; forgets old tombstones.
    pub(crate) fn age(&mut self, dead_after: Duration, tombstone_after: Duration, now: Instant) {
        let mut dead = Vec::new();
        for (instance, entry) in &self.entries {
            let state = entry.record.as_ref().map(|record| record.state);
            if state == Some(MemberState::Suspect) && now - entry.since >= dead_after {
                dead.push(instance.clone());
            }
        }
        for instance in dead {
            self.raise(&instance, MemberState::Dead, now);
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

    /// Forgets every record but one's own; the platform's lines stay.
    pub(crate) fn forget_others(&mut self, own: &InstanceId) {
        for (instance, entry) in &mut self.entries {
            if instance != own && entry.record.take().is_some() {
                self.changes.remove(&entry.change);
                entry.reported = None;
            }
        }
        self.view.set(None);
    }

    /// Starts every running suspicion anew: the time was not ours.
    pub(crate) fn restart_suspicions(&mut self, now: Instant) {
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

    /// One daemon's entry, to note what doesn't travel.
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

    /// Hash of who is there, in which life and state.
    ///
    /// Dead members are left out, as tombstones expire at different times.
    pub(crate) fn view(&self) -> ViewHash {
        if let Some(view) = self.view.get() {
            return view;
        }
        let mut hash = 0;
        for (instance, record) in self.records() {
            if record.state != MemberState::Dead {
                let life = (
                    instance,
                    record.incarnation,
                    record.refutation,
                    record.state,
                );
                hash ^= postcard::to_stdvec(&life).map_or(0, |bytes| xxh3_64(&bytes));
            }
        }
        let [a, b, c, d, ..] = hash.to_le_bytes();
        self.view.set(Some([a, b, c, d]));
        [a, b, c, d]
    }
}
