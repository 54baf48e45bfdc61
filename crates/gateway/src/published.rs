//! The published values that this daemon has in force.
//!
//! A configuration comes into force only if its version is higher than that of the one
//! before, so that a source that serves old values can't bring one back. Of an upstream the
//! last change wins, whichever daemon reports it. `follow` and `confirm` decide where the
//! values come from, `registrations` which upstreams are in use.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::runtime::spawn;
use mangofront_engines::Upstreams;
use mangofront_routes::{
    ConfigurationVersion, EngineProfile, Era, RouteTable, Upstream, UpstreamId,
};
use mangofront_settings::ids::ServiceName;
use mangofront_upstream::Connections;

use crate::boot_clock::BootInstant;
use crate::cold_upstreams::ColdUpstreams;
use crate::copies::{CopyCache, CopyId, CopyPart, CopyRequest, UpstreamsCopy};
use crate::datagram::{
    AnsweredPeriodAges, Confirmation, UpstreamChange, UpstreamChangeKind, UpstreamChanges,
    saturating_ms,
};
use crate::dialect::{Entry, Position};
use crate::evacuations::{Evacuations, ZoneChange, ZoneState};
use crate::introduction::Introduction;
use crate::known_positions::KnownPositions;
use crate::lease::Lease;
use crate::provenance::Provenance;
use crate::published_options::PublishedOptions;
use crate::registrations::{Record, RegisterOutcome, Registrations, Removal, RemovalOutcome};
use crate::signal::{Signal, Waiters};
use crate::source_availability::{AnsweredPeriod, SourceAvailability};
use crate::trace;

/// The published values in force; clones share them.
#[derive(Debug, Clone)]
pub struct Published(pub(crate) Rc<Shared>);

#[derive(Debug)]
pub(crate) struct Shared {
    options: PublishedOptions,
    pub(crate) upstreams: Upstreams,
    cold_upstreams: ColdUpstreams,
    connections: Connections,
    table: RefCell<Option<Rc<RouteTable>>>,
    registrations: RefCell<Registrations>,
    pub(crate) evacuations: RefCell<Evacuations>,
    availability: Cell<SourceAvailability>,
    /// Position of the values that last replaced all others.
    loaded_at: Cell<Option<Position>>,
    /// The latest era of the source, and when this daemon or one that it heard first knew of it.
    era: Cell<Option<(Era, Instant)>>,
    pub(crate) lease: Lease,
    positions: Cell<KnownPositions>,
    copy_cache: CopyCache,
    /// Longest propagation delay with which this daemon learned of a departure.
    longest_departure_delay: Cell<Duration>,
    /// Whether the source itself, not another daemon, gave the last confirmation.
    pub(crate) is_source_confirmed: Cell<bool>,
    /// Whether the last query reached no daemon that is in touch with the source.
    pub(crate) is_isolated: Cell<bool>,
    /// Whether a daemon has told which changes this one lacks, since it started.
    pub(crate) has_heard_changes: Cell<bool>,
    /// How the wait for other daemons after the start ended; `None` during it.
    pub(crate) introduction: Cell<Option<Introduction>>,
    /// Ends the waits for that end.
    pub(crate) introduced: Waiters,
    /// Whether another daemon has newer state of which no copy could be fetched.
    pub(crate) has_failed_copy: Cell<bool>,
    /// Whether a copy of the configuration is being fetched.
    pub(crate) is_fetching_configuration: Cell<bool>,
    /// Whether a copy of all upstreams is being fetched.
    pub(crate) is_fetching_upstreams: Cell<bool>,
    /// When other daemons were last queried.
    pub(crate) last_query: Cell<Option<BootInstant>>,
    /// Ends the wait between two queries to other daemons.
    pub(crate) query_soon: Signal,
    /// Ends the wait of a daemon that does not need the source.
    pub(crate) source_needed: Signal,
    /// Ends the wait for the end of a query.
    pub(crate) query_done: Waiters,
}

impl Published {
    /// Creates a state without any values. Changes of upstreams go to `upstreams`; when an
    /// upstream has started again, the unused `connections` to its earlier incarnation are
    /// closed.
    #[must_use]
    pub fn new(options: PublishedOptions, upstreams: Upstreams, connections: Connections) -> Self {
        Self(Rc::new(Shared {
            options,
            cold_upstreams: ColdUpstreams::new(upstreams.clone()),
            upstreams,
            connections,
            table: RefCell::default(),
            registrations: RefCell::default(),
            evacuations: RefCell::default(),
            availability: Cell::default(),
            loaded_at: Cell::default(),
            era: Cell::default(),
            lease: Lease::default(),
            positions: Cell::default(),
            copy_cache: CopyCache::default(),
            longest_departure_delay: Cell::default(),
            is_source_confirmed: Cell::default(),
            is_isolated: Cell::default(),
            has_heard_changes: Cell::default(),
            introduction: Cell::default(),
            introduced: Waiters::default(),
            has_failed_copy: Cell::default(),
            is_fetching_configuration: Cell::default(),
            is_fetching_upstreams: Cell::default(),
            last_query: Cell::default(),
            query_soon: Signal::default(),
            source_needed: Signal::default(),
            query_done: Waiters::default(),
        }))
    }

    /// The upstreams that are cold.
    #[must_use]
    pub fn cold_upstreams(&self) -> &ColdUpstreams {
        &self.0.cold_upstreams
    }

    /// The configuration in force.
    #[must_use]
    pub fn table(&self) -> Option<Rc<RouteTable>> {
        self.0.table.borrow().clone()
    }

    /// The lease on the values in force.
    #[must_use]
    pub fn lease(&self) -> &Lease {
        &self.0.lease
    }

    /// Longest time that other daemons had known of a departure before this one learned of
    /// it.
    #[must_use]
    pub fn longest_departure_delay(&self) -> Duration {
        self.0.longest_departure_delay.get()
    }

    fn record_departure_delay(&self, delay: Duration) {
        self.0
            .longest_departure_delay
            .set(self.longest_departure_delay().max(delay));
    }

    /// Whether any upstream is in use.
    #[must_use]
    pub fn has_upstreams(&self) -> bool {
        self.0.registrations.borrow().in_use().next().is_some()
    }

    /// Addresses of the upstreams in use, each with the limit of its connections from all daemons.
    pub(crate) fn connections_limits(&self) -> Vec<(SocketAddr, u32)> {
        let Some(table) = self.table() else {
            return Vec::new();
        };
        let registrations = self.0.registrations.borrow();
        let limit = |upstream: &Upstream| {
            let service = table.service(&upstream.service)?;
            Some((upstream.address, service.connections_limit))
        };
        registrations.in_use().filter_map(limit).collect()
    }

    /// Positions up to which changes are known.
    pub(crate) fn positions(&self) -> KnownPositions {
        self.0.positions.get()
    }

    /// Updates the positions up to which changes are known.
    pub(crate) fn update_positions(&self, change: impl FnOnce(&mut KnownPositions)) {
        let mut positions = self.positions();
        change(&mut positions);
        self.0.positions.set(positions);
    }

    /// What this daemon knows of the published values, for a reply to a query; `None`
    /// before it knows anything.
    pub(crate) fn confirmation(&self) -> Option<Confirmation> {
        let age = self.0.lease.age()?;
        let positions = self.positions();
        Some(Confirmation {
            upstreams_position: positions.upstreams()?,
            configuration_position: positions.configuration()?,
            configuration: self.version(),
            era_age_ms: saturating_ms(self.era_age()),
            age_ms: u32::try_from(age.as_millis()).unwrap_or(u32::MAX),
            is_in_touch: self.is_in_touch(),
            answered: self.answered(),
        })
    }

    /// Whether the last call to the source, or the last query to other daemons, succeeded.
    fn is_in_touch(&self) -> bool {
        let is_confirmed_by_peers =
            !self.0.is_isolated.get() && !self.0.availability.get().is_failing();
        self.0.is_source_confirmed.get() || is_confirmed_by_peers
    }

    pub(crate) fn version(&self) -> Option<ConfigurationVersion> {
        self.0.table.borrow().as_ref().map(|table| table.version())
    }

    /// Era of the source's numbering; `None` before anything is known of it.
    #[must_use]
    pub fn era(&self) -> Option<Era> {
        self.0.era.get().map(|(era, _)| era)
    }

    fn era_age(&self) -> Duration {
        let era = self.0.era.get();
        era.map_or(Duration::ZERO, |(_, since)| since.elapsed())
    }

    /// Records that the source answered in `era` at `moment`.
    pub(crate) fn observe_era(&self, era: Era, moment: Instant) {
        let since = match self.0.era.get() {
            Some((known, _)) if known > era => return,
            Some((known, since)) if known == era => since.min(moment),
            Some(_) | None => moment,
        };
        self.0.era.set(Some((era, since)));
    }

    /// Records that all values are replaced by those of another era, if `position` is of one.
    fn enter_era(&self, position: Position, provenance: &Provenance) {
        self.observe_era(position.era, Instant::now());
        // A reply may have told of positions of the new era before its values are here.
        let Some(before) = self.0.loaded_at.replace(Some(position)) else {
            return;
        };
        if before.era == position.era {
            return;
        }
        trace::era_entered(before, position, provenance);
        if let Some((_, since)) = self.0.era.get() {
            self.update_availability(|availability| availability.record_restore(since));
        }
    }

    /// The period in which the source is known to have answered.
    pub(crate) fn answered(&self) -> Option<AnsweredPeriodAges> {
        let answered = self.0.availability.get().last_answered()?;
        Some(AnsweredPeriodAges::of(answered, Instant::now()))
    }

    /// Records that the source has just answered a call made at `called_at`.
    pub(crate) fn record_source_answer(&self, called_at: Instant) {
        self.0.is_source_confirmed.set(true);
        self.update_availability(|availability| {
            availability.record_answer(called_at, Instant::now())
        });
    }

    /// Records that a call to the source failed.
    pub(crate) fn record_source_failure(&self) {
        self.0.is_source_confirmed.set(false);
        self.update_availability(SourceAvailability::record_failure);
    }

    /// Merges what another daemon knows of the source's answers.
    pub(crate) fn merge_answered(&self, answered: Option<AnsweredPeriodAges>) {
        let now = Instant::now();
        let Some(answered): Option<AnsweredPeriod> = answered.and_then(|ages| ages.at(now)) else {
            return;
        };
        self.update_availability(|availability| availability.merge(answered, now));
    }

    fn update_availability(&self, change: impl FnOnce(&mut SourceAvailability)) {
        let mut availability = self.0.availability.get();
        change(&mut availability);
        self.0.availability.set(availability);
        let grace = self.0.options.lapse_grace;
        if availability.grace_until(Instant::now(), grace).is_none() {
            self.end_all_grace();
        }
    }

    /// Ends all grace periods: the source was available, so no registration lapsed.
    fn end_all_grace(&self) {
        let ended = self.0.registrations.borrow_mut().end_all_grace();
        if ended.is_empty() {
            return;
        }
        for id in &ended {
            trace::grace_ended(id);
        }
        self.sync_upstreams();
    }

    /// First page of the changes of upstreams and zones after a position, if they are known.
    pub(crate) fn changes_after(&self, after: Option<Position>) -> Option<UpstreamChanges> {
        let (after, up_to) = (after?, self.positions().upstreams()?);
        let registrations = self.0.registrations.borrow();
        let changes = registrations.changes_after(after)?;
        let changes = changes.map(|(id, record)| UpstreamChange::of(id, record));
        let evacuations = self.0.evacuations.borrow();
        let of_zones = evacuations.changes_after(after)?;
        let of_zones = of_zones.map(|(zone, record)| UpstreamChange::of_zone(zone, record));
        let changes = changes.chain(of_zones).collect();
        let pages = UpstreamChanges::pages(after, up_to.max(after), changes);
        pages.into_iter().next()
    }

    /// Applies changes of upstreams that another daemon sent.
    pub(crate) fn apply_peer_changes(&self, changes: Vec<UpstreamChange>, provenance: &Provenance) {
        let mut has_changed = false;
        for change in changes {
            let delay = change.known_for();
            has_changed |= match change.kind {
                UpstreamChangeKind::Registered(upstream) => {
                    let may_be_removed = self.0.registrations.borrow().may_be_removed(&upstream);
                    !may_be_removed && self.apply_registration(upstream, delay, provenance)
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
                    self.apply_removal(id, removal, provenance)
                }
                UpstreamChangeKind::ZoneEvacuated { zone, position } => {
                    let change = ZoneChange {
                        state: ZoneState::Evacuated,
                        position,
                        delay,
                    };
                    self.apply_zone_change(&zone, change, provenance)
                }
                UpstreamChangeKind::EvacuationEnded { zone, position } => {
                    let change = ZoneChange {
                        state: ZoneState::Open,
                        position,
                        delay,
                    };
                    self.apply_zone_change(&zone, change, provenance)
                }
            };
        }
        if has_changed {
            self.sync_upstreams();
        }
    }

    /// Whether an upstream is known to have announced its shutdown.
    pub(crate) fn is_announced(&self, id: &UpstreamId) -> bool {
        let registrations = self.0.registrations.borrow();
        let record = registrations.record(id);
        record.is_some_and(|record| record.state.is_announced())
    }

    /// Answers a daemon that requests a copy of the values in force.
    ///
    /// The answer is empty if there is nothing to copy, or if the requested copy is no
    /// longer cached.
    #[must_use]
    pub fn answer_copy_request(&self, bytes: &[u8]) -> Bytes {
        let part = CopyRequest::decode(bytes).and_then(|request| self.copy_part(request));
        part.map(|part| part.encode()).unwrap_or_default()
    }

    fn copy_part(&self, request: CopyRequest) -> Option<CopyPart> {
        let copy_cache = &self.0.copy_cache;
        match request {
            CopyRequest::Configuration => {
                let table = self.table()?;
                let copy = CopyId::Configuration(table.version());
                let encode = || postcard::to_stdvec(&*table).unwrap_or_default();
                Some(copy_cache.first_part(copy, encode))
            }
            CopyRequest::Upstreams => {
                let copy = CopyId::Upstreams(self.positions().upstreams()?);
                let registrations = self.0.registrations.borrow();
                // Upstreams in their grace period are left out: no message would tell the
                // receiver when the period ends.
                let evacuations = self.0.evacuations.borrow();
                let zones = evacuations.records();
                let zones = zones.map(|(zone, record)| UpstreamChange::of_zone(zone, record));
                let content = || UpstreamsCopy {
                    upstreams: registrations.published().cloned().collect(),
                    zones: zones.collect(),
                };
                let encode = || postcard::to_stdvec(&content()).unwrap_or_default();
                Some(copy_cache.first_part(copy, encode))
            }
            CopyRequest::More { copy, from_byte } => copy_cache.part_at(copy, from_byte),
        }
    }

    /// Replaces all values by those published at `position`; an upstream that is not among
    /// them counts as missing.
    pub(crate) fn apply_all(
        &self,
        position: Position,
        entries: impl IntoIterator<Item = Entry>,
        provenance: &Provenance,
    ) {
        self.enter_era(position, provenance);
        let mut missing: Vec<UpstreamId> = {
            let registrations = self.0.registrations.borrow();
            let published = registrations.published();
            let until_then = published.filter(|upstream| upstream.registered_at <= position);
            until_then.map(|upstream| upstream.id.clone()).collect()
        };
        let mut present = std::collections::HashSet::new();
        let mut evacuated = BTreeSet::new();
        for entry in entries {
            match &entry {
                Entry::Upstream(Upstream { id, .. }) | Entry::UnusableUpstream { id, .. } => {
                    present.insert(id.clone());
                }
                Entry::Evacuation { zone, .. } => {
                    evacuated.insert(zone.clone());
                }
                Entry::Configuration(_) | Entry::Malformed { .. } | Entry::Other => {}
            }
            self.apply_entry(entry, provenance);
        }
        missing.retain(|id| !present.contains(id));
        for id in missing {
            self.apply_removal(id, Removal::observed_at(position), provenance);
        }
        self.0.registrations.borrow_mut().reloaded_at(position);
        self.reload_evacuations(position, &evacuated, provenance);
        self.sync_upstreams();
    }

    pub(crate) fn options(&self) -> &PublishedOptions {
        &self.0.options
    }

    pub(crate) fn apply_entry(&self, entry: Entry, provenance: &Provenance) {
        match entry {
            Entry::Configuration(table) => self.apply_configuration(*table, provenance),
            Entry::Upstream(upstream) => {
                self.apply_registration(upstream, Duration::ZERO, provenance);
            }
            Entry::UnusableUpstream {
                id,
                position,
                reason,
            } => {
                self.apply_unusable(&id, position, &reason, provenance);
            }
            Entry::Malformed { name, reason } => trace::malformed(&name, &reason),
            Entry::Evacuation { zone, position } => {
                let change = ZoneChange {
                    state: ZoneState::Evacuated,
                    position,
                    delay: Duration::ZERO,
                };
                self.apply_zone_change(&zone, change, provenance);
            }
            Entry::Other => {}
        }
    }

    /// Applies a registration; returns whether a relevant property changed.
    fn apply_registration(
        &self,
        upstream: Upstream,
        delay: Duration,
        provenance: &Provenance,
    ) -> bool {
        let mut registrations = self.0.registrations.borrow_mut();
        match registrations.register(upstream.clone(), delay) {
            RegisterOutcome::Changed => {
                trace::upstream_published(&upstream, delay, provenance);
                if upstream.leaving {
                    self.record_departure_delay(delay);
                }
                true
            }
            RegisterOutcome::Unchanged | RegisterOutcome::Outdated => false,
            RegisterOutcome::EarlierIncarnation => {
                trace::earlier_incarnation(&upstream);
                false
            }
        }
    }

    /// Stops using an upstream whose registration became unusable: it may describe another
    /// upstream by now. Requests that already run there continue.
    fn apply_unusable(
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

    pub(crate) fn apply_configuration(&self, table: RouteTable, provenance: &Provenance) {
        let mut in_force = self.0.table.borrow_mut();
        let before = in_force.as_ref().map(|table| table.version());
        if before.is_some_and(|before| table.version() <= before) {
            return;
        }
        trace::configuration_accepted(&table, before, provenance);
        *in_force = Some(Rc::new(table));
        drop(in_force);
        self.sync_upstreams();
    }

    /// Removes an upstream, immediately or after its grace period; returns whether it is
    /// out of use now.
    pub(crate) fn apply_removal(
        &self,
        id: UpstreamId,
        removal: Removal,
        provenance: &Provenance,
    ) -> bool {
        let now = Instant::now();
        let availability = self.0.availability.get();
        let grace_until = availability.grace_until(now, self.0.options.lapse_grace);
        let mut registrations = self.0.registrations.borrow_mut();
        match registrations.mark_missing(&id, removal, grace_until) {
            RemovalOutcome::Unchanged => false,
            RemovalOutcome::Removed => {
                trace::upstream_gone(&id, removal.delay, provenance);
                self.record_departure_delay(removal.delay);
                true
            }
            RemovalOutcome::InGrace(until) => {
                trace::removal_deferred(&id, until.duration_since(now), provenance);
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
            self.sync_upstreams();
        }
    }

    /// Passes the upstreams in use to the selection of upstreams, if their service is in force.
    pub(crate) fn sync_upstreams(&self) {
        let profiles: HashMap<ServiceName, Rc<EngineProfile>> = match self.table() {
            Some(table) => table
                .services()
                .filter_map(|service| {
                    let profile = service.engine.clone()?;
                    Some((service.name.clone(), Rc::new(profile)))
                })
                .collect(),
            None => HashMap::new(),
        };
        let registrations = self.0.registrations.borrow();
        // An upstream of a service that is not in force must not replace one in force that
        // has the same address.
        let is_in_force = |upstream: &&Upstream| {
            let table = self.0.table.borrow();
            let table = table.as_ref();
            table.is_none_or(|table| table.service(&upstream.service).is_some())
        };
        let usable = registrations.in_use().filter(is_in_force).cloned();
        let unconfirmed = |id: &UpstreamId| registrations.is_unconfirmed(id);
        let published = self
            .0
            .upstreams
            .set_published(usable, &profiles, unconfirmed);
        for restarted in published {
            trace::upstream_restarted(&restarted);
            let address = restarted.address;
            self.0.connections.retain_idle(|other| *other != address);
        }
        // What an upstream in its grace period said is known already.
        for upstream in registrations.published().filter(is_in_force) {
            let record = registrations.record(&upstream.id);
            let age = record.map_or(Duration::ZERO, Record::known_for);
            let table = self.table();
            let service = table
                .as_ref()
                .and_then(|table| table.service(&upstream.service));
            let terms = service.and_then(|service| service.warm_up);
            self.0.cold_upstreams.register(upstream, terms, age);
        }
    }
}
