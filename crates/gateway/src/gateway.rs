//! The gateway, as a daemon uses it.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use http::{Request, Response};
use hyper::body::Incoming;
use mangofront_bodies::BodyMemory;
use mangofront_engines::{Failure, UpstreamKey, Upstreams};
use mangofront_http::Body;
use mangofront_peers::Peers;
use mangofront_quarantine::{Suspect, SuspectStatus};
use mangofront_settings::ids::{AvailabilityZone, Region};
use mangofront_telemetry::metrics::{Metrics, PeerState};
use mangofront_upstream::Connections;
use xxhash_rust::xxh3::xxh3_64;

use crate::call;
use crate::dialect::{Dialect, PromptPartId};
use crate::drain::{Drain, Stage};
use crate::fingerprint::Fingerprint;
use crate::fleet::Fleet;
use crate::held::HeldRequests;
use crate::idle_limits::IdleLimits;
use crate::options::GatewayOptions;
use crate::proxy::{self, ProxiedAttempts, ProxyClient, ProxySelection};
use crate::published::Published;
use crate::quarantine::{QuarantinedPart, QuarantinedRequest, Suspects, Trials};
use crate::rate_limits::{LimitStatus, RateLimits};
use crate::reservations::ReservationClient;
use crate::retry_budget::RetryBudget;
use crate::silence::Silence;
use crate::upstream_client::{UpstreamClient, UpstreamClientParts};
use crate::usual_times::UsualTimes;
use crate::zone_changes::EvacuatedZone;
use crate::{trace, zones};

/// Body limit while no configuration is in force, in bytes.
pub const UNCONFIGURED_BODY_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Period with which the daemons are counted that share limits.
const FLEET_PERIOD: Duration = Duration::from_millis(250);

/// Dependencies of a [`Gateway`].
pub struct GatewayParts {
    /// Settings of the gateway.
    pub options: GatewayOptions,
    /// Translates the formats of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// Connections to upstreams.
    pub connections: Connections,
    /// Connections to other daemons.
    pub peer_connections: Connections,
    /// Port on which all daemons accept proxied attempts.
    pub proxy_port: u16,
    /// Availability zone of this daemon.
    pub availability_zone: AvailabilityZone,
    /// The upstreams and their load.
    pub upstreams: Upstreams,
    /// The published values in force.
    pub published: Published,
    /// Membership of the other daemons.
    pub peers: Peers,
    /// The daemons that share limits.
    pub fleet: Fleet,
    /// Rate limits of the upstreams.
    pub rate_limits: RateLimits,
    /// Trials of what crashes upstreams.
    pub trials: Trials,
    /// Metrics of the daemon.
    pub metrics: Metrics,
    /// Memory for the bodies of callers, upstreams and other daemons.
    pub body_memory: BodyMemory,
}

impl std::fmt::Debug for GatewayParts {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("GatewayParts").finish_non_exhaustive()
    }
}

/// Serves routed requests; clones share their state.
#[derive(Debug, Clone)]
pub struct Gateway(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    parts: GatewayParts,
    retry_budget: RetryBudget,
    silence: Silence,
    held: HeldRequests,
    usual_times: UsualTimes,
    upstream_client: UpstreamClient,
    reservation_client: ReservationClient,
    proxied_attempts: Rc<ProxiedAttempts>,
    drain: Drain,
    in_progress: Cell<usize>,
    request_counter: Cell<u64>,
    idle_limits: RefCell<IdleLimits>,
    started: Instant,
}

impl Gateway {
    /// Creates a gateway.
    #[must_use]
    pub fn new(parts: GatewayParts) -> Self {
        let own = xxh3_64(parts.options.instance.as_bytes());
        let started = Instant::now();
        let retry_budget = RetryBudget::new(
            parts.options.retry_limit,
            own ^ parts.peers.incarnation(),
            started,
        );
        let upstream_client = upstream_client(&parts);
        let reservation_client = ReservationClient {
            upstreams: upstream_client.clone(),
            dialect: Rc::clone(&parts.dialect),
            hold: parts.options.reservation_hold,
        };
        Self(Rc::new(Shared {
            parts,
            retry_budget,
            silence: Silence::default(),
            held: HeldRequests::new(started),
            usual_times: UsualTimes::default(),
            upstream_client,
            reservation_client,
            proxied_attempts: Rc::default(),
            drain: Drain::default(),
            in_progress: Cell::new(0),
            request_counter: Cell::new(0),
            idle_limits: RefCell::new(IdleLimits::new(own)),
            started,
        }))
    }

    /// Probes the availability zones from which nothing has been received, forever.
    pub async fn watch_zones(self) {
        let parts = self.parts();
        zones::probe_quiet_zones(parts.upstreams.clone(), parts.connections.clone()).await;
    }

    /// Measures the time in which this daemon runs, forever.
    pub async fn keep_time(self) {
        self.silence().clone().keep_time().await;
    }

    /// Looks for lost paths to upstreams and probes them, forever.
    pub async fn watch_paths(self) {
        self.upstream_client().clone().watch_paths().await;
    }

    /// Forwards one attempt of the daemon at `peer` to an upstream.
    pub async fn handle_proxied(
        self,
        request: Request<Incoming>,
        peer: SocketAddr,
    ) -> Response<Body> {
        proxy::handle(self, request, peer).await
    }

    /// Answers one request of the caller at `peer`.
    pub async fn handle(self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        call::handle(self, request, peer).await
    }

    /// Whether the load balancer should send new callers here.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let published = &self.0.parts.published;
        self.stage() == Stage::Serving
            && published.table().is_some()
            && published.has_upstreams()
            && published.is_introduced()
            && published
                .lease()
                .is_younger_than(self.options().ready_lease)
    }

    /// Updates the gauges of current state, before metrics are scraped.
    pub fn record_state(&self) {
        let metrics = &self.0.parts.metrics;
        if let Some(age) = self.0.parts.published.lease().age() {
            metrics.lease_age(age);
        }
        metrics.departure_lateness(self.0.parts.published.longest_departure_delay());
        if let Some(era) = self.0.parts.published.era() {
            metrics.source_era(era);
        }
        let evacuated = self.0.parts.published.evacuated_zones();
        metrics.evacuated_zones(evacuated.len() as u64);
        let members = self.0.parts.peers.members();
        let live = members.iter().filter(|member| member.state.is_responsive());
        let live = live.count() as u64;
        let quarantined = self.0.parts.upstreams.quarantined();
        let is_part = |one: &&SuspectStatus| one.suspect.is_prompt_part();
        let parts = quarantined.iter().filter(is_part).count();
        metrics.quarantined((quarantined.len() - parts) as u64);
        metrics.quarantined_parts(parts as u64);
        metrics.suspected_parts(self.0.parts.upstreams.suspected_parts() as u64);
        metrics.peers(PeerState::Live, live);
        metrics.peers(PeerState::Suspected, members.len() as u64 - live);
    }

    /// Quarantined requests, under which upstreams crashed.
    #[must_use]
    pub fn quarantined_requests(&self) -> Vec<QuarantinedRequest> {
        let quarantined = self.0.parts.upstreams.quarantined();
        let request = |status: &SuspectStatus| match status.suspect {
            Suspect::Request(fingerprint) => Some(QuarantinedRequest::new(fingerprint, status)),
            Suspect::PromptPart { .. } => None,
        };
        quarantined.iter().filter_map(request).collect()
    }

    /// Quarantined parts of prompts, under which upstreams crashed.
    #[must_use]
    pub fn quarantined_parts(&self) -> Vec<QuarantinedPart> {
        let quarantined = self.0.parts.upstreams.quarantined();
        let table = self.0.parts.published.table();
        let services = || {
            let services = table.iter().flat_map(|table| table.services());
            services.map(|service| service.name.as_str())
        };
        let part = |status: &SuspectStatus| match status.suspect {
            Suspect::Request(_) => None,
            Suspect::PromptPart { service, part } => {
                Some(QuarantinedPart::new(service, part, status, services()))
            }
        };
        quarantined.iter().filter_map(part).collect()
    }

    /// Ends the quarantine of a request at all daemons; returns whether crashes were
    /// recorded under it.
    pub fn lift_quarantine(&self, fingerprint: Fingerprint) -> bool {
        self.lift(Suspect::Request(fingerprint.as_number()))
    }

    /// Ends the quarantine of a prompt part of a service at all daemons; returns whether crashes
    /// were recorded under it.
    pub fn lift_part_quarantine(&self, service: &str, part: PromptPartId) -> bool {
        self.lift(Suspects::part(service, part))
    }

    fn lift(&self, suspect: Suspect) -> bool {
        let was_recorded = self.0.parts.upstreams.clear_crashes(suspect);
        if was_recorded {
            trace::suspect_cleared(suspect, "", "lifted by the operator");
        }
        was_recorded
    }

    /// Sets the region of each availability zone.
    pub fn set_zone_regions(&self, regions: HashMap<AvailabilityZone, Region>) {
        self.0.parts.upstreams.set_zone_regions(regions);
    }

    /// The evacuated zones, for a status page.
    #[must_use]
    pub fn evacuated_zones(&self) -> Vec<EvacuatedZone> {
        self.0.parts.published.evacuated_zones()
    }

    /// The rate limits in force, for a status page.
    #[must_use]
    pub fn rate_limit_status(&self) -> Vec<LimitStatus> {
        self.0.parts.rate_limits.status()
    }

    /// Memory for the bodies of callers, upstreams and other daemons.
    #[must_use]
    pub fn body_memory(&self) -> &BodyMemory {
        &self.0.parts.body_memory
    }

    /// Ends all duties towards the other daemons, as this one is about to exit.
    pub fn hand_over(&self) {
        self.0.parts.rate_limits.stop_coordinating();
    }

    /// Starts the graceful shutdown, which ends after `time` at the latest.
    pub fn begin_drain(&self, time: Duration) {
        self.0.drain.begin(time);
    }

    /// Number of accepted requests that the shutdown refused, as nothing of them was sent in time.
    #[must_use]
    pub fn refused_unsent(&self) -> u64 {
        self.0.drain.refused_unsent()
    }

    /// Number of requests that the shutdown cut off.
    #[must_use]
    pub fn cut_off(&self) -> u64 {
        self.0.drain.cut_off()
    }

    /// Whether new requests are refused by now.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.stage() == Stage::Refusing
    }

    /// Number of requests whose answer is not complete.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.0.in_progress.get()
    }

    pub(crate) fn stage(&self) -> Stage {
        self.0.drain.stage()
    }

    /// Progress of the graceful shutdown.
    pub(crate) fn drain(&self) -> &Drain {
        &self.0.drain
    }

    pub(crate) fn options(&self) -> &GatewayOptions {
        &self.0.parts.options
    }

    pub(crate) fn parts(&self) -> &GatewayParts {
        &self.0.parts
    }

    pub(crate) fn retry_budget(&self) -> &RetryBudget {
        &self.0.retry_budget
    }

    /// The upstreams from which this daemon awaits something.
    pub(crate) fn silence(&self) -> &Silence {
        &self.0.silence
    }

    /// How long upstreams usually take.
    pub(crate) fn usual_times(&self) -> &UsualTimes {
        &self.0.usual_times
    }

    /// Time since this daemon started.
    pub(crate) fn uptime(&self) -> Duration {
        self.0.started.elapsed()
    }

    /// Calls to upstreams, on direct paths or through other daemons.
    pub(crate) fn upstream_client(&self) -> &UpstreamClient {
        &self.0.upstream_client
    }

    /// Attempts that are being forwarded for other daemons.
    pub(crate) fn proxied_attempts(&self) -> &Rc<ProxiedAttempts> {
        &self.0.proxied_attempts
    }

    /// Rate limits that upstreams name.
    pub(crate) fn rate_limits(&self) -> &RateLimits {
        &self.0.parts.rate_limits
    }

    /// Requests that are held for less loaded engines.
    pub(crate) fn held(&self) -> &HeldRequests {
        &self.0.held
    }

    pub(crate) fn reservation_client(&self) -> &ReservationClient {
        &self.0.reservation_client
    }

    /// Largest request body, in bytes.
    pub(crate) fn body_limit_bytes(&self) -> usize {
        let table = self.0.parts.published.table();
        table.map_or(UNCONFIGURED_BODY_LIMIT_BYTES, |table| {
            table.limits().body_limit_bytes
        })
    }

    /// A number that increases with each request.
    pub(crate) fn next_request_number(&self) -> u64 {
        let number = self.0.request_counter.get();
        self.0.request_counter.set(number.wrapping_add(1));
        number
    }

    /// Number of daemons that may be sending requests, this one included.
    pub(crate) fn daemon_count(&self) -> usize {
        self.0.parts.fleet.counted()
    }

    /// Counts the daemons that share limits and the connections to upstreams, forever.
    pub async fn watch_fleet(self) {
        loop {
            let parts = self.parts();
            let ended = parts.fleet.observe();
            parts.rate_limits.forget_daemons(&ended);
            let share = parts.fleet.share();
            self.0.retry_budget.set_fixed_share(share, Instant::now());
            parts.metrics.retry_share(share);
            parts.metrics.expected_daemons(parts.fleet.expected());
            let daemons = self.daemon_count();
            self.0
                .idle_limits
                .borrow_mut()
                .apply(daemons, &parts.published, &parts.connections);
            compio::time::sleep(FLEET_PERIOD).await;
        }
    }

    /// Ejects an upstream for a while, here and at the other daemons, after `request` failed
    /// there.
    pub(crate) fn eject(&self, upstream: UpstreamKey, failure: Failure, request: &str) {
        self.upstream_client()
            .record_failure(upstream, failure, true, request);
    }

    /// Counts a request as in progress until the guard is dropped.
    pub(crate) fn begin_request(&self) -> InProgress {
        self.0.in_progress.set(self.0.in_progress.get() + 1);
        InProgress(self.clone())
    }

    /// Longest time for an upstream to show progress on a request.
    pub(crate) fn stall_timeout(&self) -> Duration {
        self.options().stall_timeout
    }
}

fn upstream_client(parts: &GatewayParts) -> UpstreamClient {
    let instance = parts.options.instance.clone();
    let selection = ProxySelection::new(
        parts.peers.clone(),
        parts.availability_zone.clone(),
        parts.proxy_port,
        xxh3_64(instance.as_bytes()),
    );
    UpstreamClient::new(UpstreamClientParts {
        connections: parts.connections.clone(),
        upstreams: parts.upstreams.clone(),
        published: parts.published.clone(),
        proxies: ProxyClient::new(instance, parts.peer_connections.clone(), selection),
        dialect: Rc::clone(&parts.dialect),
        limits: parts.rate_limits.clone(),
        metrics: parts.metrics.clone(),
    })
}

/// Guard of a request in progress.
#[derive(Debug)]
pub(crate) struct InProgress(Gateway);

impl Drop for InProgress {
    fn drop(&mut self) {
        let count = &self.0.0.in_progress;
        count.set(count.get() - 1);
    }
}
