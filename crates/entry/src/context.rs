//! State shared by all requests of a daemon.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::{Either, select};
use http::{Request, Response};
use hyper::body::{Body as _, Incoming};
use mangofront_admission::Admission;
use mangofront_bodies::BodyMemory;
use mangofront_configuration::{AcceptedConfiguration, Platform};
use mangofront_http::{Body, Outcome, Shutdown, ShutdownTrigger};
use mangofront_once::Once;
use mangofront_placement::Placement;
use mangofront_settings::ids::AvailabilityZone;
use mangofront_telemetry::metrics::Metrics;
use mangofront_upstream::Connections;

use crate::error::EntryError;
use crate::router;
use crate::service::InstanceRotation;

/// Limits on requests, bodies and stalled connections of callers.
#[derive(Debug, Clone, Copy)]
pub struct EntryLimits {
    /// Maximum number of requests in progress; further ones are refused immediately.
    pub in_progress_limit_requests: usize,
    /// Maximum size of a request body, in bytes.
    pub body_limit_bytes: usize,
    /// Maximum time for a request's body to arrive.
    pub body_timeout: Duration,
    /// Maximum time for which the reader of a stream may accept no token.
    pub stall_timeout: Duration,
    /// Number of tokens buffered for a reader that is slower than the engine.
    pub stream_buffer_frames: usize,
    /// Maximum size of a service's response, in bytes.
    pub service_answer_limit_bytes: usize,
    /// Time limit of a service call without a class.
    pub service_timeout: Duration,
}

impl Default for EntryLimits {
    fn default() -> Self {
        Self {
            in_progress_limit_requests: 1024,
            body_limit_bytes: 16 * 1024 * 1024,
            body_timeout: Duration::from_secs(30),
            stall_timeout: Duration::from_secs(30),
            stream_buffer_frames: 16,
            service_answer_limit_bytes: 4 * 1024 * 1024,
            service_timeout: Duration::from_secs(30),
        }
    }
}

/// Components that an [`Entry`] uses.
#[derive(Debug, Clone)]
pub struct EntryParts {
    /// Availability zone of this daemon.
    pub availability_zone: AvailabilityZone,
    /// Source of the current configuration and instances.
    pub platform: Platform,
    /// Decides when a request may start.
    pub admission: Admission,
    /// Selects the engine for a request.
    pub placement: Placement,
    /// Decides whether an order may run.
    pub once: Once,
    /// Connections to upstreams.
    pub connections: Connections,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Memory for the bodies of callers and upstreams.
    pub body_memory: BodyMemory,
    /// Limits on callers.
    pub limits: EntryLimits,
}

/// HTTP server side of a daemon. Clones share their state.
#[derive(Debug, Clone)]
pub struct Entry(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    parts: EntryParts,
    in_progress: Cell<usize>,
    /// Set once the daemon stops: the time after which a caller may retry.
    stopping: Cell<Option<Duration>>,
    /// Sent when the requests in progress are to end without their answers.
    cut_off: Shutdown,
    cut_off_trigger: RefCell<Option<ShutdownTrigger>>,
    instance_rotation: InstanceRotation,
}

impl Entry {
    /// Creates an entry that uses `parts`.
    #[must_use]
    pub fn new(parts: EntryParts) -> Self {
        let (cut_off_trigger, cut_off) = Shutdown::new();
        Self(Rc::new(Shared {
            parts,
            in_progress: Cell::new(0),
            stopping: Cell::new(None),
            cut_off,
            cut_off_trigger: RefCell::new(Some(cut_off_trigger)),
            instance_rotation: InstanceRotation::default(),
        }))
    }

    /// Handles one request from `peer`.
    pub async fn handle(self, request: Request<Incoming>, peer: SocketAddr) -> Response<Body> {
        router::route(&self, request, peer).await
    }

    /// Refuses all new requests from now on; callers may retry after `retry_after`.
    pub fn stop(&self, retry_after: Duration) {
        self.0.stopping.set(Some(retry_after));
        self.0.parts.admission.close(retry_after);
    }

    /// Ends all requests in progress with an error, as the stop limit has passed.
    pub fn cut_off(&self) {
        let trigger = self.0.cut_off_trigger.take();
        if let Some(trigger) = trigger {
            trigger.trigger();
        }
    }

    /// Waits until the requests in progress are cut off.
    pub(crate) async fn wait_for_cut_off(&self) {
        self.0.cut_off.wait().await;
    }

    /// Handles a request until it is cut off, which then has `outcome`.
    ///
    /// # Errors
    /// That of `handling`, or [`EntryError::CutOff`].
    pub(crate) async fn until_cut_off<T>(
        &self,
        request_id: &str,
        outcome: Outcome,
        handling: impl Future<Output = Result<T, EntryError>>,
    ) -> Result<T, EntryError> {
        match select(pin!(handling), pin!(self.wait_for_cut_off())).await {
            Either::Left((result, _)) => result,
            Either::Right(_) => Err(self.cut_off_error(request_id, outcome)),
        }
    }

    /// Error of a request that is cut off, which is logged.
    pub(crate) fn cut_off_error(&self, request_id: &str, outcome: Outcome) -> EntryError {
        log::warn!("entry: request {request_id} was cut off at the stop limit");
        EntryError::CutOff {
            outcome,
            retry_after: self.stopping().unwrap_or_default(),
        }
    }

    /// Number of requests that were received and are not yet completely answered.
    #[must_use]
    pub fn in_progress(&self) -> usize {
        self.0.in_progress.get()
    }

    /// Whether new requests are refused.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.stopping().is_some()
    }

    /// Time after which a caller may retry, if the daemon is stopping.
    pub(crate) fn stopping(&self) -> Option<Duration> {
        self.0.stopping.get()
    }

    /// Current configuration.
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

    /// Counts a request as in progress until the returned guard is dropped.
    pub(crate) fn begin(&self, body: Incoming) -> Rc<Active> {
        self.0.in_progress.set(self.0.in_progress.get() + 1);
        Rc::new(Active {
            entry: self.clone(),
            announced_bytes: body.size_hint().exact(),
            body: Cell::new(Some(body)),
        })
    }

    /// Order and recent failures of the services' instances.
    pub(crate) fn instance_rotation(&self) -> &InstanceRotation {
        &self.0.instance_rotation
    }
}

/// A request in progress, counted from its head to the end of its response.
pub(crate) struct Active {
    entry: Entry,
    /// Body of the request until it is taken.
    body: Cell<Option<Incoming>>,
    announced_bytes: Option<u64>,
}

impl Active {
    /// Entry that received the request.
    pub(crate) fn entry(&self) -> &Entry {
        &self.entry
    }

    /// Takes the body of the request; `None` if it was taken before.
    pub(crate) fn take_body(&self) -> Option<Incoming> {
        self.body.take()
    }

    /// Length of the body according to the request's head, in bytes.
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
