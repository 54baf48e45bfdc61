//! Handle to all upstreams and the work on them.

mod cold;
mod contact;
mod contention;
mod crash_records;
mod notices;
mod prefixes;
mod updates;

use std::cell::{Ref, RefCell, RefMut};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedSender;
use mangofront_prefixes::Beginning;
use mangofront_routes::{AllowedRegions, EngineProfile, Upstream, UpstreamId};
use mangofront_settings::ids::{AvailabilityZone, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::choose::{
    Candidate, Choice, ChoiceContext, Demand, NoUpstream, Share, choose_engines, choose_plain,
};
use crate::eligibility::none_open;
use crate::health::Failure;
use crate::large_prompts::{Progress, SizeClass};
use crate::load_update::{LoadUpdate, placed_update, saturating_ms};
use crate::placement::Placement;
use crate::state::{LOCAL, State};
use crate::upstream_state::{Load, UpstreamState, loads};
use crate::upstreams::contention::{contention, served_share};
use crate::work::{UpstreamKey, Work, key_of};
use cold::ColdChoice;
use mangofront_settings::process::ChoiceOptions;

/// Time for which an upstream that has exited is left out: until its registration has lapsed.
pub(crate) const CRASH_EJECTION: Duration = Duration::from_secs(4);

/// Source of the current time.
pub type Clock = fn() -> Instant;

/// All upstreams as this daemon sees them; clones share the state.
#[derive(Debug, Clone)]
pub struct Upstreams(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    options: ChoiceOptions,
    availability_zone: AvailabilityZone,
    updates: UnboundedSender<LoadUpdate>,
    /// Differs between daemons, so that they don't all choose the same one of equal upstreams.
    salt: u64,
    clock: Clock,
    started: Instant,
    state: RefCell<State>,
}

/// State of one upstream, for a status page.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: Upstream,
    /// Requests of all daemons that it answers.
    pub answering: u32,
    /// Time until everything placed is prefilled, in milliseconds.
    pub backlog_ms: f64,
    /// Memory allocated, in tokens.
    pub memory_tokens: u64,
    /// Whether it is ejected after a failure.
    pub is_ejected: bool,
}

/// Upstreams among which one is chosen.
#[derive(Debug, Clone, Copy)]
struct Among<'a> {
    /// Those that are not chosen.
    tried: &'a [UpstreamKey],
    /// Whether silent ones are as good as others.
    includes_silent: bool,
    /// Whether those that may have left are as good as others.
    includes_unconfirmed: bool,
    cold: ColdChoice,
    /// Beginnings of the prompt, if engines of the service retain prompts.
    beginnings: &'a [Beginning],
}

impl Upstreams {
    /// Creates a view without upstreams; updates for other daemons are sent to `updates`. `salt` is
    /// any number that differs between daemons.
    #[must_use]
    pub fn new(
        options: ChoiceOptions,
        availability_zone: AvailabilityZone,
        salt: u64,
        updates: UnboundedSender<LoadUpdate>,
    ) -> Self {
        Self::with_clock(options, availability_zone, salt, updates, Instant::now)
    }

    /// Like [`Self::new`] with another clock, so that load tests can run in virtual time.
    #[must_use]
    pub fn with_clock(
        options: ChoiceOptions,
        availability_zone: AvailabilityZone,
        salt: u64,
        updates: UnboundedSender<LoadUpdate>,
        clock: Clock,
    ) -> Self {
        let state = State {
            prefixes: prefixes::table(&options),
            ..State::default()
        };
        Self(Rc::new(Shared {
            options,
            availability_zone,
            updates,
            salt,
            clock,
            started: clock(),
            state: RefCell::new(state),
        }))
    }

    pub(crate) fn now(&self) -> Instant {
        (self.0.clock)()
    }

    pub(crate) fn state(&self) -> Ref<'_, State> {
        self.0.state.borrow()
    }

    pub(crate) fn state_mut(&self) -> RefMut<'_, State> {
        self.0.state.borrow_mut()
    }

    /// Zone of this daemon.
    pub(crate) fn availability_zone(&self) -> &AvailabilityZone {
        &self.0.availability_zone
    }

    /// Replaces the published upstreams, with the engine profile of each service.
    ///
    /// Those that `is_unconfirmed` may have left; they are selected only if no other one of their
    /// service can take a request. Returns those that have restarted under the same id.
    pub fn set_published(
        &self,
        upstreams: impl IntoIterator<Item = Upstream>,
        profiles: &HashMap<ServiceName, Rc<EngineProfile>>,
        is_unconfirmed: impl Fn(&UpstreamId) -> bool,
    ) -> Vec<Upstream> {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        let mut previous: HashMap<UpstreamKey, UpstreamState> = state
            .upstreams
            .drain(..)
            .map(|entry| (entry.key, entry))
            .collect();
        let mut restarted = Vec::new();
        for registration in latest_at_address(upstreams) {
            if state.incarnations.observe(&registration) {
                restarted.push(registration.clone());
            }
            let profile = profiles.get(&registration.service).cloned();
            let is_unconfirmed = is_unconfirmed(&registration.id);
            let mut entry = match previous.remove(&key_of(&registration)) {
                Some(entry) => entry.with_registration(registration, profile),
                None => UpstreamState::new(registration, profile, now),
            };
            entry.is_unconfirmed = is_unconfirmed;
            state.upstreams.push(entry);
        }
        state.upstreams.sort_by_key(|entry| entry.key);
        state.set_retaining_engines(&self.0.options);
        let State {
            upstreams,
            incarnations,
            ..
        } = &mut *state;
        let listed: HashSet<&UpstreamId> = upstreams
            .iter()
            .map(|entry| &entry.registration.id)
            .collect();
        incarnations.retain(|id| listed.contains(id));
        restarted
    }

    /// Chooses the upstreams for a request, except those in `tried`.
    ///
    /// # Errors
    /// [`NoUpstream`] when none can accept it.
    pub fn place(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[UpstreamKey],
    ) -> Result<Placement, NoUpstream> {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.remove_expired(now);
        if demand.prompt_tokens > 0 {
            let shortest = state.shortest_gap.unwrap_or(demand.gap).min(demand.gap);
            state.shortest_gap = Some(shortest);
        }
        let organisation = demand.caller.organisation;
        state.recent_demand.record(service, organisation, now);
        let size = state.size(service, demand);
        let beginnings = self.beginnings(service, demand);
        let most_confirmed = state.has_most_confirmed(service);
        let choose = |includes_silent, includes_unconfirmed| {
            let among = Among {
                tried,
                includes_silent,
                includes_unconfirmed,
                cold: ColdChoice::Included,
                beginnings: &beginnings,
            };
            self.choose_warm_first(&state, service, demand, size, among, now)
        };
        let choose_heard_first = |includes_unconfirmed| match choose(false, includes_unconfirmed) {
            // Those that are heard are overloaded, while silent ones may go on at any moment.
            Err(
                NoUpstream::Busy
                | NoUpstream::Full
                | NoUpstream::Overrun
                | NoUpstream::OrganisationOverShare(_),
            ) if state.has_silent(service, now) => choose(true, includes_unconfirmed),
            choice => choice,
        };
        let choice = match choose_heard_first(!most_confirmed) {
            Err(_) if most_confirmed && state.has_unconfirmed(service) => choose_heard_first(true),
            choice => choice,
        };
        let progress = match &choice {
            Ok(_) => Some(Progress::Placed),
            Err(NoUpstream::Overrun) => Some(Progress::Refused),
            Err(_) => None,
        };
        let large_prompt = size.map(|size| (demand.request, size));
        if let (Some((request, size)), Some(progress)) = (large_prompt, progress) {
            self.record_progress(&mut state, request, size, progress);
        }
        let choice = choice?;
        let id = state.next_work;
        state.next_work += 1;
        state.placed_at = Some(now);
        let expected = Duration::from_secs_f64(choice.first_event_ms / 1_000.0);
        let work = Work {
            shares: choice.loads,
            caller: demand.caller,
            is_prefilling: demand.prompt_tokens > 0,
            expected_at: now + expected,
            gap_ms: demand.gap.as_secs_f64() * 1_000.0,
            known_since: now,
            expires_at: now + demand.time_left,
        };
        self.publish(placed_update(id, &work, expected, demand.time_left));
        state.add((LOCAL, id), work, now);
        // No engine holds the whole of a prompt whose memory is reserved on several.
        let is_reserved = |share: &Share| share.reserve_tokens.is_some();
        let beginnings = match choice.shares.iter().any(is_reserved) {
            true => Vec::new(),
            false => beginnings,
        };
        let incarnation_end = state.incarnations.subscribe_end(&choice.shares[0].upstream);
        Ok(Placement {
            shares: choice.shares,
            expected_first_event: expected,
            queue_delay: Duration::from_secs_f64(choice.queue_ms / 1_000.0),
            known_daemons: state.last_received.len(),
            oldest_update: state.oldest_update(now),
            id,
            has_first_event: false,
            believed_saving: Duration::from_secs_f64(choice.saved_ms / 1_000.0),
            beginnings,
            large_prompt,
            incarnation_end,
            upstreams: self.clone(),
        })
    }

    fn choose(
        &self,
        state: &State,
        service: &str,
        demand: &Demand,
        size: Option<SizeClass>,
        among: Among<'_>,
        now: Instant,
    ) -> Result<Choice, NoUpstream> {
        let tried = among.tried;
        let loads = loads(&state.upstreams, state.work.values(), now);
        let eligibility =
            |entry: &UpstreamState| state.eligibility(entry, &demand.allowed_regions, now);
        let of_service = || {
            let entries = state.upstreams.iter().zip(&loads);
            entries.filter(|(entry, _)| {
                entry.registration.service == service
                    && (among.includes_unconfirmed || !entry.is_unconfirmed)
            })
        };
        let available = || of_service().filter(|(entry, _)| eligibility(entry).is_open());
        if available().next().is_none() {
            return Err(none_open(of_service().map(|(entry, _)| eligibility(entry))));
        }
        let not_tried = || {
            available().filter(|(entry, _)| {
                !tried.contains(&entry.key) && eligibility(entry).is_eligible()
            })
        };
        if not_tried().next().is_none() && available().any(|(entry, _)| !tried.contains(&entry.key))
        {
            return Err(NoUpstream::Resting);
        }
        let is_not_said_to_leave =
            |(entry, _): &(&UpstreamState, &Load)| !state.notices.is_said_to_leave(entry.key);
        let is_reachable = |(entry, _): &(&UpstreamState, &Load)| {
            !state.is_zone_unreachable(&entry.registration.availability_zone, now)
        };
        let is_not_ejected = |(entry, _): &(&UpstreamState, &Load)| !entry.health.is_ejected(now);
        let is_heard = |(entry, _): &(&UpstreamState, &Load)| !entry.health.is_silent(now);
        let is_open = |one: &(&UpstreamState, &Load)| {
            is_not_ejected(one) && is_reachable(one) && is_not_said_to_leave(one)
        };
        let mut open: Vec<(&UpstreamState, &Load)> = not_tried()
            .filter(|one| is_open(one) && (among.includes_silent || is_heard(one)))
            .collect();
        if open.is_empty() {
            open = not_tried().filter(is_open).collect();
        }
        if open.is_empty() {
            open = not_tried()
                .filter(|one| is_not_ejected(one) && is_reachable(one))
                .collect();
        }
        // An ejected upstream may be back, and costs less to try than one in an unreachable zone,
        // which takes a timeout.
        if open.is_empty() {
            open = not_tried().filter(is_reachable).collect();
        }
        if open.is_empty() {
            open = not_tried().collect();
        }
        self.retain_by_warmth(state, &mut open, among.cold, now);
        let mut candidates: Vec<Candidate<'_>> = open
            .into_iter()
            .enumerate()
            .map(|(rank, (upstream, load))| Candidate {
                load: *load,
                upstream,
                rank,
                is_connected: demand.connected.contains(&upstream.registration.address),
                prefix_correction_ms: 0.0,
            })
            .collect();
        let profile = candidates
            .first()
            .ok_or(NoUpstream::AllTried)?
            .upstream
            .profile
            .clone();
        let (options, zone) = (&self.0.options, &self.0.availability_zone);
        match profile {
            Some(profile) if demand.prompt_tokens > 0 => {
                let prompt = (demand, among.beginnings);
                state.correct_costs(&mut candidates, prompt, &profile, options, now);
                let shortest_gap = state.shortest_gap.unwrap_or(demand.gap);
                let context = ChoiceContext {
                    availability_zone: zone,
                    shortest_gap,
                    daemons: state.last_received.len(),
                    unreported_short_prompts: state.remote_short_arrivals.per_s(now)
                        * state.update_delay.as_secs_f64(),
                    draw: xxh3_64_with_seed(&state.next_work.to_le_bytes(), self.0.salt),
                    is_settling: now.saturating_duration_since(self.0.started)
                        < options.settling_time(),
                    served_share: served_share(state, demand, size, options, &candidates),
                    contention: contention(state, service, demand, options, &candidates, now),
                };
                choose_engines(&candidates, &profile, demand, options, context)
            }
            _ if among.cold == ColdChoice::Excluded
                && candidates.iter().all(Candidate::is_full) =>
            {
                Err(NoUpstream::Full)
            }
            _ => choose_plain(&candidates, options, zone, state.next_work)
                .ok_or(NoUpstream::AllTried),
        }
    }

    /// Records an answer of an upstream.
    pub fn record_answer(&self, upstream: UpstreamKey) {
        let mut state = self.0.state.borrow_mut();
        if let Some(entry) = state.upstream_mut(upstream) {
            entry.health.record_answer();
        }
        self.record_zone_contact_of(&mut state, upstream);
    }

    /// Sets the time until placements of other daemons are known here.
    pub fn set_update_delay(&self, delay: Duration) {
        self.0.state.borrow_mut().update_delay = delay;
    }

    /// Whether this daemon placed a request within the last `time`.
    #[must_use]
    pub fn placed_within(&self, time: Duration) -> bool {
        let placed_at = self.0.state.borrow().placed_at;
        placed_at.is_some_and(|at| self.now().saturating_duration_since(at) < time)
    }

    /// Records a failure of an upstream; returns its ejection time, if the upstream is known.
    ///
    /// The failure concerns this daemon alone until it is published.
    pub fn record_failure(&self, upstream: UpstreamKey, failure: Failure) -> Option<Duration> {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        let entry = state.upstream_mut(upstream)?;
        Some(entry.health.record_failure(failure, now, &self.0.options))
    }

    /// Has new requests of this daemon prefer other upstreams for a while, or until this one goes
    /// on; returns that time, if the upstream is known.
    pub fn record_silence(&self, upstream: UpstreamKey) -> Option<Duration> {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        let entry = state.upstream_mut(upstream)?;
        Some(entry.health.record_silence(now, &self.0.options))
    }

    /// Records that another upstream went on first with a request that was sent to this one
    /// `age` ago, while it was silent; returns its ejection time, if that happens repeatedly.
    pub fn record_overtaken(&self, upstream: UpstreamKey, age: Duration) -> Option<Duration> {
        let now = self.now();
        let sent_at = now.checked_sub(age)?;
        let mut state = self.0.state.borrow_mut();
        let entry = state.upstream_mut(upstream)?;
        let options = &self.0.options;
        entry.health.record_overtaken(sent_at, now, options)
    }

    /// Records that an upstream went on with a request after it was silent.
    pub fn record_sign_of_life(&self, upstream: UpstreamKey) {
        if let Some(entry) = self.0.state.borrow_mut().upstream_mut(upstream) {
            entry.health.record_sign_of_life();
        }
    }

    /// Has the other daemons eject an upstream, for `time` at most.
    pub fn publish_failure(&self, upstream: UpstreamKey, time: Duration) {
        self.publish(LoadUpdate::Failed {
            upstream,
            ejected_ms: saturating_ms(time),
            has_crashed: false,
        });
    }

    /// The upstream of a service with the fewest requests, except those in `tried`, among those
    /// that take work and are not ejected.
    #[must_use]
    pub fn calmest(
        &self,
        service: &str,
        allowed: &AllowedRegions,
        tried: &[UpstreamKey],
    ) -> Option<UpstreamKey> {
        let now = self.now();
        let state = self.0.state.borrow();
        let loads = loads(&state.upstreams, state.work.values(), now);
        let open = state.upstreams.iter().zip(&loads).filter(|(entry, _)| {
            let registration = &entry.registration;
            registration.service == service
                && state.eligibility(entry, allowed, now).is_eligible()
                && !state.notices.is_said_to_leave(entry.key)
                && !entry.health.is_ejected(now)
                && !state.is_zone_unreachable(&registration.availability_zone, now)
                && !tried.contains(&entry.key)
        });
        let calmest = open.min_by_key(|(entry, load)| (load.running(), entry.key));
        calmest.map(|(entry, _)| entry.key)
    }

    /// Keeps other requests from an upstream for `time`, here and at the other daemons.
    pub fn isolate(&self, upstream: UpstreamKey, time: Duration) {
        let now = self.now();
        if let Some(entry) = self.0.state.borrow_mut().upstream_mut(upstream) {
            entry.health.eject_for(time, now);
        }
        self.publish_failure(upstream, time);
    }

    /// Ejects an upstream that has exited, here and at the other daemons, until its registration
    /// is gone. If it starts again, it does so as another incarnation.
    pub fn eject_crashed(&self, upstream: UpstreamKey) {
        let now = self.now();
        if let Some(entry) = self.0.state.borrow_mut().upstream_mut(upstream) {
            entry.health.eject_for(CRASH_EJECTION, now);
        }
        self.0.state.borrow_mut().forget_beginnings(upstream);
        self.publish(LoadUpdate::Failed {
            upstream,
            ejected_ms: saturating_ms(CRASH_EJECTION),
            has_crashed: true,
        });
    }

    /// Ends the ejection of an upstream, as its failures were not its own.
    pub fn forgive(&self, upstream: UpstreamKey) {
        let mut state = self.0.state.borrow_mut();
        if let Some(entry) = state.upstream_mut(upstream) {
            entry.health.record_answer();
        }
    }

    /// Upstreams of a service that may get work of a request, and are not ejected.
    #[must_use]
    pub fn open_of_service(&self, service: &str, allowed: &AllowedRegions) -> Vec<UpstreamKey> {
        let now = self.now();
        let state = self.0.state.borrow();
        let is_open = |entry: &&UpstreamState| {
            let registration = &entry.registration;
            registration.service == service
                && state.eligibility(entry, allowed, now).is_eligible()
                && !entry.health.is_ejected(now)
        };
        let open = state.upstreams.iter().filter(is_open);
        open.map(|entry| entry.key).collect()
    }

    /// Keys of all known upstreams.
    #[must_use]
    pub fn keys(&self) -> Vec<UpstreamKey> {
        let state = self.0.state.borrow();
        state.upstreams.iter().map(|entry| entry.key).collect()
    }

    /// What `map` returns for the key and the service of each upstream.
    #[must_use]
    pub fn map_keys<T>(&self, map: impl Fn(UpstreamKey, &str) -> T) -> Vec<T> {
        let state = self.0.state.borrow();
        let entries = state.upstreams.iter();
        entries
            .map(|entry| map(entry.key, &entry.registration.service))
            .collect()
    }

    /// The registration of an upstream.
    #[must_use]
    pub fn registration(&self, upstream: UpstreamKey) -> Option<Upstream> {
        let mut state = self.0.state.borrow_mut();
        state
            .upstream_mut(upstream)
            .map(|entry| entry.registration.clone())
    }

    /// Number of known upstreams.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.state.borrow().upstreams.len()
    }

    /// Id of an upstream.
    #[must_use]
    pub fn id_of(&self, upstream: UpstreamKey) -> Option<UpstreamId> {
        let mut state = self.0.state.borrow_mut();
        state
            .upstream_mut(upstream)
            .map(|entry| entry.registration.id.clone())
    }

    /// Whether this incarnation of an upstream is registered.
    #[must_use]
    pub fn is_known(&self, upstream: UpstreamKey) -> bool {
        self.0.state.borrow_mut().upstream_mut(upstream).is_some()
    }

    /// Whether a later incarnation of an upstream is registered.
    #[must_use]
    pub fn has_restarted(&self, upstream: &Upstream) -> bool {
        let state = self.0.state.borrow();
        let mut same = state.upstreams.iter().map(|entry| &entry.registration);
        same.any(|registration| {
            registration.id == upstream.id && registration.started_at_ms > upstream.started_at_ms
        })
    }

    /// The upstream that listens on `address`.
    #[must_use]
    pub fn at_address(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let state = self.0.state.borrow();
        let mut entry = state.upstreams.iter();
        entry
            .find(|entry| entry.registration.address == address)
            .map(|entry| entry.key)
    }

    /// State of all upstreams, for a status page.
    #[must_use]
    pub fn status(&self) -> Vec<UpstreamStatus> {
        let now = self.now();
        let state = self.0.state.borrow();
        let loads = loads(&state.upstreams, state.work.values(), now);
        let status = |(entry, load): (&UpstreamState, &Load)| UpstreamStatus {
            upstream: entry.registration.clone(),
            answering: load.answering,
            backlog_ms: load.backlog_ms,
            memory_tokens: load.memory_tokens,
            is_ejected: entry.health.is_ejected(now),
        };
        state.upstreams.iter().zip(&loads).map(status).collect()
    }

    fn publish(&self, update: LoadUpdate) {
        // Without a receiver there are no other daemons to inform.
        let _ = self.0.updates.unbounded_send(update);
    }
}

/// Drops the upstreams whose address was registered again later.
fn latest_at_address(upstreams: impl IntoIterator<Item = Upstream>) -> Vec<Upstream> {
    let mut latest: HashMap<SocketAddr, Upstream> = HashMap::new();
    for upstream in upstreams {
        let previous = latest.get(&upstream.address);
        if previous.is_none_or(|previous| previous.registered_at <= upstream.registered_at) {
            latest.insert(upstream.address, upstream);
        }
    }
    latest.into_values().collect()
}
