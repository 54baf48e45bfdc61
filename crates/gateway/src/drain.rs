//! The stages of a planned stop.
//!
//! First the daemon only says that it is not ready, so that new callers go
//! elsewhere, and asks callers on open connections to close them. Later it
//! refuses what still comes in, as there may be no time left to finish it, and
//! ends once all that is in progress is answered.

use std::cell::Cell;
use std::time::{Duration, Instant};

/// Stage of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Stage {
    /// Serves.
    Serving,
    /// Not ready; serves what comes and asks for connections to be closed.
    Closing,
    /// Refuses what comes.
    Refusing,
}

/// Time for which requests are still served: the balancer needs two looks, a
/// second apart, to leave this daemon out.
pub(crate) const CLOSING_TIME: Duration = Duration::from_millis(3_000);

/// Where a daemon is in its planned stop.
#[derive(Debug, Default)]
pub(crate) struct Drain {
    since: Cell<Option<Instant>>,
}

impl Drain {
    /// Begins the stop.
    pub(crate) fn begin(&self) {
        self.since.set(Some(Instant::now()));
    }

    /// The present stage.
    pub(crate) fn stage(&self) -> Stage {
        match self.since.get() {
            None => Stage::Serving,
            Some(since) if since.elapsed() < CLOSING_TIME => Stage::Closing,
            Some(_) => Stage::Refusing,
        }
    }
}
