//! What is published, as this daemon has it in force.
//!
//! A configuration comes into force only if its version is higher than the one
//! before it, so that a source that serves old values can't bring one back. Where
//! the values come from is decided in `follow`.
//! Which upstreams are used, see `registrations`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Instant;

use bytes::Bytes;
use compio::runtime::spawn;
use futures_channel::oneshot;
use mangofront_engines::Upstreams;
use mangofront_routes::{EngineFigures, RouteTable, Upstream, UpstreamId};
use mangofront_settings::ids::ServiceName;
use mangofront_upstream::Connections;

use crate::contact::Contact;
use crate::copies::{CopyRequest, PublishedCopy};
use crate::datagram::{Confirmation, Relayed, UpstreamChange};
use crate::dialect::{Change, Entry, Position};
use crate::horizon::{Continuation, Horizon};
use crate::lease::Lease;
use crate::provenance::Provenance;
use crate::published_options::PublishedOptions;
use crate::registrations::{Missing, Registered, Registrations};
use crate::sharing::Watcher;
use crate::trace;

/// The published values in force; clones share them.
#[derive(Debug, Clone)]
pub struct Published(pub(crate) Rc<Shared>);

#[derive(Debug)]
pub(crate) struct Shared {
    options: PublishedOptions,
    upstreams: Upstreams,
    connections: Connections,
    table: RefCell<Option<Rc<RouteTable>>>,
    registrations: RefCell<Registrations>,
    pub(crate) contact: Cell<Contact>,
    /// Whether the last call failed.
    pub(crate) is_out_of_touch: Cell<bool>,
    pub(crate) lease: Lease,
    horizon: Cell<Horizon>,
    /// Wakes the task that follows the source, when it waits between two questions.
    nudge: RefCell<Option<oneshot::Sender<()>>>,
}

impl Published {
    /// Nothing is in force yet; changes of upstreams go to `upstreams`, and unused
    /// `connections` to an earlier life of one are closed.
    #[must_use]
    pub fn new(options: PublishedOptions, upstreams: Upstreams, connections: Connections) -> Self {
        Self(Rc::new(Shared {
            options,
            upstreams,
            connections,
            table: RefCell::default(),
            registrations: RefCell::default(),
            contact: Cell::default(),
            is_out_of_touch: Cell::default(),
            lease: Lease::default(),
            horizon: Cell::default(),
            nudge: RefCell::default(),
        }))
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.0.table.borrow().clone()
    }

    /// Lease on what is in force.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.0.lease
    }

    /// Whether any upstream is known.
    #[must_use]
    pub fn has_upstreams(&self) -> bool {
        self.0.registrations.borrow().used().next().is_some()
    }

    /// How far changes are known here.
    pub(crate) fn horizon(&self) -> Horizon {
        self.0.horizon.get()
    }

    /// Notes how far changes are known now.
    pub(crate) fn change_horizon(&self, change: impl FnOnce(&mut Horizon)) {
        let mut horizon = self.horizon();
        change(&mut horizon);
        self.0.horizon.set(horizon);
    }

    /// How far this daemon knows what is published.
    pub(crate) fn confirmation(&self) -> Option<Confirmation> {
        let age = self.0.lease.age()?;
        let horizon = self.horizon();
        Some(Confirmation {
            position: horizon.position()?,
            last_change: horizon.last_change(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
        })
    }

    /// Takes in changes that a watcher of the zone read, or has them read if they
    /// don't follow on what is known.
    ///
    /// They say nothing of how current that is: a datagram may have lain unread
    /// while this daemon stood still.
    pub(crate) fn take_relayed(&self, relayed: Relayed, from: IpAddr) {
        let horizon = self.horizon();
        let upstreams = match horizon.continuation(relayed.after, relayed.position) {
            Continuation::Known => return,
            Continuation::Next => relayed.upstreams,
            Continuation::Gap => None,
        };
        let Some(upstreams) = upstreams else {
            self.nudge();
            return;
        };
        let provenance = Provenance::relayed(from, relayed.position);
        for change in upstreams {
            match change {
                UpstreamChange::Registered(upstream) => self.take_upstream(upstream, &provenance),
                UpstreamChange::Gone(id) => self.take_missing(id, &provenance),
                UpstreamChange::Unusable(id, reason) => {
                    self.take_unusable(&id, &reason, &provenance);
                }
            }
        }
        self.pass_on_upstreams();
        self.change_horizon(|horizon| horizon.advance(relayed.position, true));
    }

    /// Answers a daemon that asks for what is in force here.
    ///
    /// The answer is empty where nothing is confirmed, or it would be too large.
    #[must_use]
    pub fn answer_copy(&self, request: &[u8]) -> Bytes {
        let (Some(request), Some(known)) = (CopyRequest::read(request), self.confirmation()) else {
            return Bytes::new();
        };
        let is_new = |table: &Rc<RouteTable>| Some(table.version()) != request.version;
        let table = self.table().filter(is_new);
        let horizon = self.horizon();
        let knows_upstreams = |after: Position| horizon.has_upstreams_of(after);
        let copy = PublishedCopy {
            known,
            table: table.map(|table| (*table).clone()),
            upstreams: match request.after.is_some_and(knows_upstreams) {
                true => None,
                // Of what this daemon only keeps, the asker would never hear the end.
                false => Some(self.0.registrations.borrow().published().cloned().collect()),
            },
        };
        copy.write()
    }

    /// Takes over what another daemon had in force; whether it is at least as far as
    /// this one.
    ///
    /// It says nothing of how current that is here.
    pub(crate) fn take_copy(&self, copy: PublishedCopy, from: &Watcher) -> bool {
        let known = copy.known;
        let provenance = Provenance::copied(from, &known);
        if !self.horizon().accepts(known.position) {
            return false;
        }
        if let Some(upstreams) = copy.upstreams {
            self.take_all(upstreams.into_iter().map(Entry::Upstream), &provenance);
            self.change_horizon(|horizon| horizon.replace_upstreams(known.last_change));
        }
        if let Some(table) = copy.table {
            self.take_table(table);
        }
        self.change_horizon(|horizon| horizon.replace(known.position, known.last_change));
        true
    }

    /// Takes over everything that is published; what is not among it is missing.
    pub(crate) fn take_all(
        &self,
        entries: impl IntoIterator<Item = Entry>,
        provenance: &Provenance,
    ) {
        let mut missing = self.0.registrations.borrow().ids();
        for entry in entries {
            match &entry {
                Entry::Upstream(upstream) => {
                    missing.remove(&upstream.id);
                }
                Entry::UnusableUpstream { id, .. } => {
                    missing.remove(id);
                }
                Entry::Configuration(_) | Entry::Malformed { .. } | Entry::Other => {}
            }
            self.take_entry(entry, provenance);
        }
        for id in missing {
            self.take_missing(id, provenance);
        }
        self.pass_on_upstreams();
    }

    /// Settings.
    pub(crate) fn options(&self) -> &PublishedOptions {
        &self.0.options
    }

    /// Told when something has changed that was not relayed.
    pub(crate) fn next_nudge(&self) -> oneshot::Receiver<()> {
        let (nudge, nudged) = oneshot::channel();
        self.0.nudge.replace(Some(nudge));
        nudged
    }

    /// Has the source asked at once.
    fn nudge(&self) {
        if let Some(waiting) = self.0.nudge.take() {
            // The task may have gone on by itself.
            let _ = waiting.send(());
        }
    }

    pub(crate) fn take_entry(&self, entry: Entry, provenance: &Provenance) {
        match entry {
            Entry::Configuration(table) => self.take_table(*table),
            Entry::Upstream(upstream) => self.take_upstream(upstream, provenance),
            Entry::UnusableUpstream { id, reason } => {
                self.take_unusable(&id, &reason, provenance);
            }
            Entry::Malformed { name, reason } => trace::malformed(&name, &reason),
            Entry::Other => {}
        }
    }

    fn take_upstream(&self, upstream: Upstream, provenance: &Provenance) {
        let registered = self.0.registrations.borrow_mut().register(upstream.clone());
        match registered {
            Registered::Changed => trace::upstream_published(&upstream, provenance),
            Registered::Unchanged => {}
            Registered::EarlierLife => trace::earlier_life(&upstream),
        }
    }

    /// A registration that can't be used names no upstream, also where one that
    /// could be used stood before: it may be of another upstream by now. Requests
    /// that run there go on.
    fn take_unusable(&self, id: &UpstreamId, reason: &str, provenance: &Provenance) {
        trace::unusable_registration(id, reason, provenance);
        if self.0.registrations.borrow_mut().remove(id) {
            trace::upstream_gone(id, provenance);
        }
    }

    fn take_table(&self, table: RouteTable) {
        let mut in_force = self.0.table.borrow_mut();
        let before = in_force.as_ref().map(|table| table.version());
        if before.is_some_and(|before| table.version() <= before) {
            return;
        }
        trace::configuration_accepted(&table, before);
        *in_force = Some(Rc::new(table));
        drop(in_force);
        self.pass_on_upstreams();
    }

    /// Removes an upstream, at once or after the time in which it may come back.
    pub(crate) fn take_missing(&self, id: UpstreamId, provenance: &Provenance) {
        let now = Instant::now();
        let contact = self.0.contact.get();
        let keep_until = contact.keep_until(now, self.0.options.lapse_grace);
        let missing = self.0.registrations.borrow_mut().miss(&id, keep_until);
        match missing {
            Missing::Unchanged => {}
            Missing::Removed => trace::upstream_gone(&id, provenance),
            Missing::Kept(until) => {
                trace::removal_put_off(&id, until.duration_since(now), provenance);
                spawn(self.clone().end_keeping(id, until, provenance.clone())).detach();
            }
        }
    }

    /// Removes an upstream at `until`, unless it is registered again before.
    async fn end_keeping(self, id: UpstreamId, until: Instant, provenance: Provenance) {
        compio::time::sleep_until(until).await;
        let is_over = self
            .0
            .registrations
            .borrow_mut()
            .end_keeping(&id, Instant::now());
        if is_over {
            trace::upstream_gone(&id, &provenance);
            self.pass_on_upstreams();
        }
    }

    pub(crate) fn pass_on_upstreams(&self) {
        let figures: HashMap<ServiceName, Rc<EngineFigures>> = match self.table() {
            Some(table) => table
                .services()
                .filter_map(|service| {
                    let figures = service.engine.clone()?;
                    Some((service.name.clone(), Rc::new(figures)))
                })
                .collect(),
            None => HashMap::new(),
        };
        let registrations = self.0.registrations.borrow();
        // One of a service that is not in force must not displace, by its address,
        // one that is.
        let is_in_force = |upstream: &&Upstream| {
            let table = self.0.table.borrow();
            let table = table.as_ref();
            table.is_none_or(|table| table.service(&upstream.service).is_some())
        };
        let usable = registrations.used().filter(is_in_force).cloned();
        for restarted in self.0.upstreams.set_known(usable, &figures) {
            trace::upstream_restarted(&restarted);
            let address = restarted.address;
            self.0.connections.retain(|other| *other != address);
        }
    }
}

/// The changes, if all of them that matter are of upstreams.
pub(crate) fn upstream_changes(changes: &[Change]) -> Option<Vec<UpstreamChange>> {
    let mut of_upstreams = Vec::with_capacity(changes.len());
    for change in changes {
        match change {
            Change::Written(Entry::Upstream(upstream)) => {
                of_upstreams.push(UpstreamChange::Registered(upstream.clone()));
            }
            Change::UpstreamGone(id) => of_upstreams.push(UpstreamChange::Gone(id.clone())),
            Change::Written(Entry::UnusableUpstream { id, reason }) => {
                of_upstreams.push(UpstreamChange::Unusable(id.clone(), reason.clone()));
            }
            Change::Written(Entry::Other) => {}
            Change::Written(Entry::Configuration(_) | Entry::Malformed { .. }) => return None,
        }
    }
    Some(of_upstreams)
}
