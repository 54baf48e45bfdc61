//! Paths from this daemon to the upstreams.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_engines::{UpstreamKey, key_of};
use mangofront_paths::{KnownUpstream, PathFault, PathOptions, PathSummary, PathTable, Route};
use mangofront_routes::Upstream;

use crate::proxy::AttemptKind;
use crate::signal::Signal;
use crate::trace;

/// Time since a byte arrived from an upstream for which it shows that paths work.
pub(crate) const SIGN_OF_PATHS_LIFETIME: Duration = Duration::from_secs(1);

/// The paths of this daemon; clones share their state.
#[derive(Debug, Clone, Default)]
pub(crate) struct Paths(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    table: RefCell<PathTable>,
    /// Raised when a path begins to fail.
    failure: Signal,
}

impl Default for Shared {
    fn default() -> Self {
        Self {
            table: RefCell::new(PathTable::new(PathOptions::default())),
            failure: Signal::default(),
        }
    }
}

/// Counts an attempt as waiting for its upstream until dropped.
#[derive(Debug)]
pub(crate) struct PendingAttempt {
    paths: Paths,
    upstream: UpstreamKey,
}

impl Drop for PendingAttempt {
    fn drop(&mut self) {
        self.paths.0.table.borrow_mut().end_attempt(self.upstream);
    }
}

impl Paths {
    /// How the next attempt should reach an upstream.
    pub(crate) fn route(&self, upstream: UpstreamKey) -> Route {
        self.0.table.borrow().route(upstream)
    }

    /// How an attempt of some kind should reach an upstream.
    pub(crate) fn route_of(&self, upstream: UpstreamKey, kind: AttemptKind) -> Route {
        match kind {
            AttemptKind::Repeatable | AttemptKind::Order | AttemptKind::Probe => {
                self.route(upstream)
            }
            AttemptKind::AtMostOnce => {
                let table = self.0.table.borrow();
                table.route_unrepeatable(upstream, Instant::now())
            }
        }
    }

    /// Whether recent failures raise doubts about all paths.
    pub(crate) fn has_doubt(&self) -> bool {
        self.0.table.borrow().has_doubt(Instant::now())
    }

    /// Whether the paths to the service of an upstream fail in common.
    pub(crate) fn is_common(&self, upstream: UpstreamKey) -> bool {
        self.0.table.borrow().is_common(upstream)
    }

    /// Whether an upstream answered on a new direct connection within the last `time`.
    pub(crate) fn is_proven_within(&self, upstream: UpstreamKey, time: Duration) -> bool {
        let proof = self.0.table.borrow().last_proof(upstream);
        proof.is_some_and(|at| at.elapsed() < time)
    }

    /// Records that a direct connection was lost while an attempt waited on it.
    pub(crate) fn lose_connection(&self, upstream: UpstreamKey) {
        let mut table = self.0.table.borrow_mut();
        table.lose_connection(upstream, Instant::now());
    }

    /// Waits until a path begins to fail, for at most `time`.
    pub(crate) async fn wait_for_failure(&self, time: Duration) {
        self.0.failure.wait(time).await;
    }

    /// Counts an attempt on the direct path.
    pub(crate) fn begin_attempt(&self, upstream: UpstreamKey) -> PendingAttempt {
        let mut table = self.0.table.borrow_mut();
        table.begin_attempt(upstream, Instant::now());
        PendingAttempt {
            paths: self.clone(),
            upstream,
        }
    }

    /// Records bytes that arrived on the direct path.
    pub(crate) fn receive(&self, upstream: UpstreamKey) {
        self.0.table.borrow_mut().receive(upstream, Instant::now());
    }

    /// Records an answer on a new direct connection.
    pub(crate) fn prove(&self, upstream: &Upstream) {
        let ended = self
            .0
            .table
            .borrow_mut()
            .prove(key_of(upstream), Instant::now());
        if let Some(outage) = ended {
            trace::path_regained(upstream, outage);
        }
    }

    /// Records that the daemon `witness` reached an upstream that this one did not reach
    /// `since`.
    pub(crate) fn lose(
        &self,
        upstream: &Upstream,
        fault: PathFault,
        since: Instant,
        witness: &str,
    ) {
        let now = Instant::now();
        let mut table = self.0.table.borrow_mut();
        let proven_at = table.last_proof(key_of(upstream));
        let is_new = table.lose(key_of(upstream), fault, since, now);
        let summary = table.summary(now);
        drop(table);
        if is_new {
            let failure = trace::PathFailure {
                fault,
                failed_for: since.elapsed(),
                proof_age: proven_at.map(|at| now.saturating_duration_since(at)),
                summary,
            };
            trace::path_lost(upstream, &failure, witness);
            self.0.failure.raise();
        }
    }

    /// Records that an upstream was not reached `since`, and that no other daemon could tell
    /// whether it works.
    pub(crate) fn suspect(&self, upstream: &Upstream, fault: PathFault, since: Instant) {
        let now = Instant::now();
        let mut table = self.0.table.borrow_mut();
        let proven_at = table.last_proof(key_of(upstream));
        let is_new = table.suspect(key_of(upstream), fault, since, now);
        let summary = table.summary(now);
        drop(table);
        if is_new {
            let failure = trace::PathFailure {
                fault,
                failed_for: since.elapsed(),
                proof_age: proven_at.map(|at| now.saturating_duration_since(at)),
                summary,
            };
            trace::path_suspected(upstream, &failure);
            self.0.failure.raise();
        }
    }

    /// Records that a proxy reached an upstream whose direct path is suspected.
    pub(crate) fn confirm_suspicion(&self, upstream: &Upstream, witness: &str) {
        let now = Instant::now();
        let outage = self.0.table.borrow().suspicion(key_of(upstream));
        if let Some((fault, since)) = outage {
            self.lose(upstream, fault, since.min(now), witness);
        }
    }

    /// Records that an upstream does not answer other daemons either.
    pub(crate) fn excuse(&self, upstream: UpstreamKey) {
        self.0.table.borrow_mut().excuse(upstream);
    }

    /// Records a failed probe.
    pub(crate) fn fail_probe(&self, upstream: UpstreamKey, fault: PathFault) {
        let now = Instant::now();
        self.0.table.borrow_mut().fail_probe(upstream, fault, now);
    }

    /// Records a probe that shows nothing about the path.
    pub(crate) fn postpone_probe(&self, upstream: UpstreamKey) {
        let mut table = self.0.table.borrow_mut();
        table.postpone_probe(upstream, Instant::now());
    }

    /// Whether a byte arrived lately from another upstream, of the same service if
    /// `is_same_service`.
    pub(crate) fn hears_another(&self, except: UpstreamKey, is_same_service: bool) -> bool {
        let table = self.0.table.borrow();
        let (time, now) = (SIGN_OF_PATHS_LIFETIME, Instant::now());
        table.has_received_from_another(except, is_same_service, time, now)
    }

    /// Has silence examined again soon, as the last examination explained nothing.
    pub(crate) fn examine_again(&self) {
        self.0.table.borrow_mut().examine_again();
    }

    /// Upstreams that should be examined, as nothing arrives from any.
    pub(crate) fn silent(&self) -> Vec<UpstreamKey> {
        self.0.table.borrow_mut().silent(Instant::now())
    }

    /// Upstreams to probe now.
    pub(crate) fn due_probes(&self, known: &[KnownUpstream]) -> Vec<UpstreamKey> {
        self.0.table.borrow_mut().due_probes(known, Instant::now())
    }

    /// Number of paths by state.
    pub(crate) fn summary(&self) -> PathSummary {
        self.0.table.borrow().summary(Instant::now())
    }

    /// Whether a byte arrived from any upstream within the last `time`.
    pub(crate) fn has_received_within(&self, time: Duration) -> bool {
        let table = self.0.table.borrow();
        table.has_received_within(time, Instant::now())
    }

    /// Whether a byte arrived from an upstream after `since`.
    pub(crate) fn has_received_since(&self, upstream: UpstreamKey, since: Instant) -> bool {
        self.0.table.borrow().has_received_since(upstream, since)
    }

    /// Whether any path is not in use.
    pub(crate) fn has_outage(&self) -> bool {
        self.0.table.borrow().has_outage()
    }

    /// Drops the paths to upstreams that are not `known`.
    pub(crate) fn retain(&self, known: &[KnownUpstream]) {
        self.0.table.borrow_mut().retain(known);
    }

    /// Whether the direct path to an upstream is lost, and nothing has arrived on it for some time.
    pub(crate) fn is_silent(&self, upstream: UpstreamKey) -> bool {
        self.0.table.borrow().is_silent(upstream, Instant::now())
    }
}
