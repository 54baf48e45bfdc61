//! The handle that a daemon holds.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use mangofront_engines::{Failure, UpstreamKey, Upstreams};
use mangofront_http::Body;
use mangofront_peers::Peers;
use mangofront_telemetry::metrics::{Metrics, PeerState};
use mangofront_upstream::Connections;

use crate::call;
use crate::dialect::Dialect;
use crate::drain::{Drain, Stage};
use crate::fingerprint::Fingerprint;
use crate::options::GatewayOptions;
use crate::published::Published;
use crate::quarantine::QuarantinedRequest;
use crate::reservations::Orders;
use crate::retry_budget::RetryBudget;
use crate::{trace, zones};

/// The neighbours that a [`Gateway`] asks.
pub struct GatewayParts {
    /// Settings.
    pub options: GatewayOptions,
    /// What callers and upstreams speak.
    pub dialect: Rc<dyn Dialect>,
    /// Connections to upstreams.
    pub connections: Connections,
    /// The upstreams and what they are doing.
    pub upstreams: Upstreams,
    /// What is in force.
    pub published: Published,
    /// The other daemons.
    pub peers: Peers,
    /// Counters and histograms.
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
    budget: RetryBudget,
    orders: Orders,
    drain: Drain,
    in_progress: Cell<usize>,
    turn: Cell<u64>,
    most_daemons: Cell<usize>,
}

impl Gateway {
    /// Gateway over its neighbours.
    #[must_use]
    pub fn new(parts: GatewayParts) -> Self {
        let budget = RetryBudget::new(parts.options.retry_limit);
        let orders = Orders {
            connections: parts.connections.clone(),
            dialect: Rc::clone(&parts.dialect),
            hold: parts.options.reservation_hold,
        };
        Self(Rc::new(Shared {
            parts,
            budget,
            orders,
            drain: Drain::default(),
            in_progress: Cell::new(0),
            turn: Cell::new(0),
            most_daemons: Cell::new(1),
        }))
    }

    /// Watches over the reachability of the other zones, for ever.
    pub async fn watch_zones(self) {
        let parts = self.parts();
        zones::watch(parts.upstreams.clone(), parts.connections.clone()).await;
    }

    /// Answers one request of the caller at `peer`.
    pub async fn handle(self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        call::answer(self, request, peer).await
    }

    /// Whether new callers should come here.
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

    /// Records what changes by itself in the metrics, for a scrape.
    pub fn record_state(&self) {
        let metrics = &self.0.parts.metrics;
        if let Some(age) = self.0.parts.published.lease().age() {
            metrics.lease_age(age);
        }
        metrics.departure_late(self.0.parts.published.longest_departure_delay());
        let members = self.0.parts.peers.members();
        let live = members.iter().filter(|member| member.state.answers());
        let live = live.count() as u64;
        metrics.quarantined(self.0.parts.upstreams.quarantined().len() as u64);
        metrics.peers(PeerState::Live, live);
        metrics.peers(PeerState::Suspected, members.len() as u64 - live);
    }

    /// Requests that are kept from all upstreams, as these crash under them.
    #[must_use]
    pub fn quarantined(&self) -> Vec<QuarantinedRequest> {
        let quarantined = self.0.parts.upstreams.quarantined();
        quarantined.into_iter().map(Into::into).collect()
    }

    /// Ends the quarantine of a request at all daemons; whether there was one.
    pub fn lift_quarantine(&self, fingerprint: Fingerprint) -> bool {
        let was_kept = self.0.parts.upstreams.clear(fingerprint.name());
        if was_kept {
            trace::cleared(fingerprint, "lifted by the operator");
        }
        was_kept
    }

    /// Begins the planned stop.
    pub fn begin_drain(&self) {
        self.0.drain.begin();
    }

    /// Whether what comes in is refused by now.
    #[must_use]
    pub fn is_refusing(&self) -> bool {
        self.stage() == Stage::Refusing
    }

    /// Requests that are not yet answered whole.
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

    pub(crate) fn budget(&self) -> &RetryBudget {
        &self.0.budget
    }

    pub(crate) fn orders(&self) -> &Orders {
        &self.0.orders
    }

    /// A number that differs from request to request.
    pub(crate) fn next_turn(&self) -> u64 {
        let turn = self.0.turn.get();
        self.0.turn.set(turn.wrapping_add(1));
        turn
    }

    /// Daemons that may be sending, this one included.
    ///
    /// Those that were there once may be so still, behind a partition.
    pub(crate) fn daemons(&self) -> usize {
        let members = self.0.parts.peers.members().len();
        let most = self.0.most_daemons.get().max(members);
        self.0.most_daemons.set(most);
        most
    }

    /// Leaves an upstream out for a while after a failure of a request there.
    pub(crate) fn leave_out(&self, upstream: UpstreamKey, failure: Failure, request: &str) {
        let upstreams = &self.0.parts.upstreams;
        if let Some(time) = upstreams.failed(upstream, failure) {
            let id = upstreams.id_of(upstream).unwrap_or_default();
            trace::upstream_left_out(&id, failure, time, request);
        }
    }

    /// Counts a request as in progress while the guard lives.
    pub(crate) fn begin(&self) -> InProgress {
        self.0.in_progress.set(self.0.in_progress.get() + 1);
        InProgress(self.clone())
    }

    /// Longest time for an upstream to show that it works on a request.
    pub(crate) fn stall_timeout(&self) -> Duration {
        self.options().stall_timeout
    }
}

/// One request in progress.
#[derive(Debug)]
pub(crate) struct InProgress(Gateway);

impl Drop for InProgress {
    fn drop(&mut self) {
        let count = &self.0.0.in_progress;
        count.set(count.get() - 1);
    }
}
