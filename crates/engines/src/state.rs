//! A daemon's view of the upstreams and of the other daemons.

use std::collections::{BTreeMap, HashMap};
use std::time::{Duration, Instant};

use mangofront_prefixes::PrefixTable;
use mangofront_quarantine::CrashTracker;
use mangofront_settings::ids::AvailabilityZone;
use mangofront_settings::process::ChoiceOptions;

use crate::arrivals::Arrivals;
use crate::choose::Demand;
use crate::decision::ServedShare;
use crate::eligibility::ZoneFacts;
use crate::incarnations::Incarnations;
use crate::large_prompts::{LargePrompts, SizeClass};
use crate::load_update::IncarnationId;
use crate::notices::Notices;
use crate::organisation_shares::RecentDemand;
use crate::upstream_state::UpstreamState;
use crate::work::{UpstreamKey, Work, WorkId};

/// Identifies a request by the daemon that placed it, this one or another, and its id there.
pub(crate) type WorkKey = (IncarnationId, WorkId);

/// Incarnation id that stands for this daemon's own requests.
pub(crate) const LOCAL: IncarnationId = 0;

/// Silence after which a daemon's requests are dropped: it broadcasts them every second, and one or
/// two datagrams may be lost.
const DAEMON_TIMEOUT: Duration = Duration::from_millis(3_500);

/// Silence after which a zone counts as unreachable. It is probed before that, see
/// [`crate::Upstreams::probe_targets`], so this allows for about one connection attempt more.
const ZONE_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Age up to which a request may be missing from a list that was in transit.
const LIST_TRANSIT_LIMIT: Duration = Duration::from_millis(300);

/// Mutable state behind [`crate::Upstreams`].
#[derive(Debug, Default)]
pub(crate) struct State {
    /// Sorted by key, which is the order that all daemons share.
    pub(crate) upstreams: Vec<UpstreamState>,
    /// Sorted, so that sums do not depend on the random order of a hash map.
    pub(crate) work: BTreeMap<WorkKey, Work>,
    pub(crate) next_work: WorkId,
    /// When this daemon last placed a request.
    pub(crate) placed_at: Option<Instant>,
    /// When the last update of each other daemon arrived.
    pub(crate) last_received: HashMap<IncarnationId, Instant>,
    /// When each other zone last proved reachable.
    pub(crate) zone_contacts: HashMap<AvailabilityZone, Instant>,
    /// The current incarnation of each upstream.
    pub(crate) incarnations: Incarnations,
    /// Outcomes of the largest prompts.
    pub(crate) large_prompts: LargePrompts,
    /// What crashes upstreams.
    pub(crate) crashes: CrashTracker,
    /// What upstreams say of themselves.
    pub(crate) notices: Notices,
    /// Upstreams that are cold, each until the given time.
    pub(crate) cold_until: HashMap<UpstreamKey, Instant>,
    /// Beginnings of prompts that engines hold, if any engine retains prompts.
    pub(crate) prefixes: Option<PrefixTable>,
    /// What is known of availability zones.
    pub(crate) zones: ZoneFacts,
    /// Short prompts placed by other daemons.
    pub(crate) remote_short_arrivals: Arrivals,
    /// Time until a placement of another daemon is known here.
    pub(crate) update_delay: Duration,
    /// When organisations last asked for a service.
    pub(crate) recent_demand: RecentDemand,
    /// Shortest gap that any request so far allowed.
    pub(crate) shortest_gap: Option<Duration>,
}

impl State {
    /// Adds a request; one that is reported twice is added once.
    pub(crate) fn add(&mut self, key: WorkKey, work: Work, now: Instant) {
        if self.work.contains_key(&key) {
            return;
        }
        for (position, share) in work.shares.iter().enumerate() {
            let index = self
                .upstreams
                .binary_search_by_key(&share.upstream, |entry| entry.key);
            let Ok(index) = index else {
                continue;
            };
            let entry = &mut self.upstreams[index];
            entry.enqueue_prefill(share.prefill_ms, now);
            if position == 0 {
                let service = &entry.registration.service;
                self.recent_demand
                    .record(service, work.caller.organisation, now);
            }
            if let Some(prefixes) = &mut self.prefixes {
                prefixes.record_demand(share.upstream, share.memory_tokens);
            }
        }
        self.work.insert(key, work);
    }

    pub(crate) fn record_zone_contact(&mut self, zone: &str, own_zone: &str, now: Instant) {
        if zone == own_zone {
            return;
        }
        match self.zone_contacts.get_mut(zone) {
            Some(at) => *at = now,
            None => {
                self.zone_contacts.insert(zone.to_owned(), now);
            }
        }
    }

    /// Whether a zone seems to be partitioned: nothing arrived from its daemons or upstreams
    /// recently, and a connection attempt failed too.
    pub(crate) fn is_zone_unreachable(&self, zone: &str, now: Instant) -> bool {
        let last_contact = self.zone_contacts.get(zone);
        last_contact.is_some_and(|at| now.saturating_duration_since(*at) > ZONE_TIMEOUT)
    }

    /// Time since the last update of the daemon that was silent for longest.
    pub(crate) fn oldest_update(&self, now: Instant) -> Duration {
        let oldest = self.last_received.values().min();
        oldest.map_or(Duration::ZERO, |at| now.saturating_duration_since(*at))
    }

    /// Size class of a prompt, if it is one of the largest.
    pub(crate) fn size(&self, service: &str, demand: &Demand) -> Option<SizeClass> {
        let mut of_service = self.upstreams.iter();
        let entry = of_service.find(|entry| entry.registration.service == service)?;
        let prefill_ms = entry.profile.as_ref()?.prefill_ms(demand.prompt_tokens);
        SizeClass::of(service, prefill_ms, demand.target)
    }

    /// Served share of the prompt's size class if this prompt is not served.
    pub(crate) fn served_share(
        &self,
        demand: &Demand,
        size: Option<SizeClass>,
        options: &ChoiceOptions,
    ) -> ServedShare {
        let Some(size) = size else {
            return ServedShare::NotCounted;
        };
        let is_met = |percent| {
            let large_prompts = &self.large_prompts;
            large_prompts.meets_served_share_without(demand.request, size, percent)
        };
        if is_met(options.served_percent) {
            ServedShare::TargetMet
        } else if is_met(options.promised_percent) {
            ServedShare::PromiseMet
        } else {
            ServedShare::BelowPromise
        }
    }

    /// Drops requests that have certainly ended, and those of daemons that timed out: they are
    /// dead, and their requests with them, or partitioned, and then their state is unknown.
    pub(crate) fn remove_expired(&mut self, now: Instant) {
        let is_timed_out = |at: &Instant| now.saturating_duration_since(*at) > DAEMON_TIMEOUT;
        let timed_out: Vec<IncarnationId> = self
            .last_received
            .iter()
            .filter(|(_, at)| is_timed_out(at))
            .map(|(origin, _)| *origin)
            .collect();
        self.last_received.retain(|_, at| !is_timed_out(at));
        self.work
            .retain(|key, work| now < work.expires_at && !timed_out.contains(&key.0));
    }

    /// Reconciles the requests of another daemon with its own list; returns whether the list has
    /// requests that are unknown here.
    pub(crate) fn reconcile(
        &mut self,
        origin: IncarnationId,
        prefilling: &[WorkId],
        decoding: &[WorkId],
        now: Instant,
    ) -> bool {
        let of_origin = self
            .work
            .range((origin, WorkId::MIN)..=(origin, WorkId::MAX));
        let ended: Vec<WorkKey> = of_origin
            .filter(|(key, work)| {
                let is_new = now.saturating_duration_since(work.known_since) < LIST_TRANSIT_LIMIT;
                let is_running = prefilling.contains(&key.1) || decoding.contains(&key.1);
                !is_new && !is_running
            })
            .map(|(key, _)| *key)
            .collect();
        for key in ended {
            self.work.remove(&key);
        }
        for work in decoding {
            self.mark_first_event(&(origin, *work));
        }
        let mut listed = prefilling.iter().chain(decoding);
        listed.any(|work| !self.work.contains_key(&(origin, *work)))
    }

    pub(crate) fn mark_first_event(&mut self, key: &WorkKey) {
        if let Some(work) = self.work.get_mut(key) {
            work.is_prefilling = false;
        }
    }

    /// Whether an upstream of a service is silent.
    pub(crate) fn has_silent(&self, service: &str, now: Instant) -> bool {
        let mut upstreams = self.upstreams.iter();
        upstreams.any(|entry| entry.registration.service == service && entry.health.is_silent(now))
    }

    /// Whether a service has upstreams that may have left.
    pub(crate) fn has_unconfirmed(&self, service: &str) -> bool {
        self.of_service(service).any(|entry| entry.is_unconfirmed)
    }

    /// Whether most upstreams of a service certainly have not left. If they have not, their
    /// registrations lapsed in common.
    pub(crate) fn has_most_confirmed(&self, service: &str) -> bool {
        let unconfirmed = self
            .of_service(service)
            .filter(|entry| entry.is_unconfirmed);
        unconfirmed.count() * 2 <= self.of_service(service).count()
    }

    fn of_service(&self, service: &str) -> impl Iterator<Item = &UpstreamState> {
        let upstreams = self.upstreams.iter();
        upstreams.filter(move |entry| entry.registration.service == service)
    }

    pub(crate) fn upstream_mut(&mut self, key: UpstreamKey) -> Option<&mut UpstreamState> {
        let index = self.upstreams.binary_search_by_key(&key, |entry| entry.key);
        self.upstreams.get_mut(index.ok()?)
    }
}
