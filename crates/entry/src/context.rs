//! What every request of a daemon shares.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::{Body as _, Incoming};
use mangofront_admission::Admission;
use mangofront_configuration::{AcceptedConfiguration, Platform};
use mangofront_http::Body;
use mangofront_once::Once;
use mangofront_placement::Placement;
use mangofront_settings::ids::AvailabilityZone;
use mangofront_telemetry::metrics::Metrics;
use mangofront_upstream::Connections;

use crate::error::EntryError;
use crate::router;
use crate::service::ServiceTurns;

/// Limits of what a caller may send and how long its connection may stall.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits {
    /// Most requests in progress at once; one more is refused at once.
    pub in_progress_limit_requests: usize,
    /// Largest body of a request, in bytes.
    pub body_limit_bytes: usize,
    /// Memory for the bodies of all requests in progress, in bytes.
    pub bodies_limit_bytes: usize,
    /// Longest time for a request's body to arrive.
    pub body_timeout: Duration,
    /// Longest time for which a reader of a stream may take no token.
    pub stall_timeout: Duration,
    /// Tokens held for a reader that is slower than its engine.
    pub stream_buffer_frames: usize,
    /// Longest answer of a plain service, in bytes.
    pub service_answer_limit_bytes: usize,
    /// Time limit of a service call that names no class.
    pub service_timeout: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            in_progress_limit_requests: 1024,
            body_limit_bytes: 16 * 1024 * 1024,
            bodies_limit_bytes: 256 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(30),
            stream_buffer_frames: 16,
            service_answer_limit_bytes: 4 * 1024 * 1024,
            service_timeout: Duration::from_secs(30),
        }
    }
}

/// The neighbours that an [`Entry`] asks.
#[derive(Debug, Clone)]
pub struct EntryParts {
    /// Availability zone of this daemon.
    pub availability_zone: AvailabilityZone,
    /// Configuration and instances in force.
    pub platform: Platform,
    /// When a request may start.
    pub admission: Admission,
    /// Where a request goes.
    pub placement: Placement,
    /// Whether an order may run.
    pub once: Once,
    /// Connections to upstreams.
    pub connections: Connections,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Limits towards callers.
    pub limits: EntryLimits,
}

/// The caller-facing side of a daemon. Clones share their state.
#[derive(Debug, Clone)]
pub struct Entry(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    parts: EntryParts,
    in_progress: Cell<usize>,
    /// Memory taken by bodies, in bytes.
    bodies_bytes: Cell<usize>,
    /// Set once the daemon stops: the time after which a caller may come back.
    stopping: Cell<Option<Duration>>,
    service_turns: ServiceTurns,
}

impl Entry {
    /// Entry over its neighbours.
    #[must_use]
    pub fn new(parts: EntryParts) -> Self {
        Self(Rc::new(Shared {
            parts,
            in_progress: Cell::new(0),
            bodies_bytes: Cell::new(0),
            stopping: Cell::new(None),
            service_turns: ServiceTurns::default(),
        }))
    }

    /// Answers one request of the caller at `peer`.
    pub async fn handle(self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        router::route(&self, request, peer).await
    }

    /// Refuses all new work from now on; callers may come back after `retry_after`.
    pub fn stop(&self, retry_after: Duration) {
        self.0.stopping.set(Some(retry_after));
        self.0.parts.admission.close(retry_after);
    }

    /// Requests admitted and not yet answered whole.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.0.in_progress.get()
    }

    /// Whether new work is refused.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping().is_some()
    }

    /// Time after which a caller may come back, when the daemon stops.
    pub(crate) fn stopping(&self) -> Option<Duration> {
        self.0.stopping.get()
    }

    /// The configuration in force.
    ///
    /// # Errors
    /// [`EntryError::NoConfiguration`] while none is known.
    pub(crate) fn configuration(&self) -> Result<Rc<AcceptedConfiguration>, EntryError> {
        let accepted = self.parts().platform.configuration();
        accepted.ok_or(EntryError::NoConfiguration)
    }

    pub(crate) fn parts(&self) -> &EntryParts {
        &self.0.parts
    }

    /// Counts a request as in progress while the guard lives.
    pub(crate) fn begin(&self, body: Incoming) -> Rc<Active> {
        self.0.in_progress.set(self.0.in_progress.get() + 1);
        Rc::new(Active {
            entry: self.clone(),
            announced_bytes: body.size_hint().exact(),
            body: Cell::new(Some(body)),
        })
    }

    /// Memory taken by bodies, in bytes.
    pub(crate) fn bodies_bytes(&self) -> &Cell<usize> {
        &self.0.bodies_bytes
    }

    /// What is remembered of the services' instances.
    pub(crate) fn service_turns(&self) -> &ServiceTurns {
        &self.0.service_turns
    }
}

/// Counts one request in progress, from its head to the end of its answer.
pub(crate) struct Active {
    entry: Entry,
    /// Body of the request until somebody reads it.
    body: Cell<Option<Incoming>>,
    announced_bytes: Option<u64>,
}

impl Active {
    /// The entry side it belongs to.
    pub(crate) fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Body of the request, for the first who asks.
    pub(crate) fn take_body(&self) -> Option<Incoming> {
        self.body.take()
    }

    /// Length of the body as the request's head tells it, in bytes.
    pub(crate) fn announced_bytes(&self) -> Option<u64> {
        self.announced_bytes
    }
}

impl std::fmt::Debug for Active {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Active").finish_non_exhaustive()
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        let count = &self.entry.0.in_progress;
        count.set(count.get() - 1);
    }
}
