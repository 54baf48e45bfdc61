//! What the tasks of one daemon share.
//!
//! A member's state in this view is its record's, made worse by its zone's
//! silence and by the platform's line; only the record travels. That keeps a
//! cut between regions from filling the links with records of death, and its
//! healing from filling them with refutations.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::call::CallLinks;
use crate::counters::LiveCounters;
use crate::freshness::Freshness;
use crate::gossip::Allowance;
use crate::member::{Member, MemberChange, MemberState, Record};
use crate::options::PeersOptions;
use crate::peers::{OnChange, Responder};
use crate::publication::Publications;
use crate::pulse::{Pulses, zone_key};
use crate::table::{Entry, Table};
use crate::transport::Server;

/// Everything that the tasks share.
pub(crate) struct Shared {
    pub(crate) options: PeersOptions,
    pub(crate) server: Server,
    pub(crate) state: RefCell<State>,
    pub(crate) call_links: RefCell<CallLinks>,
    pub(crate) counters: LiveCounters,
    pub(crate) running_calls: Cell<usize>,
    pub(crate) on_change: OnChange,
    pub(crate) responder: Responder,
}

impl Shared {
    /// Tells the embedder what records changed, if any did.
    pub(crate) fn report_news(&self) {
        let news = {
            let state = self.state.borrow();
            state.table.last_change() > state.reported_through
        };
        if news {
            self.report_changes();
        }
    }

    /// Tells the embedder what changed, by time alone too; called without a borrow of the state.
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

/// The view and all that belongs to it.
#[derive(Debug)]
pub(crate) struct State {
    options: PeersOptions,
    pub(crate) own: Record,
    pub(crate) table: Table,
    pub(crate) pulses: Pulses,
    pub(crate) publications: Publications,
    pub(crate) allowance: Allowance,
    /// Whether this daemon has links to all others.
    pub(crate) full_mesh: bool,
    /// Change of the table up to which the embedder was told.
    reported_through: u64,
    /// Last answer of each neighbour, or when its link began or was forgiven.
    contacts: BTreeMap<InstanceId, Instant>,
    pub(crate) freshness: Freshness,
}

impl State {
    /// A view of oneself alone.
    pub(crate) fn new(options: &PeersOptions, own: Record, now: Instant) -> Self {
        let zone = zone_key(&own.region, &own.availability_zone);
        let mut table = Table::new();
        table.learn(&options.instance, own.clone(), None, now);
        Self {
            options: options.clone(),
            own,
            table,
            pulses: Pulses::new(zone, now),
            publications: Publications::default(),
            allowance: Allowance::new(options.gossip_bytes_per_s, now),
            full_mesh: true,
            reported_through: 0,
            contacts: BTreeMap::new(),
            freshness: Freshness::new(options, now),
        }
    }

    /// Life of this process.
    pub(crate) fn incarnation(&self) -> Incarnation {
        self.own.incarnation
    }

    /// Announces the own record anew, above whatever was said of it.
    pub(crate) fn announce(&mut self, above: u32, now: Instant) {
        self.own.refutation = self.own.refutation.max(above).saturating_add(1);
        let own = self.own.clone();
        self.table.learn(&self.options.instance, own, None, now);
    }

    /// One member in this view.
    pub(crate) fn member(&self, instance: &InstanceId, now: Instant) -> Option<Member> {
        let entry = self.table.get(instance)?;
        self.describe(instance, entry, now)
    }

    /// All members in this view, this daemon included.
    pub(crate) fn members(&self, now: Instant) -> Vec<Member> {
        self.table
            .iter()
            .filter_map(|(instance, entry)| self.describe(instance, entry, now))
            .collect()
    }

    fn describe(&self, instance: &InstanceId, entry: &Entry, now: Instant) -> Option<Member> {
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
                last_heard: entry.last_heard,
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
            last_heard: None,
        })
    }

    /// A member's state in this view.
    pub(crate) fn state_of(&self, entry: &Entry, now: Instant) -> MemberState {
        let Some(record) = &entry.record else {
            return MemberState::Suspect;
        };
        let silent = self.pulses.silent_for(entry.zone, now);
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

    /// Changes since the last call, and remembers them as told.
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
            if let Some(member) = self.describe(instance, entry, now) {
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
    /// Members of other zones are watched by their own zone, and by its
    /// heartbeat as a whole; a link to them alone may be what is broken.
    pub(crate) fn watches(&self, instance: &InstanceId) -> bool {
        let alike = |record: &Record| {
            record.region == self.own.region
                && record.availability_zone == self.own.availability_zone
        };
        let record = self
            .table
            .get(instance)
            .and_then(|entry| entry.record.as_ref());
        record.is_some_and(alike) || self.table.iter().count() <= self.options.full_mesh_limit
    }

    /// Starts to wait for a neighbour's answers.
    pub(crate) fn begin_contact(&mut self, instance: &InstanceId, now: Instant) {
        self.contacts.insert(instance.clone(), now);
    }

    /// Stops to wait for them.
    pub(crate) fn end_contact(&mut self, instance: &str) {
        self.contacts.remove(instance);
    }

    /// Notes an answer.
    pub(crate) fn heard(&mut self, instance: &InstanceId, now: Instant) {
        if let Some(contact) = self.contacts.get_mut(instance) {
            *contact = now;
        }
        if let Some(entry) = self.table.get_mut(instance) {
            entry.last_heard = Some(now);
        }
        self.freshness.heard(now);
    }

    /// How long a neighbour has not answered.
    pub(crate) fn unheard_for(&self, instance: &InstanceId, now: Instant) -> Duration {
        let contact = self.contacts.get(instance).copied().unwrap_or(now);
        now.saturating_duration_since(contact)
    }

    /// Notes that the process runs; true when it was paused since the last call.
    pub(crate) fn tick(&mut self, now: Instant) -> bool {
        let pause = self.freshness.tick(now);
        if let Some(pause) = pause {
            self.wake(pause, now);
        }
        pause.is_some()
    }

    fn wake(&mut self, pause: Duration, now: Instant) {
        if pause >= self.options.tombstone_after / 2 {
            // Others may have forgotten by now whom this view still calls alive.
            self.table.forget_others(&self.options.instance);
            self.freshness.forget_contact();
        }
        self.table.restart_suspicions(now);
        self.pulses.restart_silences(now);
        for contact in self.contacts.values_mut() {
            *contact = now;
        }
        self.announce(0, now);
    }

    /// Whether the view can be relied upon.
    pub(crate) fn view_fresh(&self, now: Instant) -> bool {
        let alone = self.table.iter().count() <= 1;
        self.freshness.is_fresh(alone, now)
    }
}
