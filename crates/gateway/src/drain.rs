//! The stages of a graceful shutdown.
//!
//! First the daemon only reports that it is not ready, so that new callers go elsewhere,
//! and asks callers to close their connections. Later it refuses new requests, as there may
//! not be enough time left to finish them, and exits once all requests in progress are
//! answered.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Stage of a graceful shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// No shutdown has started.
    Serving,
    /// Not ready; serves requests, but asks for connections to be closed.
    Closing,
    /// Refuses new requests.
    Refusing,
}

/// Time for which requests are still served: the load balancer needs two health checks, a
/// second apart, to stop using this daemon.
pub(crate) const CLOSING_TIME: Duration = Duration::from_millis(3_000);

/// Progress of a graceful shutdown.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    since: Cell<Option<Instant>>,
}

impl Drain {
    /// Starts the shutdown.
    pub(crate) fn begin(&self) {
        self.since.set(Some(Instant::now()));
    }

    /// The current stage.
    pub(crate) fn stage(&self) -> Stage {
        match self.since.get() {
            None => Stage::Serving,
            Some(since) if since.elapsed() < CLOSING_TIME => Stage::Closing,
            Some(_) => Stage::Refusing,
        }
    }
}
