//! The handle that holds all upstreams and the work on them.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::mpsc::UnboundedSender;
use mangofront_routes::{EngineFigures, Upstream, UpstreamId};
use mangofront_settings::ids::{AvailabilityZone, ServiceName};

use crate::choose::{
    Candidate, Choice, Crowd, Demand, NoUpstream, Reader, choose_engines, choose_plain, expiry,
};
use crate::health::Failure;
use crate::news::{News, Origin, PartNews};
use crate::options::ChoiceOptions;
use crate::upstream::Known;
use crate::work::{Part, UpstreamKey, Work, WorkId, key_of};

/// Who placed a request: this daemon or another.
type WorkKey = (Origin, WorkId);

/// Silence after which a daemon's requests are forgotten: it tells of them each
/// second, and a datagram or two may be lost.
const SILENT_AFTER: Duration = Duration::from_millis(3_500);

/// Silence after which a zone is left out. A quiet zone is tried before that, see
/// [`Upstreams::quiet_zones`], so this is about one connection attempt longer.
const ZONE_SILENT_AFTER: Duration = Duration::from_millis(1_100);

/// Age up to which a request may be missing in a list that was on its way.
const LATEST_NEWS: Duration = Duration::from_millis(300);

/// Origin of this daemon's own work.
const OWN: Origin = 0;

/// All upstreams in this daemon's view; clones share it.
#[derive(Debug, Clone)]
pub struct Upstreams(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    options: ChoiceOptions,
    availability_zone: AvailabilityZone,
    news: UnboundedSender<News>,
    /// Differs between daemons, so that they don't all take the same of equals.
    salt: u64,
    state: RefCell<State>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by key, which is the order that all daemons share.
    known: Vec<Known>,
    works: HashMap<WorkKey, Work>,
    next_work: WorkId,
    /// When each other daemon was last heard.
    heard: HashMap<Origin, Instant>,
    /// When each other zone last showed that it can be reached.
    zones: HashMap<AvailabilityZone, Instant>,
    /// Shortest pause that any request so far allowed.
    shortest_gap: Option<Duration>,
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
        news: UnboundedSender<News>,
    ) -> Self {
        Self(Rc::new(Shared {
            options,
            availability_zone,
            news,
            salt: salt | 1,
            state: RefCell::default(),
        }))
    }

    /// Takes over the published upstreams, with the speed of each service's engines.
    pub fn set_known(
        &self,
        upstreams: impl IntoIterator<Item = Upstream>,
        figures: &HashMap<ServiceName, Rc<EngineFigures>>,
    ) {
        let now = Instant::now();
        let mut state = self.0.state.borrow_mut();
        let mut before: HashMap<UpstreamKey, Known> = state
            .known
            .drain(..)
            .map(|known| (known.key, known))
            .collect();
        for info in upstreams {
            let service = figures.get(&info.service).cloned();
            let known = match before.remove(&key_of(&info.id)) {
                Some(known) => known.renewed(info, service),
                None => Known::new(info, service, now),
            };
            state.known.push(known);
        }
        state.known.sort_by_key(|known| known.key);
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
    ) -> Result<Placed, NoUpstream> {
        let now = Instant::now();
        let mut state = self.0.state.borrow_mut();
        state.forget_old(now);
        if demand.prompt_tokens > 0 {
            let shortest = state.shortest_gap.unwrap_or(demand.gap).min(demand.gap);
            state.shortest_gap = Some(shortest);
        }
        let choice = self.choose(&state, service, demand, tried, now)?;
        let id = state.next_work;
        state.next_work += 1;
        let expected = Duration::from_secs_f64(choice.first_event_ms / 1_000.0);
        let work = Work {
            parts: choice.parts,
            is_reading: demand.prompt_tokens > 0,
            expected_at: now + expected,
            gap_ms: demand.gap.as_secs_f64() * 1_000.0,
            known_since: now,
            expires_at: expiry(demand, now),
        };
        self.tell(placed_news(id, &work, expected, demand.time_left));
        state.add((OWN, id), work, now);
        Ok(Placed {
            readers: choice.readers,
            expected_first_event: expected,
            id,
            is_read: false,
            upstreams: self.clone(),
        })
    }

    fn choose(
        &self,
        state: &State,
        service: &str,
        demand: &Demand,
        tried: &[UpstreamKey],
        now: Instant,
    ) -> Result<Choice, NoUpstream> {
        let of_service = || {
            let known = state.known.iter();
            known.filter(|known| known.info.service == service && !known.info.leaving)
        };
        if of_service().next().is_none() {
            return Err(NoUpstream::NoneKnown);
        }
        let untried = || of_service().filter(|known| !tried.contains(&known.key));
        let is_reachable =
            |known: &Known| !state.is_zone_silent(&known.info.availability_zone, now);
        let mut open: Vec<&Known> = untried()
            .filter(|known| !known.health.is_ejected(now) && is_reachable(known))
            .collect();
        if open.is_empty() {
            // One that failed lately may be back; nothing else is left.
            open = untried().collect();
        }
        let candidates: Vec<Candidate<'_>> = open
            .into_iter()
            .enumerate()
            .map(|(rank, known)| Candidate {
                load: known.load(state.works.values(), now),
                known,
                rank,
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
                let crowd = Crowd {
                    daemons: state.heard.len(),
                    draw: self.0.salt.wrapping_mul(state.next_work | 1) >> 17,
                };
                let shortest_gap = state.shortest_gap.unwrap_or(demand.gap);
                choose_engines(
                    &candidates,
                    &figures,
                    demand,
                    options,
                    zone,
                    shortest_gap,
                    crowd,
                )
            }
            _ => choose_plain(&candidates, options, zone, state.next_work)
                .ok_or(NoUpstream::AllTried),
        }
    }

    /// Notes that an upstream answered.
    pub fn answered(&self, upstream: UpstreamKey) {
        let mut state = self.0.state.borrow_mut();
        if let Some(known) = state.known_mut(upstream) {
            known.health.answered();
        }
        self.hear_upstream(&mut state, upstream);
    }

    /// Notes that bytes of an upstream came, so that its zone can be reached.
    pub fn heard_from(&self, upstream: UpstreamKey) {
        let mut state = self.0.state.borrow_mut();
        self.hear_upstream(&mut state, upstream);
    }

    /// Notes that a zone can be reached.
    pub fn heard_zone(&self, zone: &str) {
        self.0
            .state
            .borrow_mut()
            .hear_zone(zone, &self.0.availability_zone);
    }

    /// Zones that are left out, as nothing can be heard of them.
    #[must_use]
    pub fn silent_zones(&self) -> Vec<AvailabilityZone> {
        let now = Instant::now();
        let state = self.0.state.borrow();
        let zones = state.zones.keys();
        zones
            .filter(|zone| state.is_zone_silent(zone, now))
            .cloned()
            .collect()
    }

    /// Other zones that have shown nothing of themselves for `silence`, each with
    /// one of its upstreams, by which it can be tried.
    #[must_use]
    pub fn quiet_zones(&self, silence: Duration) -> Vec<Upstream> {
        let now = Instant::now();
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
            state.hear_zone(&zone, &self.0.availability_zone);
        }
    }

    /// Notes that an upstream failed; returns for how long it is left out, if it
    /// is known.
    pub fn failed(&self, upstream: UpstreamKey, failure: Failure) -> Option<Duration> {
        let now = Instant::now();
        let mut state = self.0.state.borrow_mut();
        let known = state.known_mut(upstream)?;
        let ejected = known.health.failed(failure, now, &self.0.options);
        self.tell(News::Failed {
            upstream,
            ejected_ms: milliseconds(ejected),
        });
        Some(ejected)
    }

    /// Id of an upstream.
    #[must_use]
    pub fn id_of(&self, upstream: UpstreamKey) -> Option<UpstreamId> {
        let mut state = self.0.state.borrow_mut();
        state.known_mut(upstream).map(|known| known.info.id.clone())
    }

    /// The upstream that listens at `address`.
    #[must_use]
    pub fn at_address(&self, address: std::net::SocketAddr) -> Option<UpstreamKey> {
        let state = self.0.state.borrow();
        let mut known = state.known.iter();
        known
            .find(|known| known.info.address == address)
            .map(|known| known.key)
    }

    /// Whether an upstream may get new work: it is published and not leaving.
    #[must_use]
    pub fn may_get_work(&self, upstream: UpstreamKey) -> bool {
        let state = self.0.state.borrow();
        let mut known = state.known.iter();
        known.any(|known| known.key == upstream && !known.info.leaving)
    }

    /// Takes in news of another daemon.
    pub fn hear(&self, origin: Origin, news: News) {
        let now = Instant::now();
        let mut state = self.0.state.borrow_mut();
        state.heard.insert(origin, now);
        match news {
            News::Placed {
                work,
                parts,
                gap_ms,
                expected_in_ms,
                expires_in_ms,
            } => {
                let work_key = (origin, work);
                let heard = Work {
                    is_reading: parts.iter().any(|part| part.read_us > 0),
                    parts: parts.iter().map(part_of).collect(),
                    expected_at: now + Duration::from_millis(u64::from(expected_in_ms)),
                    gap_ms: f64::from(gap_ms),
                    known_since: now,
                    expires_at: now + Duration::from_millis(u64::from(expires_in_ms)),
                };
                state.add(work_key, heard, now);
            }
            News::Read { work } => state.mark_read(&(origin, work)),
            News::Ended { work } => {
                state.works.remove(&(origin, work));
            }
            News::Running { reading, writing } => {
                state.set_running(origin, &reading, &writing, now);
            }
            News::Failed {
                upstream,
                ejected_ms,
            } => {
                let time = Duration::from_millis(u64::from(ejected_ms));
                let time = time.min(self.0.options.first_ejection);
                if let Some(known) = state.known_mut(upstream) {
                    known.health.leave_out(time, now);
                }
            }
        }
    }

    /// Forgets the work of a daemon that is gone.
    pub fn forget(&self, origin: Origin) {
        let mut state = self.0.state.borrow_mut();
        state.works.retain(|key, _| key.0 != origin);
        state.heard.remove(&origin);
    }

    /// All requests of this daemon that have not ended, as a daemon that has just
    /// started has to hear of them.
    #[must_use]
    pub fn introduction(&self) -> Vec<News> {
        let now = Instant::now();
        let state = self.0.state.borrow();
        let own = state.works.iter().filter(|(key, _)| key.0 == OWN);
        let mut news = Vec::new();
        for ((_, id), work) in own {
            let expected = work.expected_at.saturating_duration_since(now);
            let left = work.expires_at.saturating_duration_since(now);
            news.push(placed_news(*id, work, expected, left));
            if !work.is_reading {
                news.push(News::Read { work: *id });
            }
        }
        news
    }

    /// Tells the other daemons of all requests that have not ended.
    pub fn tell_running(&self) {
        let state = self.0.state.borrow();
        let own = || state.works.iter().filter(|(key, _)| key.0 == OWN);
        let of = |is_reading| {
            own()
                .filter(move |(_, work)| work.is_reading == is_reading)
                .map(|(key, _)| key.1)
                .collect()
        };
        self.tell(News::Running {
            reading: of(true),
            writing: of(false),
        });
    }

    /// The view, for a status page.
    #[must_use]
    pub fn status(&self) -> Vec<UpstreamStatus> {
        let now = Instant::now();
        let state = self.0.state.borrow();
        let status = |known: &Known| {
            let load = known.load(state.works.values(), now);
            UpstreamStatus {
                upstream: known.info.clone(),
                answering: load.answering,
                backlog_ms: load.backlog_ms,
                memory_tokens: load.memory_tokens,
                is_ejected: known.health.is_ejected(now),
            }
        };
        state.known.iter().map(status).collect()
    }

    fn tell(&self, news: News) {
        // Without a listener there are no other daemons to hear it.
        let _ = self.0.news.unbounded_send(news);
    }
}

impl State {
    fn add(&mut self, key: WorkKey, work: Work, now: Instant) {
        for part in &work.parts {
            if let Some(known) = self.known_mut(part.upstream) {
                known.add_reading(part.read_ms, now);
            }
        }
        self.works.insert(key, work);
    }

    fn hear_zone(&mut self, zone: &str, own_zone: &str) {
        if zone == own_zone {
            return;
        }
        match self.zones.get_mut(zone) {
            Some(at) => *at = Instant::now(),
            None => {
                self.zones.insert(zone.to_owned(), Instant::now());
            }
        }
    }

    /// Whether a zone seems to be cut off: nothing came from its daemons or its
    /// upstreams lately, and trying it by a connection failed too.
    fn is_zone_silent(&self, zone: &str, now: Instant) -> bool {
        let heard = self.zones.get(zone);
        heard.is_some_and(|at| now.saturating_duration_since(*at) > ZONE_SILENT_AFTER)
    }

    /// Drops requests that have ended for certain, and those of daemons that
    /// are not heard any more: they are dead, and their requests with them, or
    /// cut off, and then nothing is known.
    fn forget_old(&mut self, now: Instant) {
        let is_silent = |at: &Instant| now.saturating_duration_since(*at) > SILENT_AFTER;
        let silent: Vec<Origin> = self
            .heard
            .iter()
            .filter(|(_, at)| is_silent(at))
            .map(|(origin, _)| *origin)
            .collect();
        self.heard.retain(|_, at| !is_silent(at));
        self.works
            .retain(|key, work| now < work.expires_at && !silent.contains(&key.0));
    }

    /// Sets the requests of another daemon right by its own list.
    fn set_running(
        &mut self,
        origin: Origin,
        reading: &[WorkId],
        writing: &[WorkId],
        now: Instant,
    ) {
        self.works.retain(|key, work| {
            let is_new = now.saturating_duration_since(work.known_since) < LATEST_NEWS;
            let is_running = reading.contains(&key.1) || writing.contains(&key.1);
            key.0 != origin || is_new || is_running
        });
        for work in writing {
            self.mark_read(&(origin, *work));
        }
    }

    fn mark_read(&mut self, key: &WorkKey) {
        if let Some(work) = self.works.get_mut(key) {
            work.is_reading = false;
        }
    }

    fn known_mut(&mut self, key: UpstreamKey) -> Option<&mut Known> {
        let place = self.known.binary_search_by_key(&key, |known| known.key);
        self.known.get_mut(place.ok()?)
    }
}

/// A request's place at its upstreams; ends when dropped.
#[derive(Debug)]
#[must_use = "the request counts as ended once this is dropped"]
pub struct Placed {
    /// Upstreams; the first answers, the others read parts of the prompt.
    pub readers: Vec<Reader>,
    /// Time to the first event, as predicted.
    pub expected_first_event: Duration,
    id: WorkId,
    is_read: bool,
    upstreams: Upstreams,
}

impl Placed {
    /// The upstream that answers.
    #[must_use]
    pub fn answering(&self) -> &Upstream {
        &self.readers[0].upstream
    }

    /// Number of the request within this daemon.
    #[must_use]
    pub fn work_id(&self) -> WorkId {
        self.id
    }

    /// Notes that the first event came.
    pub fn first_event(&mut self) {
        if std::mem::replace(&mut self.is_read, true) {
            return;
        }
        let mut state = self.upstreams.0.state.borrow_mut();
        state.mark_read(&(OWN, self.id));
        self.upstreams.tell(News::Read { work: self.id });
    }
}

impl Drop for Placed {
    fn drop(&mut self) {
        let mut state = self.upstreams.0.state.borrow_mut();
        state.works.remove(&(OWN, self.id));
        self.upstreams.tell(News::Ended { work: self.id });
    }
}

fn placed_news(id: WorkId, work: &Work, expected: Duration, time_left: Duration) -> News {
    News::Placed {
        work: id,
        parts: work.parts.iter().map(part_news).collect(),
        gap_ms: work.gap_ms as u32,
        expected_in_ms: milliseconds(expected),
        expires_in_ms: milliseconds(time_left),
    }
}

fn part_news(part: &Part) -> PartNews {
    PartNews {
        upstream: part.upstream,
        read_us: (part.read_ms * 1_000.0) as u32,
        memory_tokens: u32::try_from(part.memory_tokens).unwrap_or(u32::MAX),
        context_tokens: u32::try_from(part.context_tokens).unwrap_or(u32::MAX),
    }
}

fn part_of(news: &PartNews) -> Part {
    Part {
        upstream: news.upstream,
        read_ms: f64::from(news.read_us) / 1_000.0,
        memory_tokens: u64::from(news.memory_tokens),
        context_tokens: u64::from(news.context_tokens),
    }
}

fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
