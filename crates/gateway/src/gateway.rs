//! The gateway, as a daemon uses it.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use mangofront_engines::{Failure, UpstreamKey, Upstreams};
use mangofront_http::Body;
use mangofront_peers::Peers;
use mangofront_telemetry::metrics::{Metrics, PathState, PeerState};
use mangofront_upstream::Connections;

use crate::call;
use crate::dialect::Dialect;
use crate::drain::{Drain, Stage};
use crate::fingerprint::Fingerprint;
use crate::options::GatewayOptions;
use crate::paths::Paths;
use crate::published::Published;
use crate::quarantine::QuarantinedRequest;
use crate::reservations::ReservationClient;
use crate::retry_budget::RetryBudget;
use crate::{trace, zones};

/// Dependencies of a [`Gateway`].
pub struct GatewayParts {
    /// Settings of the gateway.
    pub options: GatewayOptions,
    /// Translates the formats of callers and upstreams.
    pub dialect: Rc<dyn Dialect>,
    /// Connections to upstreams.
    pub connections: Connections,
    /// The upstreams and their load.
    pub upstreams: Upstreams,
    /// The published values in force.
    pub published: Published,
    /// Membership of the other daemons.
    pub peers: Peers,
    /// Metrics of the daemon.
    pub metrics: Metrics,
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
    reservation_client: ReservationClient,
    paths: Paths,
    drain: Drain,
    in_progress: Cell<usize>,
    request_counter: Cell<u64>,
    max_daemons_seen: Cell<usize>,
}

impl Gateway {
    /// Creates a gateway.
    #[must_use]
    pub fn new(parts: GatewayParts) -> Self {
        let retry_budget = RetryBudget::new(parts.options.retry_limit);
        let reservation_client = ReservationClient {
            connections: parts.connections.clone(),
            dialect: Rc::clone(&parts.dialect),
            hold: parts.options.reservation_hold,
        };
        Self(Rc::new(Shared {
            parts,
            retry_budget,
            reservation_client,
            paths: Paths::default(),
            drain: Drain::default(),
            in_progress: Cell::new(0),
            request_counter: Cell::new(0),
            max_daemons_seen: Cell::new(1),
        }))
    }

    /// Probes the availability zones from which nothing has been received, forever.
    pub async fn watch_zones(self) {
        let parts = self.parts();
        zones::probe_quiet_zones(parts.upstreams.clone(), parts.connections.clone()).await;
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
        let members = self.0.parts.peers.members();
        let live = members.iter().filter(|member| member.state.is_responsive());
        let live = live.count() as u64;
        let paths = self.0.paths.summary(&self.0.parts.upstreams.keys());
        metrics.upstream_paths(PathState::Lost, paths.lost as u64);
        metrics.upstream_paths(PathState::Suspected, paths.suspected as u64);
        metrics.quarantined(self.0.parts.upstreams.quarantined().len() as u64);
        metrics.peers(PeerState::Live, live);
        metrics.peers(PeerState::Suspected, members.len() as u64 - live);
    }

    /// Quarantined requests: upstreams crashed while running them.
    #[must_use]
    pub fn quarantined(&self) -> Vec<QuarantinedRequest> {
        let quarantined = self.0.parts.upstreams.quarantined();
        quarantined.into_iter().map(Into::into).collect()
    }

    /// Ends the quarantine of a request at all daemons; returns whether crashes were
    /// recorded under it.
    pub fn lift_quarantine(&self, fingerprint: Fingerprint) -> bool {
        let was_recorded = self
            .0
            .parts
            .upstreams
            .clear_crashes(fingerprint.as_number());
        if was_recorded {
            trace::request_cleared(fingerprint, "lifted by the operator");
        }
        was_recorded
    }

    /// Starts the graceful shutdown.
    pub fn begin_drain(&self) {
        self.0.drain.begin();
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

    pub(crate) fn options(&self) -> &GatewayOptions {
        &self.0.parts.options
    }

    pub(crate) fn parts(&self) -> &GatewayParts {
        &self.0.parts
    }

    pub(crate) fn retry_budget(&self) -> &RetryBudget {
        &self.0.retry_budget
    }

    /// Paths from this daemon to the upstreams.
    pub(crate) fn paths(&self) -> &Paths {
        &self.0.paths
    }

    pub(crate) fn reservation_client(&self) -> &ReservationClient {
        &self.0.reservation_client
    }

    /// A number that increases with each request.
    pub(crate) fn next_request_number(&self) -> u64 {
        let number = self.0.request_counter.get();
        self.0.request_counter.set(number.wrapping_add(1));
        number
    }

    /// Number of daemons that may be sending requests, this one included.
    ///
    /// It never decreases: a daemon that is no longer a member may still run behind a
    /// network partition.
    pub(crate) fn daemon_count(&self) -> usize {
        let members = self.0.parts.peers.members().len();
        let count = self.0.max_daemons_seen.get().max(members);
        self.0.max_daemons_seen.set(count);
        count
    }

    /// Ejects an upstream for a while after `request` failed there.
    pub(crate) fn eject(&self, upstream: UpstreamKey, failure: Failure, request: &str) {
        let upstreams = &self.0.parts.upstreams;
        if let Some(time) = upstreams.record_failure(upstream, failure) {
            let id = upstreams.id_of(upstream).unwrap_or_default();
            trace::upstream_ejected(&id, failure, time, request);
        }
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

/// Guard of a request in progress.
#[derive(Debug)]
pub(crate) struct InProgress(Gateway);

impl Drop for InProgress {
    fn drop(&mut self) {
        let count = &self.0.0.in_progress;
        count.set(count.get() - 1);
    }
}
