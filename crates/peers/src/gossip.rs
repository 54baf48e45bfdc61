//! Gossip: builds the deltas that heartbeats and their answers carry, and applies received ones.
//!
//! **Budget.** A daemon in a fleet of 1,000, in 7 regions with 24 zones, has about 42
//! members in its zone and 4 links of its own (2 successors, 1 other zone, 1
//! other region); about 4 others link to it. Each link carries one heartbeat
//! and one answer a period, so that with a period of 1 s a daemon sends 8
//! messages and receives 8, however large the fleet is. With 24 zones such a
//! message has about 95 bytes, nng's framing included (`examples/measure.rs`):
//! 0.75 KB a second each way, and 0.4 KB more for TCP's and IP's headers, or
//! twice that where the kernel acknowledges each message by itself. That makes
//! 2.4 to 3.2 KB a second of the 6 that a daemon may spend.
//!
//! A delta holds changes only: each record or value crosses a link once, identified
//! by the change number up to which the other side is current
//! ([`crate::wire::Cursors`]). A record is about 60 bytes. At 110 failures and 1,100
//! replacements a day, with three records for each, that is 0.04 records a second over
//! 8 links, 20 bytes a second. A daemon that joins receives the whole table over each of
//! its links: 1,000 records or 60 KB a link, with 1,210 joining a day less than 10 bytes
//! a second for each daemon. Values of [`crate::Topic::Load`] and `Platform` stay
//! in the zone, unless the fleet is small: 41 others' values of 75 bytes every
//! 10 s, over the 4 links in the zone, are at most 1.2 KB a second sent. Busy
//! daemons publish more often than that; then the token bucket limits the bytes and
//! values arrive later; `docs/CAPACITY.md` has the measurements.
//!
//! Whatever is published, [`TokenBucket`] limits the bytes of changes that a daemon
//! sends. A value that has to wait is replaced by its successor, so that no queue
//! builds up. Records of members are sent before values.

use std::rc::Rc;
use std::time::Instant;

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::member::Record;
use crate::publication::{PUBLICATION_LIMIT_BYTES, Scope, StoredValue, Topic};
use crate::state::{Shared, State};
use crate::table::Sender;
use crate::wire::{Cursors, Delta, Publication, ZoneHeartbeat};
use crate::zone_heartbeat::zone_key;

/// Most bytes of changes in one message.
const DELTA_LIMIT_BYTES: usize = 16 * 1024;

/// Capacity of the token bucket: enough to send the table of 1,000 members to a new daemon at once.
const BUCKET_CAPACITY_BYTES: f64 = 64.0 * 1024.0;

/// Bytes that must be available before a message is sent ahead of its heartbeat.
const MIN_EARLY_MESSAGE_BYTES: usize = 512;

/// Most members of a fleet in which every value goes to all daemons.
const SMALL_FLEET_LIMIT: usize = 64;

/// Longest name of an instance, zone or region, in bytes.
const NAME_LIMIT_BYTES: usize = 128;

/// Most bytes of a record apart from its strings.
const RECORD_BASE_BYTES: usize = 32;

/// Most bytes of a value's header apart from its strings.
const PUBLICATION_BASE_BYTES: usize = 16;

/// Token bucket that limits the bytes of changes sent.
#[derive(Debug)]
pub(crate) struct TokenBucket {
    bytes_per_s: f64,
    bytes: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    /// Starts with a full bucket.
    pub(crate) fn new(bytes_per_s: u32, now: Instant) -> Self {
        Self {
            bytes_per_s: f64::from(bytes_per_s),
            bytes: BUCKET_CAPACITY_BYTES,
            refilled_at: now,
        }
    }

    /// Bytes of changes that one message may carry now.
    fn available(&mut self, now: Instant) -> usize {
        let passed = now
            .saturating_duration_since(self.refilled_at)
            .as_secs_f64();
        self.refilled_at = now;
        self.bytes = (self.bytes + passed * self.bytes_per_s).min(BUCKET_CAPACITY_BYTES);
        (self.bytes.max(0.0) as usize).min(DELTA_LIMIT_BYTES)
    }

    /// Whether enough bytes are available to send a message ahead of its heartbeat.
    pub(crate) fn permits_early_message(&mut self, now: Instant) -> bool {
        self.available(now) >= MIN_EARLY_MESSAGE_BYTES
    }

    fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}

/// The daemon that a delta is for, and the changes that it has already.
#[derive(Debug)]
pub(crate) struct Recipient<'a> {
    pub(crate) instance: &'a InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) after: Cursors,
}

impl Recipient<'_> {
    /// Whether a change came from this same incarnation of the recipient.
    fn is_sender(&self, sender: Option<&Sender>) -> bool {
        sender.is_some_and(|(instance, incarnation)| {
            instance == self.instance && *incarnation == self.incarnation
        })
    }
}

/// Collects the changes that a recipient lacks, as far as the token bucket allows.
pub(crate) fn build_delta(state: &mut State, recipient: &Recipient<'_>, now: Instant) -> Delta {
    let limit = state.token_bucket.available(now);
    let mut used = 0;
    let mut delta = Delta {
        through: recipient.after,
        complete: true,
        ..Delta::default()
    };
    add_members(state, recipient, limit, &mut used, &mut delta);
    add_publications(state, recipient, limit, &mut used, &mut delta);
    state.token_bucket.spend(used);
    delta
}

/// Whether there are changes of members that a recipient lacks.
pub(crate) fn has_member_changes(state: &State, recipient: &Recipient<'_>) -> bool {
    let mut changes = state.table.changes_after(recipient.after.members);
    changes.any(|(_, _, entry)| !recipient.is_sender(entry.received_from.as_ref()))
}

/// A delta with this daemon's own record alone.
pub(crate) fn own_record_delta(state: &State, instance: &InstanceId) -> Delta {
    Delta {
        members: vec![(instance.clone(), state.own.clone())],
        ..Delta::default()
    }
}

fn add_members(
    state: &State,
    recipient: &Recipient<'_>,
    limit: usize,
    used: &mut usize,
    delta: &mut Delta,
) {
    for (change, instance, entry) in state.table.changes_after(recipient.after.members) {
        let Some(record) = &entry.record else {
            continue;
        };
        if !recipient.is_sender(entry.received_from.as_ref()) {
            let bytes = record_bytes(instance, record);
            if *used + bytes > limit {
                delta.complete = false;
                return;
            }
            *used += bytes;
            delta.members.push((instance.clone(), record.clone()));
        }
        delta.through.members = change;
    }
    delta.through.members = state.table.last_change();
}

fn add_publications(
    state: &State,
    recipient: &Recipient<'_>,
    limit: usize,
    used: &mut usize,
    delta: &mut Delta,
) {
    for (change, topic, stored) in state
        .publications
        .changes_after(recipient.after.publications)
    {
        if !recipient.is_sender(stored.received_from.as_ref())
            && is_in_scope(state, recipient, topic, stored)
        {
            let value = &stored.published;
            let bytes = PUBLICATION_BASE_BYTES + value.origin.len() + value.value.len();
            if *used + bytes > limit {
                delta.complete = false;
                return;
            }
            *used += bytes;
            delta.publications.push(Publication {
                topic,
                origin: value.origin.clone(),
                incarnation: value.incarnation,
                sequence: value.sequence,
                value: value.value.to_vec(),
            });
        }
        delta.through.publications = change;
    }
    delta.through.publications = state.publications.last_change();
}

fn record_bytes(instance: &InstanceId, record: &Record) -> usize {
    RECORD_BASE_BYTES + instance.len() + record.region.len() + record.availability_zone.len()
}

/// Whether a value is to be sent to this recipient.
fn is_in_scope(
    state: &State,
    recipient: &Recipient<'_>,
    topic: Topic,
    stored: &StoredValue,
) -> bool {
    let origin = &stored.published.origin;
    let own = stored.received_from.is_none();
    let is_fleet_wide =
        topic.scope() == Scope::Fleet || state.table.iter().count() <= SMALL_FLEET_LIMIT;
    let zone = |instance: &InstanceId| state.table.get(instance).map(|entry| entry.zone);
    own || is_fleet_wide || zone(origin) == zone(recipient.instance)
}

/// Applies a delta and zone heartbeats received from another daemon.
pub(crate) fn apply(
    shared: &Rc<Shared>,
    from: &Sender,
    delta: Delta,
    zone_heartbeats: &[ZoneHeartbeat],
) {
    let now = Instant::now();
    {
        let mut state = shared.state.borrow_mut();
        for (instance, record) in delta.members {
            apply_record(shared, &mut state, from, &instance, record, now);
        }
        for publication in delta.publications {
            apply_publication(shared, &mut state, from, publication);
        }
        state.zone_heartbeats.merge(zone_heartbeats, now);
    }
    shared.report_new_records();
}

fn apply_record(
    shared: &Shared,
    state: &mut State,
    from: &Sender,
    instance: &InstanceId,
    record: Record,
    now: Instant,
) {
    let names = [instance, &record.region, &record.availability_zone];
    if names.iter().any(|name| name.len() > NAME_LIMIT_BYTES) {
        shared.counters.update(|counters| counters.malformed += 1);
        return;
    }
    if *instance == shared.options.instance {
        refute(shared, state, &record, now);
        return;
    }
    let zone = zone_key(&record.region, &record.availability_zone);
    state.zone_heartbeats.add_zone(zone, now);
    state
        .table
        .merge_from(instance, record, Some(from.clone()), now);
}

/// Refutes a received record of this instance, if it is wrong.
fn refute(shared: &Shared, state: &mut State, record: &Record, now: Instant) {
    if record.incarnation > state.own.incarnation {
        if state.freshness.has_joined() {
            // Two processes use the same name, and nothing tells which one is right.
            shared
                .counters
                .update(|counters| counters.duplicate_instances += 1);
            return;
        }
        // The clock was ahead when an earlier incarnation started.
        state.own.incarnation = record.incarnation + 1;
        state.announce(0, now);
    } else if *record > state.own && record.incarnation == state.own.incarnation {
        shared.counters.update(|counters| counters.refutations += 1);
        state.announce(record.refutation, now);
    }
}

fn apply_publication(shared: &Shared, state: &mut State, from: &Sender, value: Publication) {
    if value.value.len() > PUBLICATION_LIMIT_BYTES {
        shared.counters.update(|counters| counters.malformed += 1);
        return;
    }
    if value.origin == shared.options.instance {
        return;
    }
    let record = state
        .table
        .get(&value.origin)
        .and_then(|entry| entry.record.as_ref());
    // A value of an earlier incarnation or of a forgotten daemon has arrived late.
    if record.is_some_and(|record| record.incarnation <= value.incarnation) {
        state.publications.merge(value, Some(from.clone()));
    }
}
