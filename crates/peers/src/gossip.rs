//! News: what goes into a heartbeat and its answer, and what becomes of it.
//!
//! **Budget.** A daemon of 1,000, in 7 regions with 24 zones, has about 42
//! members in its zone and 4 links of its own (2 successors, 1 other zone, 1
//! other region); about 4 others link to it. Each link carries one heartbeat
//! and one answer a period, so that with a period of 1 s a daemon sends 8
//! messages and receives 8, however large the fleet is. With 24 zones such a
//! message has about 95 bytes, nng's framing included (`examples/measure.rs`):
//! 0.75 KB a second each way, and 0.4 KB more for TCP's and IP's headers, or
//! twice that where the kernel acknowledges each message by itself. That makes
//! 2.4 to 3.2 KB a second of the 6 that a daemon may spend.
//!
//! News is what changed: each record or value crosses a link once, after the
//! number up to which the other side has read ([`crate::wire::Cursors`]). A
//! record is about 60 bytes. At 110 failures and 1,100 replacements a day, with
//! three records for each, that is 0.04 records a second over 8 links, 20 bytes
//! a second. A newcomer reads the whole table over each of its links: 1,000
//! records or 60 KB a link, with 1,210 newcomers a day less than 10 bytes a
//! second for each daemon. Values of [`crate::Topic::Load`] and `Platform` stay
//! in the zone, unless the fleet is small: 41 others' values of 75 bytes every
//! 10 s, over the 4 links in the zone, are at most 1.2 KB a second sent. Busy
//! daemons publish more often than that, and then the allowance below bounds the
//! bytes and the values grow old; `docs/CAPACITY.md` has what was measured.
//!
//! Whatever is published, [`Allowance`] bounds the bytes of news that a daemon
//! sends; a value that has to wait is replaced by its next one, so that nothing
//! queues up. Membership goes before values.

use std::rc::Rc;
use std::time::Instant;

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::member::Record;
use crate::publication::{PUBLICATION_LIMIT_BYTES, Reach, Stored, Topic};
use crate::pulse::zone_key;
use crate::state::{Shared, State};
use crate::table::Teacher;
use crate::wire::{Cursors, Delta, Publication, Pulse};

/// News in one message at most, in bytes.
const DELTA_LIMIT_BYTES: usize = 16 * 1024;

/// News that may be saved up: enough to tell a newcomer of 1,000 members at once.
const ALLOWANCE_LIMIT_BYTES: f64 = 64.0 * 1024.0;

/// News that a message before its time must be able to carry, in bytes.
const EARLY_BYTES: usize = 512;

/// Members up to which every value goes to everyone.
const WIDE_FLEET_LIMIT: usize = 64;

/// Longest name of an instance, zone or region, in bytes.
const NAME_LIMIT_BYTES: usize = 128;

/// Bytes of a record besides its strings, at most.
const RECORD_BASE_BYTES: usize = 32;

/// Bytes of a value's head besides its strings, at most.
const PUBLICATION_BASE_BYTES: usize = 16;

/// Token bucket for news.
#[derive(Debug)]
pub(crate) struct Allowance {
    bytes_per_s: f64,
    bytes: f64,
    filled: Instant,
}

impl Allowance {
    /// A full bucket.
    pub(crate) fn new(bytes_per_s: u32, now: Instant) -> Self {
        Self {
            bytes_per_s: f64::from(bytes_per_s),
            bytes: ALLOWANCE_LIMIT_BYTES,
            filled: now,
        }
    }

    /// Bytes that one message may carry now.
    fn available(&mut self, now: Instant) -> usize {
        let passed = now.saturating_duration_since(self.filled).as_secs_f64();
        self.filled = now;
        self.bytes = (self.bytes + passed * self.bytes_per_s).min(ALLOWANCE_LIMIT_BYTES);
        (self.bytes.max(0.0) as usize).min(DELTA_LIMIT_BYTES)
    }

    /// Whether it is worth to send a message before its time.
    pub(crate) fn permits(&mut self, now: Instant) -> bool {
        self.available(now) >= EARLY_BYTES
    }

    fn spend(&mut self, bytes: usize) {
        self.bytes -= bytes as f64;
    }
}

/// Whom news is for, and how far it has read.
#[derive(Debug)]
pub(crate) struct Reader<'a> {
    pub(crate) instance: &'a InstanceId,
    pub(crate) incarnation: Incarnation,
    pub(crate) after: Cursors,
}

impl Reader<'_> {
    /// Whether the news came from this very life of the reader.
    fn told(&self, teacher: Option<&Teacher>) -> bool {
        teacher.is_some_and(|(who, life)| who == self.instance && *life == self.incarnation)
    }
}

/// Gathers what a reader lacks, as far as the allowance goes.
pub(crate) fn compose(state: &mut State, reader: &Reader<'_>, now: Instant) -> Delta {
    let limit = state.allowance.available(now);
    let mut used = 0;
    let mut delta = Delta {
        through: reader.after,
        complete: true,
        ..Delta::default()
    };
    compose_members(state, reader, limit, &mut used, &mut delta);
    compose_publications(state, reader, limit, &mut used, &mut delta);
    state.allowance.spend(used);
    delta
}

/// Whether there is news of members that a reader lacks.
pub(crate) fn has_members(state: &State, reader: &Reader<'_>) -> bool {
    let mut changes = state.table.changes_after(reader.after.members);
    changes.any(|(_, _, entry)| !reader.told(entry.learned_from.as_ref()))
}

/// The own record alone.
pub(crate) fn compose_own(state: &State, instance: &InstanceId) -> Delta {
    Delta {
        members: vec![(instance.clone(), state.own.clone())],
        ..Delta::default()
    }
}

fn compose_members(
    state: &State,
    reader: &Reader<'_>,
    limit: usize,
    used: &mut usize,
    delta: &mut Delta,
) {
    for (change, instance, entry) in state.table.changes_after(reader.after.members) {
        let Some(record) = &entry.record else {
            continue;
        };
        if !reader.told(entry.learned_from.as_ref()) {
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

fn compose_publications(
    state: &State,
    reader: &Reader<'_>,
    limit: usize,
    used: &mut usize,
    delta: &mut Delta,
) {
    for (change, topic, stored) in state.publications.changes_after(reader.after.publications) {
        if !reader.told(stored.learned_from.as_ref()) && concerns(state, reader, topic, stored) {
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

/// Whether a value goes to this reader.
fn concerns(state: &State, reader: &Reader<'_>, topic: Topic, stored: &Stored) -> bool {
    let origin = &stored.published.origin;
    let own = stored.learned_from.is_none();
    let wide = topic.reach() == Reach::Fleet || state.table.iter().count() <= WIDE_FLEET_LIMIT;
    let zone = |instance: &InstanceId| state.table.get(instance).map(|entry| entry.zone);
    own || wide || zone(origin) == zone(reader.instance)
}

/// Takes in what another daemon told.
pub(crate) fn apply(shared: &Rc<Shared>, from: &Teacher, delta: Delta, pulses: &[Pulse]) {
    let now = Instant::now();
    {
        let mut state = shared.state.borrow_mut();
        for (instance, record) in delta.members {
            apply_record(shared, &mut state, from, &instance, record, now);
        }
        for publication in delta.publications {
            apply_publication(shared, &mut state, from, publication);
        }
        state.pulses.merge(pulses, now);
    }
    shared.report_news();
}

fn apply_record(
    shared: &Shared,
    state: &mut State,
    from: &Teacher,
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
    state.pulses.know(zone, now);
    state.table.learn(instance, record, Some(from.clone()), now);
}

/// Answers what is said of this instance itself.
fn refute(shared: &Shared, state: &mut State, record: &Record, now: Instant) {
    if record.incarnation > state.own.incarnation {
        if state.freshness.joined() {
            // Two processes under one name, and no way to tell who is right.
            shared
                .counters
                .update(|counters| counters.duplicate_instances += 1);
            return;
        }
        // An earlier life began by a clock that ran ahead.
        state.own.incarnation = record.incarnation + 1;
        state.announce(0, now);
    } else if *record > state.own && record.incarnation == state.own.incarnation {
        shared.counters.update(|counters| counters.refutations += 1);
        state.announce(record.refutation, now);
    }
}

fn apply_publication(shared: &Shared, state: &mut State, from: &Teacher, value: Publication) {
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
    // A value of an earlier life, or of a daemon that is forgotten, is late gossip.
    if record.is_some_and(|record| record.incarnation <= value.incarnation) {
        state.publications.learn(value, Some(from.clone()));
    }
}
