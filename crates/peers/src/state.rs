//! State that the tasks of one daemon share.
//!
//! A member's state in this view is that of its record, or a worse one because of the
//! silence of its zone or the platform's list. Only the record is sent to others, so that
//! a partition between regions doesn't fill the links with records of dead members, and
//! its end doesn't fill them with refutations.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::call::CallConnections;
use crate::counters::LiveCounters;
use crate::freshness::Freshness;
use crate::gossip::TokenBucket;
use crate::member::{Member, MemberChange, MemberState, Record};
use crate::options::PeersOptions;
use crate::peers::{OnChange, Responder};
use crate::publication::Publications;
use crate::table::{Entry, Table};
use crate::transport::Server;
use crate::zone_heartbeat::{ZoneHeartbeats, zone_key};

/// Everything that the tasks share.
pub(crate) struct Shared {
    pub(crate) options: PeersOptions,
    pub(crate) server: Server,
    pub(crate) state: RefCell<State>,
    pub(crate) call_connections: RefCell<CallConnections>,
    pub(crate) counters: LiveCounters,
    pub(crate) running_calls: Cell<usize>,
    pub(crate) on_change: OnChange,
    pub(crate) responder: Responder,
}

impl Shared {
    /// Reports changed records to the embedder, if there are any.
    pub(crate) fn report_new_records(&self) {
        let has_new_records = {
            let state = self.state.borrow();
            state.table.last_change() > state.reported_through
        };
        if has_new_records {
            self.report_changes();
        }
    }

    /// Reports all changes to the embedder, also those due to time alone.
    ///
    /// The state must not be borrowed, as the embedder may call back.
    pub(crate) fn report_changes(&self) {
        let changes = self.state.borrow_mut().take_changes(Instant::now());
        for change in changes {
            let member = &change.member;
            log::info!(
                member = member.instance.as_str(),
                state = format!("{:?}", member.state).as_str(),
                incarnation = member.incarnation;
                "peers: member changed"
            );
            (self.on_change)(change);
        }
    }
}

/// The view and the data that belongs to it.
#[derive(Debug)]
pub(crate) struct State {
    options: PeersOptions,
    pub(crate) own: Record,
    pub(crate) table: Table,
    pub(crate) zone_heartbeats: ZoneHeartbeats,
    pub(crate) publications: Publications,
    pub(crate) token_bucket: TokenBucket,
    /// Whether this daemon has links to all others.
    pub(crate) full_mesh: bool,
    /// Last change of the table that was reported to the embedder.
    reported_through: u64,
    /// Last answer of each neighbour, or when its link opened or the process last resumed.
    last_answers: BTreeMap<InstanceId, Instant>,
    pub(crate) freshness: Freshness,
}

impl State {
    /// A view that contains this daemon only.
    pub(crate) fn new(options: &PeersOptions, own: Record, now: Instant) -> Self {
        let zone = zone_key(&own.region, &own.availability_zone);
        let mut table = Table::new();
        table.merge_from(&options.instance, own.clone(), None, now);
        Self {
            options: options.clone(),
            own,
            table,
            zone_heartbeats: ZoneHeartbeats::new(zone, now),
            publications: Publications::default(),
            token_bucket: TokenBucket::new(options.gossip_bytes_per_s, now),
            full_mesh: true,
            reported_through: 0,
            last_answers: BTreeMap::new(),
            freshness: Freshness::new(options, now),
        }
    }

    /// Incarnation of this process.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.own.incarnation
    }

    /// Announces the own record with a refutation greater than `above`.
    pub(crate) fn announce(&mut self, above: u32, now: Instant) {
        self.own.refutation = self.own.refutation.max(above).saturating_add(1);
        let own = self.own.clone();
        self.table
            .merge_from(&self.options.instance, own, None, now);
    }

    /// One member in this view.
    pub(crate) fn member(&self, instance: &InstanceId, now: Instant) -> Option<Member> {
        let entry = self.table.get(instance)?;
        self.to_member(instance, entry, now)
    }

    /// All members in this view, this daemon included.
    pub(crate) fn members(&self, now: Instant) -> Vec<Member> {
        self.table
            .iter()
            .filter_map(|(instance, entry)| self.to_member(instance, entry, now))
            .collect()
    }

    fn to_member(&self, instance: &InstanceId, entry: &Entry, now: Instant) -> Option<Member> {
        let state = self.state_of(entry, now);
        if let Some(record) = &entry.record {
            return Some(Member {
                instance: instance.clone(),
                region: record.region.clone(),
                availability_zone: record.availability_zone.clone(),
                capacity_percent: record.capacity_percent,
                address: entry.address()?,
                incarnation: record.incarnation,
                state,
                last_received: entry.last_received,
            });
        }
        let listed = entry.listed.as_ref()?;
        Some(Member {
            instance: instance.clone(),
            region: listed.region.clone(),
            availability_zone: listed.availability_zone.clone(),
            capacity_percent: 0,
            address: listed.address,
            incarnation: 0,
            state,
            last_received: None,
        })
    }

    /// A member's state in this view.
    pub(crate) fn state_of(&self, entry: &Entry, now: Instant) -> MemberState {
        let Some(record) = &entry.record else {
            return MemberState::Suspect;
        };
        let silent = self.zone_heartbeats.silent_for(entry.zone, now);
        let limit = self.options.zone_silent_after;
        let by_zone = if silent >= limit + self.options.dead_after {
            MemberState::Dead
        } else if silent >= limit {
            MemberState::Suspect
        } else {
            MemberState::Alive
        };
        let by_list = match &entry.listed {
            Some(listed) if listed.leaving => MemberState::Leaving,
            _ => MemberState::Alive,
        };
        record.state.max(by_zone).max(by_list)
    }

    /// Changes since the last call; marks them as reported.
    fn take_changes(&mut self, now: Instant) -> Vec<MemberChange> {
        self.reported_through = self.table.last_change();
        let mut changes = Vec::new();
        for (instance, entry) in self.table.iter() {
            let Some(record) = &entry.record else {
                continue;
            };
            let current = (record.incarnation, self.state_of(entry, now));
            if *instance == self.options.instance || entry.reported == Some(current) {
                continue;
            }
            if let Some(member) = self.to_member(instance, entry, now) {
                let previous = entry.reported;
                changes.push(MemberChange { member, previous });
            }
        }
        for change in &changes {
            if let Some(entry) = self.table.get_mut(&change.member.instance) {
                entry.reported = Some((change.member.incarnation, change.member.state));
            }
        }
        changes
    }

    /// Whether this daemon may suspect a member that doesn't answer it.
    ///
    /// Members of other zones are monitored within their own zone, and by the zone's
    /// heartbeat as a whole; it may be only the link to them that is broken.
    pub(crate) fn may_suspect(&self, instance: &InstanceId) -> bool {
        let same_zone = |record: &Record| {
            record.region == self.own.region
                && record.availability_zone == self.own.availability_zone
        };
        let record = self
            .table
            .get(instance)
            .and_then(|entry| entry.record.as_ref());
        record.is_some_and(same_zone) || self.table.iter().count() <= self.options.full_mesh_limit
    }

    /// Starts to expect a neighbour's answers.
    pub(crate) fn track_neighbour(&mut self, instance: &InstanceId, now: Instant) {
        self.last_answers.insert(instance.clone(), now);
    }

    /// Stops expecting them.
    pub(crate) fn untrack_neighbour(&mut self, instance: &str) {
        self.last_answers.remove(instance);
    }

    /// Records an answer.
    pub(crate) fn record_answer(&mut self, instance: &InstanceId, now: Instant) {
        if let Some(last_answer) = self.last_answers.get_mut(instance) {
            *last_answer = now;
        }
        if let Some(entry) = self.table.get_mut(instance) {
            entry.last_received = Some(now);
        }
        self.freshness.record_answer(now);
    }

    /// Time since a neighbour last answered.
    pub(crate) fn unanswered_for(&self, instance: &InstanceId, now: Instant) -> Duration {
        let last_answer = self.last_answers.get(instance).copied().unwrap_or(now);
        now.saturating_duration_since(last_answer)
    }

    /// Records that the process runs; returns whether it was paused since the last call.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        let pause = self.freshness.tick(now);
        if let Some(pause) = pause {
            self.resume(pause, now);
        }
        pause.is_some()
    }

    fn resume(&mut self, pause: Duration, now: Instant) {
        if pause >= self.options.tombstone_after / 2 {
            // Others may have dropped the tombstones of members that this view still has as alive.
            self.table.forget_others(&self.options.instance);
            self.freshness.forget_answers();
        }
        self.table.restart_suspicion_timers(now);
        self.zone_heartbeats.restart_timers(now);
        for last_answer in self.last_answers.values_mut() {
            *last_answer = now;
        }
        self.announce(0, now);
    }

    /// Whether the view is reliable.
    pub(crate) fn view_fresh(&self, now: Instant) -> bool {
        let alone = self.table.iter().count() <= 1;
        self.freshness.is_fresh(alone, now)
    }
}
