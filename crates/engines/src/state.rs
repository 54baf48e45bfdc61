//! What a daemon believes of the upstreams and of the other daemons.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use mangofront_settings::ids::AvailabilityZone;
use mangofront_settings::process::ChoiceOptions;

use crate::arrivals::Arrivals;
use crate::choose::Demand;
use crate::crashes::Crashes;
use crate::lives::Lives;
use crate::news::IncarnationId;
use crate::shares::{Shares, SizeClass};
use crate::upstream::Known;
use crate::verdict::ServedWithout;
use crate::work::{UpstreamKey, Work, WorkId};

/// Who placed a request: this daemon or another.
pub(crate) type WorkKey = (IncarnationId, WorkId);

/// IncarnationId of this daemon's own work.
pub(crate) const OWN: IncarnationId = 0;

/// Silence after which a daemon's requests are forgotten: it tells of them each
/// second, and a datagram or two may be lost.
const SILENT_AFTER: Duration = Duration::from_millis(3_500);

/// Silence after which a zone is left out. A quiet zone is tried before that, see
/// [`crate::Upstreams::probe_targets`], so this is about one connection attempt longer.
const ZONE_SILENT_AFTER: Duration = Duration::from_millis(1_100);

/// Age up to which a request may be missing in a list that was on its way.
const LATEST_NEWS: Duration = Duration::from_millis(300);

#[derive(Debug, Default)]
pub(crate) struct State {
    /// Sorted by key, which is the order that all daemons share.
    pub(crate) known: Vec<Known>,
    /// Sorted, so that what is added up does not depend on a random order.
    pub(crate) works: BTreeMap<WorkKey, Work>,
    pub(crate) next_work: WorkId,
    /// When this daemon last placed a request.
    pub(crate) placed_at: Option<Instant>,
    /// When each other daemon was last heard.
    pub(crate) heard: HashMap<IncarnationId, Instant>,
    /// When each other zone last showed that it can be reached.
    pub(crate) zones: HashMap<AvailabilityZone, Instant>,
    /// The life that each upstream is in.
    pub(crate) lives: Lives,
    /// What became of the largest prompts.
    pub(crate) shares: Shares,
    /// Requests under which upstreams crashed.
    pub(crate) crashes: Crashes,
    /// Short prompts that other daemons place.
    pub(crate) shorts_of_others: Arrivals,
    /// Time until a placement of another daemon is heard of.
    pub(crate) news_delay: Duration,
    /// Shortest pause that any request so far allowed.
    pub(crate) shortest_gap: Option<Duration>,
}

impl State {
    /// Adds a request; one that is told of twice is added once.
    pub(crate) fn add(&mut self, key: WorkKey, work: Work, now: Instant) {
        if self.works.contains_key(&key) {
            return;
        }
        for part in &work.parts {
            if let Some(known) = self.known_mut(part.upstream) {
                known.add_reading(part.read_ms, now);
            }
        }
        self.works.insert(key, work);
    }

    pub(crate) fn hear_zone(&mut self, zone: &str, own_zone: &str, now: Instant) {
        if zone == own_zone {
            return;
        }
        match self.zones.get_mut(zone) {
            Some(at) => *at = now,
            None => {
                self.zones.insert(zone.to_owned(), now);
            }
        }
    }

    /// Whether a zone seems to be cut off: nothing came from its daemons or its
    /// upstreams lately, and trying it by a connection failed too.
    pub(crate) fn is_zone_silent(&self, zone: &str, now: Instant) -> bool {
        let heard = self.zones.get(zone);
        heard.is_some_and(|at| now.saturating_duration_since(*at) > ZONE_SILENT_AFTER)
    }

    /// Time since the daemon that was heard least lately.
    pub(crate) fn oldest_update(&self, now: Instant) -> Duration {
        let oldest = self.heard.values().min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    /// SizeClass of a prompt, if it is among the largest.
    pub(crate) fn size(&self, service: &str, demand: &Demand) -> Option<SizeClass> {
        let mut of_service = self.known.iter();
        let known = of_service.find(|known| known.info.service == service)?;
        let read_ms = known.figures.as_ref()?.prefill_ms(demand.prompt_tokens);
        SizeClass::of(service, read_ms, demand.target)
    }

    /// How many prompts of its size are served without a prompt.
    pub(crate) fn served_without(
        &self,
        demand: &Demand,
        size: Option<SizeClass>,
        options: &ChoiceOptions,
    ) -> ServedWithout {
        let Some(size) = size else {
            return ServedWithout::NotCounted;
        };
        let are_served = |percent| {
            let shares = &self.shares;
            shares.are_served_without(demand.request, size, percent)
        };
        if are_served(options.served_percent) {
            ServedWithout::Enough
        } else if are_served(options.promised_percent) {
            ServedWithout::AsPromised
        } else {
            ServedWithout::TooFew
        }
    }

    /// Drops requests that have ended for certain, and those of daemons that
    /// are not heard any more: they are dead, and their requests with them, or
    /// cut off, and then nothing is known.
    pub(crate) fn forget_old(&mut self, now: Instant) {
        let is_silent = |at: &Instant| now.saturating_duration_since(*at) > SILENT_AFTER;
        let silent: Vec<IncarnationId> = self
            .heard
            .iter()
            .filter(|(_, at)| is_silent(at))
            .map(|(origin, _)| *origin)
            .collect();
        self.heard.retain(|_, at| !is_silent(at));
        self.works
            .retain(|key, work| now < work.expires_at && !silent.contains(&key.0));
    }

    /// Sets the requests of another daemon right by its own list; whether it has
    /// some that are not known here.
    pub(crate) fn set_running(
        &mut self,
        origin: IncarnationId,
        reading: &[WorkId],
        writing: &[WorkId],
        now: Instant,
    ) -> bool {
        let of_origin = self
            .works
            .range((origin, WorkId::MIN)..=(origin, WorkId::MAX));
        let ended: Vec<WorkKey> = of_origin
            .filter(|(key, work)| {
                let is_new = now.saturating_duration_since(work.known_since) < LATEST_NEWS;
                let is_running = reading.contains(&key.1) || writing.contains(&key.1);
                !is_new && !is_running
            })
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.works.remove(&key);
        }
        for work in writing {
            self.mark_read(&(origin, *work));
        }
        let mut listed = reading.iter().chain(writing);
        listed.any(|work| !self.works.contains_key(&(origin, *work)))
    }

    pub(crate) fn mark_read(&mut self, key: &WorkKey) {
        if let Some(work) = self.works.get_mut(key) {
            work.is_reading = false;
        }
    }

    pub(crate) fn known_mut(&mut self, key: UpstreamKey) -> Option<&mut Known> {
        let place = self.known.binary_search_by_key(&key, |known| known.key);
        self.known.get_mut(place.ok()?)
    }
}
