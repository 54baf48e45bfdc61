//! What is published, as this daemon has it in force.
//!
//! A configuration comes into force only if its version is higher than the one
//! before it, so that a source that serves old values can't bring one back; of an upstream
//! the last change holds, whoever tells of it. Where the values come from is decided in
//! `follow` and `confirm`. Which upstreams are used, see `registrations`.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::spawn;
use mangofront_engines::Upstreams;
use mangofront_routes::{ConfigurationVersion, EngineProfile, RouteTable, Upstream, UpstreamId};
use mangofront_settings::ids::ServiceName;
use mangofront_upstream::Connections;

use crate::boot_clock::BootInstant;
use crate::contact::{AnsweredPeriod, SourceAvailability};
use crate::copies::{CopyOf, CopyPart, HandedOut, Wanted};
use crate::datagram::{
    AnsweredAges, Confirmation, UpstreamChange, UpstreamChangeKind, UpstreamChanges,
};
use crate::dialect::{Entry, Position};
use crate::horizon::KnownPositions;
use crate::lease::Lease;
use crate::provenance::Provenance;
use crate::published_options::PublishedOptions;
use crate::registrations::{RegisterOutcome, Registrations, Removal, RemovalOutcome};
use crate::trace;
use crate::wakeup::{Call, Wakeup};

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
    contact: Cell<SourceAvailability>,
    pub(crate) lease: Lease,
    horizon: Cell<KnownPositions>,
    handed_out: HandedOut,
    /// Longest time by which others knew of a departure before.
    longest_departure_delay: Cell<Duration>,
    /// Whether the source itself confirmed what is in force last.
    pub(crate) is_first_hand: Cell<bool>,
    /// Whether nobody in touch with the source answered the last question.
    pub(crate) is_alone: Cell<bool>,
    /// Whether what others tell of could not be had from them.
    pub(crate) is_behind: Cell<bool>,
    /// Whether a copy of the configuration is being fetched.
    pub(crate) is_fetching_configuration: Cell<bool>,
    /// Whether a copy of all upstreams is being fetched.
    pub(crate) is_fetching_upstreams: Cell<bool>,
    /// When other daemons were last asked.
    pub(crate) last_asked: Cell<Option<BootInstant>>,
    /// Ends the wait between two questions to other daemons.
    pub(crate) ask_soon: Call,
    /// Ends the wait of who has no need of the source.
    pub(crate) source_needed: Call,
    /// Ends the wait for an answer to a question.
    pub(crate) asked: Wakeup,
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
            lease: Lease::default(),
            horizon: Cell::default(),
            handed_out: HandedOut::default(),
            longest_departure_delay: Cell::default(),
            is_first_hand: Cell::default(),
            is_alone: Cell::default(),
            is_behind: Cell::default(),
            is_fetching_configuration: Cell::default(),
            is_fetching_upstreams: Cell::default(),
            last_asked: Cell::default(),
            ask_soon: Call::default(),
            source_needed: Call::default(),
            asked: Wakeup::default(),
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

    /// Longest time by which others knew before that an upstream leaves or has left.
    #[must_use]
    pub fn longest_departure_delay(&self) -> Duration {
        self.0.longest_departure_delay.get()
    }

    fn note_departure(&self, delay: Duration) {
        self.0
            .longest_departure_delay
            .set(self.longest_departure_delay().max(delay));
    }

    /// Whether any upstream is known.
    #[must_use]
    pub fn has_upstreams(&self) -> bool {
        self.0.registrations.borrow().in_use().next().is_some()
    }

    /// How far changes are known here.
    pub(crate) fn horizon(&self) -> KnownPositions {
        self.0.horizon.get()
    }

    /// Notes how far changes are known now.
    pub(crate) fn change_horizon(&self, change: impl FnOnce(&mut KnownPositions)) {
        let mut horizon = self.horizon();
        change(&mut horizon);
        self.0.horizon.set(horizon);
    }

    /// How far this daemon knows what is published.
    pub(crate) fn confirmation(&self) -> Option<Confirmation> {
        let age = self.0.lease.age()?;
        let horizon = self.horizon();
        Some(Confirmation {
            upstreams_position: horizon.upstreams()?,
            configuration_position: horizon.configuration()?,
            configuration: self.version(),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            is_in_touch: self.is_in_touch(),
            answered: self.answered(),
        })
    }

    /// Whether the last call to the source, or the last question to others, was answered.
    fn is_in_touch(&self) -> bool {
        let is_told = !self.0.is_alone.get() && !self.0.contact.get().is_failing();
        self.0.is_first_hand.get() || is_told
    }

    /// Version of the configuration in force.
    pub(crate) fn version(&self) -> Option<ConfigurationVersion> {
        self.0.table.borrow().as_ref().map(|table| table.version())
    }

    /// Since when and until when the source is known to have answered.
    pub(crate) fn answered(&self) -> Option<AnsweredAges> {
        let answered = self.0.contact.get().last_answered()?;
        Some(AnsweredAges::of(answered, Instant::now()))
    }

    /// Notes that the source has just answered a call of `asked`.
    pub(crate) fn note_answer(&self, asked: Instant) {
        self.0.is_first_hand.set(true);
        self.change_contact(|contact| contact.record_answer(asked, Instant::now()));
    }

    /// Notes that a call to the source has failed.
    pub(crate) fn note_failure(&self) {
        self.0.is_first_hand.set(false);
        self.change_contact(SourceAvailability::record_failure);
    }

    /// Takes in what another daemon knows of the source's answers.
    pub(crate) fn note_heard(&self, answered: Option<AnsweredAges>) {
        let now = Instant::now();
        let Some(answered): Option<AnsweredPeriod> = answered.and_then(|ages| ages.at(now)) else {
            return;
        };
        self.change_contact(|contact| contact.merge(answered, now));
    }

    fn change_contact(&self, change: impl FnOnce(&mut SourceAvailability)) {
        let mut contact = self.0.contact.get();
        change(&mut contact);
        self.0.contact.set(contact);
        let grace = self.0.options.lapse_grace;
        if contact.keep_until(Instant::now(), grace).is_none() {
            self.end_all_grace();
        }
    }

    /// Uses no upstream any longer that may only have lapsed: the source was there.
    fn end_all_grace(&self) {
        let ended = self.0.registrations.borrow_mut().end_all_grace();
        if ended.is_empty() {
            return;
        }
        for id in &ended {
            trace::keeping_ended(id);
        }
        self.pass_on_upstreams();
    }

    /// First page of the changes of upstreams after a position, if they are known.
    pub(crate) fn changes_after(&self, after: Option<Position>) -> Option<UpstreamChanges> {
        let (after, up_to) = (after?, self.horizon().upstreams()?);
        let registrations = self.0.registrations.borrow();
        let changes = registrations.changes_after(after)?;
        let changes = changes.map(|(id, record)| UpstreamChange::of(id, record));
        let pages = UpstreamChanges::pages(after, up_to.max(after), changes.collect());
        pages.into_iter().next()
    }

    /// Takes in changes of upstreams that another daemon tells of.
    pub(crate) fn take_told(&self, changes: Vec<UpstreamChange>, provenance: &Provenance) {
        let mut has_changed = false;
        for change in changes {
            let delay = change.known_for();
            has_changed |= match change.kind {
                UpstreamChangeKind::Registered(upstream) => {
                    let may_be_removed = self.0.registrations.borrow().may_be_removed(&upstream);
                    !may_be_removed && self.take_upstream(upstream, delay, provenance)
                }
                UpstreamChangeKind::Gone {
                    id,
                    position,
                    is_announced,
                } => {
                    let removal = Removal {
                        position,
                        is_announced,
                        delay,
                    };
                    self.take_missing(id, removal, provenance)
                }
            };
        }
        if has_changed {
            self.pass_on_upstreams();
        }
    }

    /// Whether an upstream is known to have said that it leaves.
    pub(crate) fn is_announced(&self, id: &UpstreamId) -> bool {
        let registrations = self.0.registrations.borrow();
        let record = registrations.record(id);
        record.is_some_and(|record| record.state.is_announced())
    }

    /// Answers a daemon that asks for a copy of what is in force here.
    ///
    /// The answer is empty where there is none, or the copy that was begun is replaced.
    #[must_use]
    pub fn answer_copy_request(&self, request: &[u8]) -> Bytes {
        let part = Wanted::read(request).and_then(|wanted| self.copy_part(wanted));
        part.map(|part| part.write()).unwrap_or_default()
    }

    fn copy_part(&self, wanted: Wanted) -> Option<CopyPart> {
        let handed_out = &self.0.handed_out;
        match wanted {
            Wanted::Configuration => {
                let table = self.table()?;
                let copy = CopyOf::Configuration(table.version());
                let write = || postcard::to_stdvec(&*table).unwrap_or_default();
                Some(handed_out.first_part(copy, write))
            }
            Wanted::Upstreams => {
                let copy = CopyOf::Upstreams(self.horizon().upstreams()?);
                let registrations = self.0.registrations.borrow();
                // Of what this daemon only keeps, the asker would never hear the end.
                let published: Vec<&Upstream> = registrations.published().collect();
                let write = || postcard::to_stdvec(&published).unwrap_or_default();
                Some(handed_out.first_part(copy, write))
            }
            Wanted::More { copy, from_byte } => handed_out.more(copy, from_byte),
        }
    }

    /// Takes over everything that was published at `position`; what is not among it is
    /// missing.
    pub(crate) fn take_all(
        &self,
        position: Position,
        entries: impl IntoIterator<Item = Entry>,
        provenance: &Provenance,
    ) {
        let mut missing: Vec<UpstreamId> = {
            let registrations = self.0.registrations.borrow();
            let published = registrations.published();
            let until_then = published.filter(|upstream| upstream.registered_at <= position);
            until_then.map(|upstream| upstream.id.clone()).collect()
        };
        let mut present = std::collections::HashSet::new();
        for entry in entries {
            match &entry {
                Entry::Upstream(Upstream { id, .. }) | Entry::UnusableUpstream { id, .. } => {
                    present.insert(id.clone());
                }
                Entry::Configuration(_) | Entry::Malformed { .. } | Entry::Other => {}
            }
            self.take_entry(entry, provenance);
        }
        missing.retain(|id| !present.contains(id));
        for id in missing {
            self.take_missing(id, Removal::observed_at(position), provenance);
        }
        self.0.registrations.borrow_mut().reloaded_at(position);
        self.pass_on_upstreams();
    }

    /// Settings.
    pub(crate) fn options(&self) -> &PublishedOptions {
        &self.0.options
    }

    pub(crate) fn take_entry(&self, entry: Entry, provenance: &Provenance) {
        match entry {
            Entry::Configuration(table) => self.take_table(*table, provenance),
            Entry::Upstream(upstream) => {
                self.take_upstream(upstream, Duration::ZERO, provenance);
            }
            Entry::UnusableUpstream {
                id,
                position,
                reason,
            } => {
                self.take_unusable(&id, position, &reason, provenance);
            }
            Entry::Malformed { name, reason } => trace::malformed(&name, &reason),
            Entry::Other => {}
        }
    }

    /// Takes in a registration; whether anything that matters has changed.
    fn take_upstream(&self, upstream: Upstream, delay: Duration, provenance: &Provenance) -> bool {
        let mut registrations = self.0.registrations.borrow_mut();
        match registrations.register(upstream.clone(), delay) {
            RegisterOutcome::Changed => {
                trace::upstream_published(&upstream, delay, provenance);
                if upstream.leaving {
                    self.note_departure(delay);
                }
                true
            }
            RegisterOutcome::Unchanged | RegisterOutcome::Outdated => false,
            RegisterOutcome::EarlierIncarnation => {
                trace::earlier_life(&upstream);
                false
            }
        }
    }

    /// A registration that can't be used names no upstream, also where one that
    /// could be used stood before: it may be of another upstream by now. Requests
    /// that run there go on.
    fn take_unusable(
        &self,
        id: &UpstreamId,
        position: Position,
        reason: &str,
        provenance: &Provenance,
    ) {
        trace::unusable_registration(id, reason, provenance);
        let mut registrations = self.0.registrations.borrow_mut();
        if registrations.remove(id, Removal::observed_at(position)) {
            trace::upstream_gone(id, Duration::ZERO, provenance);
        }
    }

    pub(crate) fn take_table(&self, table: RouteTable, provenance: &Provenance) {
        let mut in_force = self.0.table.borrow_mut();
        let before = in_force.as_ref().map(|table| table.version());
        if before.is_some_and(|before| table.version() <= before) {
            return;
        }
        trace::configuration_accepted(&table, before, provenance);
        *in_force = Some(Rc::new(table));
        drop(in_force);
        self.pass_on_upstreams();
    }

    /// Removes an upstream, at once or after the time in which it may come back; whether
    /// it is used no more.
    pub(crate) fn take_missing(
        &self,
        id: UpstreamId,
        removal: Removal,
        provenance: &Provenance,
    ) -> bool {
        let now = Instant::now();
        let contact = self.0.contact.get();
        let keep_until = contact.keep_until(now, self.0.options.lapse_grace);
        let mut registrations = self.0.registrations.borrow_mut();
        match registrations.mark_missing(&id, removal, keep_until) {
            RemovalOutcome::Unchanged => false,
            RemovalOutcome::Removed => {
                trace::upstream_gone(&id, removal.delay, provenance);
                self.note_departure(removal.delay);
                true
            }
            RemovalOutcome::InGrace(until) => {
                trace::removal_put_off(&id, until.duration_since(now), provenance);
                spawn(self.clone().end_grace(id, until, provenance.clone())).detach();
                false
            }
        }
    }

    /// Removes an upstream at `until`, unless it is registered again before.
    async fn end_grace(self, id: UpstreamId, until: Instant, provenance: Provenance) {
        compio::time::sleep_until(until).await;
        let mut registrations = self.0.registrations.borrow_mut();
        if registrations.end_grace(&id, Instant::now()) {
            drop(registrations);
            trace::upstream_gone(&id, Duration::ZERO, &provenance);
            self.pass_on_upstreams();
        }
    }

    pub(crate) fn pass_on_upstreams(&self) {
        let figures: HashMap<ServiceName, Rc<EngineProfile>> = match self.table() {
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
        let usable = registrations.in_use().filter(is_in_force).cloned();
        for restarted in self.0.upstreams.set_published(usable, &figures) {
            trace::upstream_restarted(&restarted);
            let address = restarted.address;
            self.0.connections.retain_idle(|other| *other != address);
        }
    }
}
