//! The handle that holds all upstreams and the work on them.

mod crash_records;
mod exchange;

use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedSender;
use mangofront_routes::{EngineProfile, Upstream, UpstreamId};
use mangofront_settings::ids::{AvailabilityZone, ServiceName};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::choose::{
    Candidate, Choice, Circumstances, Demand, NoUpstream, choose_engines, choose_plain,
};
use crate::health::Failure;
use crate::news::{LoadUpdate, milliseconds, placed_news};
use crate::placed::Placement;
use crate::shares::{Progress, SizeClass};
use crate::state::{OWN, State};
use crate::upstream::{Known, Load, loads};
use crate::work::{UpstreamKey, Work, key_of};
use mangofront_settings::process::ChoiceOptions;

/// Tells the time.
pub type Clock = fn() -> Instant;

/// All upstreams in this daemon's view; clones share it.
#[derive(Debug, Clone)]
pub struct Upstreams(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    options: ChoiceOptions,
    availability_zone: AvailabilityZone,
    news: UnboundedSender<LoadUpdate>,
    /// Differs between daemons, so that they don't all take the same of equals.
    salt: u64,
    clock: Clock,
    started: Instant,
    state: RefCell<State>,
}

/// What is known of one upstream, for a status page.
#[derive(Debug, Clone, PartialEq)]
pub struct UpstreamStatus {
    /// The upstream.
    pub upstream: Upstream,
    /// Requests that it answers, of all daemons.
    pub answering: u32,
    /// Time until all that was placed is read, in milliseconds.
    pub backlog_ms: f64,
    /// Memory set aside, in tokens.
    pub memory_tokens: u64,
    /// Whether it is left out after a failure.
    pub is_ejected: bool,
}

impl Upstreams {
    /// No upstream yet; what other daemons should hear goes to `news`. `salt` is
    /// any number that differs between daemons.
    #[must_use]
    pub fn new(
        options: ChoiceOptions,
        availability_zone: AvailabilityZone,
        salt: u64,
        news: UnboundedSender<LoadUpdate>,
    ) -> Self {
        Self::with_clock(options, availability_zone, salt, news, Instant::now)
    }

    /// The same, that tells the time by `clock`: a test of a load needs no more time
    /// than its arithmetic.
    #[must_use]
    pub fn with_clock(
        options: ChoiceOptions,
        availability_zone: AvailabilityZone,
        salt: u64,
        news: UnboundedSender<LoadUpdate>,
        clock: Clock,
    ) -> Self {
        Self(Rc::new(Shared {
            options,
            availability_zone,
            news,
            salt,
            clock,
            started: clock(),
            state: RefCell::default(),
        }))
    }

    fn now(&self) -> Instant {
        (self.0.clock)()
    }

    /// Takes over the published upstreams, with the speed of each service's engines.
    ///
    /// Returns those that have started again under their id.
    pub fn set_published(
        &self,
        upstreams: impl IntoIterator<Item = Upstream>,
        figures: &HashMap<ServiceName, Rc<EngineProfile>>,
    ) -> Vec<Upstream> {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        let mut before: HashMap<UpstreamKey, Known> = state
            .known
            .drain(..)
            .map(|known| (known.key, known))
            .collect();
        let mut restarted = Vec::new();
        for info in latest_at_address(upstreams) {
            if state.lives.see(&info) {
                restarted.push(info.clone());
            }
            let service = figures.get(&info.service).cloned();
            let known = match before.remove(&key_of(&info)) {
                Some(known) => known.renewed(info, service),
                None => Known::new(info, service, now),
            };
            state.known.push(known);
        }
        state.known.sort_by_key(|known| known.key);
        let State { known, lives, .. } = &mut *state;
        let listed: HashSet<&UpstreamId> = known.iter().map(|known| &known.info.id).collect();
        lives.retain(|id| listed.contains(id));
        restarted
    }

    /// Chooses the upstreams for a request, passing over those in `tried`.
    ///
    /// # Errors
    /// [`NoUpstream`] when none can take it.
    pub fn place(
        &self,
        service: &str,
        demand: &Demand,
        tried: &[UpstreamKey],
    ) -> Result<Placement, NoUpstream> {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.forget_old(now);
        if demand.prompt_tokens > 0 {
            let shortest = state.shortest_gap.unwrap_or(demand.gap).min(demand.gap);
            state.shortest_gap = Some(shortest);
        }
        let size = state.size(service, demand);
        let choice = self.choose(&state, service, demand, size, tried, now);
        let progress = match &choice {
            Ok(_) => Some(Progress::Placed),
            Err(NoUpstream::Overrun) => Some(Progress::Refused),
            Err(_) => None,
        };
        let share = size.map(|size| (demand.request, size));
        if let (Some((request, size)), Some(progress)) = (share, progress) {
            self.note_progress(&mut state, request, size, progress);
        }
        let choice = choice?;
        let id = state.next_work;
        state.next_work += 1;
        state.placed_at = Some(now);
        let expected = Duration::from_secs_f64(choice.first_event_ms / 1_000.0);
        let work = Work {
            parts: choice.parts,
            is_reading: demand.prompt_tokens > 0,
            expected_at: now + expected,
            gap_ms: demand.gap.as_secs_f64() * 1_000.0,
            known_since: now,
            expires_at: now + demand.time_left,
        };
        self.tell(placed_news(id, &work, expected, demand.time_left));
        state.add((OWN, id), work, now);
        let life_end = state.lives.end_of(&choice.shares[0].upstream);
        Ok(Placement {
            shares: choice.shares,
            expected_first_event: expected,
            queue_delay: Duration::from_secs_f64(choice.queue_ms / 1_000.0),
            known_daemons: state.heard.len(),
            oldest_update: state.oldest_update(now),
            id,
            is_read: false,
            share,
            life_end,
            upstreams: self.clone(),
        })
    }

    fn choose(
        &self,
        state: &State,
        service: &str,
        demand: &Demand,
        size: Option<SizeClass>,
        tried: &[UpstreamKey],
        now: Instant,
    ) -> Result<Choice, NoUpstream> {
        let loads = loads(&state.known, state.works.values(), now);
        let of_service = || {
            let known = state.known.iter().zip(&loads);
            known.filter(|(known, _)| known.info.service == service && !known.info.leaving)
        };
        if of_service().next().is_none() {
            return Err(NoUpstream::NoneKnown);
        }
        let untried = || of_service().filter(|(known, _)| !tried.contains(&known.key));
        let is_reachable = |(known, _): &(&Known, &Load)| {
            !state.is_zone_silent(&known.info.availability_zone, now)
        };
        let is_sound = |(known, _): &(&Known, &Load)| !known.health.is_ejected(now);
        let mut open: Vec<(&Known, &Load)> = untried()
            .filter(|one| is_sound(one) && is_reachable(one))
            .collect();
        // One that failed lately may be back, and costs less to try than one that can't
        // even be reached: that takes a timeout.
        if open.is_empty() {
            open = untried().filter(is_reachable).collect();
        }
        if open.is_empty() {
            open = untried().collect();
        }
        let candidates: Vec<Candidate<'_>> = open
            .into_iter()
            .enumerate()
            .map(|(rank, (known, load))| Candidate {
                load: *load,
                known,
                rank,
                is_connected: demand.connected.contains(&known.info.address),
            })
            .collect();
        let figures = candidates
            .first()
            .ok_or(NoUpstream::AllTried)?
            .known
            .figures
            .clone();
        let (options, zone) = (&self.0.options, &self.0.availability_zone);
        match figures {
            Some(figures) if demand.prompt_tokens > 0 => {
                let shortest_gap = state.shortest_gap.unwrap_or(demand.gap);
                let circumstances = Circumstances {
                    availability_zone: zone,
                    shortest_gap,
                    daemons: state.heard.len(),
                    unheard: state.shorts_of_others.per_s(now) * state.news_delay.as_secs_f64(),
                    draw: xxh3_64_with_seed(&state.next_work.to_le_bytes(), self.0.salt),
                    is_settling: now.saturating_duration_since(self.0.started)
                        < options.settling_time(),
                    served_without: state.served_without(demand, size, options),
                };
                choose_engines(&candidates, &figures, demand, options, circumstances)
            }
            _ => choose_plain(&candidates, options, zone, state.next_work)
                .ok_or(NoUpstream::AllTried),
        }
    }

    /// Notes that an upstream answered.
    pub fn record_answer(&self, upstream: UpstreamKey) {
        let mut state = self.0.state.borrow_mut();
        if let Some(known) = state.known_mut(upstream) {
            known.health.record_answer();
        }
        self.hear_upstream(&mut state, upstream);
    }

    /// Notes that bytes of an upstream came, so that its zone can be reached.
    pub fn received_from(&self, upstream: UpstreamKey) {
        let mut state = self.0.state.borrow_mut();
        self.hear_upstream(&mut state, upstream);
    }

    /// Sets the time after which this daemon hears of the others' placements.
    pub fn set_update_delay(&self, delay: Duration) {
        self.0.state.borrow_mut().news_delay = delay;
    }

    /// Notes that a zone can be reached.
    pub fn mark_zone_reachable(&self, zone: &str) {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.hear_zone(zone, &self.0.availability_zone, now);
    }

    /// Zones that are left out, as nothing can be heard of them.
    #[must_use]
    pub fn unreachable_zones(&self) -> Vec<AvailabilityZone> {
        let now = self.now();
        let state = self.0.state.borrow();
        let zones = state.zones.keys();
        zones
            .filter(|zone| state.is_zone_silent(zone, now))
            .cloned()
            .collect()
    }

    /// Whether this daemon placed a request within the last `time`.
    #[must_use]
    pub fn placed_within(&self, time: Duration) -> bool {
        let placed_at = self.0.state.borrow().placed_at;
        placed_at.is_some_and(|at| self.now().saturating_duration_since(at) < time)
    }

    /// Other zones that have shown nothing of themselves for `silence`, each with
    /// one of its upstreams, by which it can be tried.
    #[must_use]
    pub fn probe_targets(&self, silence: Duration) -> Vec<Upstream> {
        let now = self.now();
        let state = self.0.state.borrow();
        let is_quiet = |at: &Instant| now.saturating_duration_since(*at) >= silence;
        let quiet = state.zones.iter().filter(|(_, at)| is_quiet(at));
        let of_zone = |zone: &AvailabilityZone| {
            let upstreams: Vec<&Known> = state
                .known
                .iter()
                .filter(|known| known.info.availability_zone == *zone && !known.info.leaving)
                .collect();
            let turn = state.next_work as usize;
            upstreams
                .get(turn % upstreams.len().max(1))
                .map(|known| known.info.clone())
        };
        quiet.filter_map(|(zone, _)| of_zone(zone)).collect()
    }

    fn hear_upstream(&self, state: &mut State, upstream: UpstreamKey) {
        let zone = state
            .known_mut(upstream)
            .map(|known| known.info.availability_zone.clone());
        if let Some(zone) = zone {
            state.hear_zone(&zone, &self.0.availability_zone, self.now());
        }
    }

    /// Notes that an upstream failed; returns for how long it is left out, if it
    /// is known.
    pub fn record_failure(&self, upstream: UpstreamKey, failure: Failure) -> Option<Duration> {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        let known = state.known_mut(upstream)?;
        let ejected = known.health.record_failure(failure, now, &self.0.options);
        self.tell(LoadUpdate::Failed {
            upstream,
            ejected_ms: milliseconds(ejected),
        });
        Some(ejected)
    }

    /// Upstreams that are known.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.state.borrow().known.len()
    }

    /// Id of an upstream.
    #[must_use]
    pub fn id_of(&self, upstream: UpstreamKey) -> Option<UpstreamId> {
        let mut state = self.0.state.borrow_mut();
        state.known_mut(upstream).map(|known| known.info.id.clone())
    }

    /// Whether an upstream that was chosen may still be given work.
    #[must_use]
    pub fn accepts_work(&self, upstream: UpstreamKey) -> bool {
        let mut state = self.0.state.borrow_mut();
        let known = state.known_mut(upstream);
        known.is_some_and(|known| !known.info.leaving)
    }

    /// Whether an upstream is registered, in this life.
    #[must_use]
    pub fn is_known(&self, upstream: UpstreamKey) -> bool {
        self.0.state.borrow_mut().known_mut(upstream).is_some()
    }

    /// Whether a later life of an upstream is registered.
    #[must_use]
    pub fn has_restarted(&self, upstream: &Upstream) -> bool {
        let state = self.0.state.borrow();
        let mut same = state.known.iter().map(|known| &known.info);
        same.any(|info| info.id == upstream.id && info.started_at_ms > upstream.started_at_ms)
    }

    /// Whether an upstream said that it leaves.
    #[must_use]
    pub fn is_leaving(&self, upstream: UpstreamKey) -> bool {
        let mut state = self.0.state.borrow_mut();
        let known = state.known_mut(upstream);
        known.is_some_and(|known| known.info.leaving)
    }

    /// The upstream that listens at `address`.
    #[must_use]
    pub fn at_address(&self, address: SocketAddr) -> Option<UpstreamKey> {
        let state = self.0.state.borrow();
        let mut known = state.known.iter();
        known
            .find(|known| known.info.address == address)
            .map(|known| known.key)
    }

    /// The view, for a status page.
    #[must_use]
    pub fn status(&self) -> Vec<UpstreamStatus> {
        let now = self.now();
        let state = self.0.state.borrow();
        let loads = loads(&state.known, state.works.values(), now);
        let status = |(known, load): (&Known, &Load)| UpstreamStatus {
            upstream: known.info.clone(),
            answering: load.answering,
            backlog_ms: load.backlog_ms,
            memory_tokens: load.memory_tokens,
            is_ejected: known.health.is_ejected(now),
        };
        state.known.iter().zip(&loads).map(status).collect()
    }

    fn tell(&self, news: LoadUpdate) {
        // Without a listener there are no other daemons to hear it.
        let _ = self.0.news.unbounded_send(news);
    }
}

/// The upstreams without those whose address a later one has.
fn latest_at_address(upstreams: impl IntoIterator<Item = Upstream>) -> Vec<Upstream> {
    let mut latest: HashMap<SocketAddr, Upstream> = HashMap::new();
    for upstream in upstreams {
        let before = latest.get(&upstream.address);
        if before.is_none_or(|before| before.registered_at <= upstream.registered_at) {
            latest.insert(upstream.address, upstream);
        }
    }
    latest.into_values().collect()
}
