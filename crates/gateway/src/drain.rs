//! The stages of a graceful shutdown.
//!
//! First the daemon only reports that it is not ready, so that new callers go elsewhere,
//! and asks callers to close their connections. Later it refuses new requests, and those that it
//! has not sent yet, as there may not be enough time left to finish them. It exits once all
//! requests in progress are answered; those that are not when its time ends are cut off.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::time::{Duration, Instant};

use futures_util::future::{Either, pending, select};
use mangofront_http::{Shutdown, ShutdownTrigger};

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

/// When the stages of a shutdown begin.
#[derive(Debug, Clone, Copy)]
struct Schedule {
    refuses_at: Instant,
    ends_at: Instant,
}

/// Progress of a graceful shutdown.
#[derive(Debug)]
pub(crate) struct Drain {
    schedule: Cell<Option<Schedule>>,
    begun: Shutdown,
    trigger: RefCell<Option<ShutdownTrigger>>,
    refused_unsent: Cell<u64>,
    cut_off: Cell<u64>,
}

impl Default for Drain {
    fn default() -> Self {
        let (trigger, begun) = Shutdown::new();
        Self {
            schedule: Cell::default(),
            begun,
            trigger: RefCell::new(Some(trigger)),
            refused_unsent: Cell::default(),
            cut_off: Cell::default(),
        }
    }
}

impl Drain {
    /// Starts the shutdown, which ends after `time` at the latest.
    pub(crate) fn begin(&self, time: Duration) {
        let now = Instant::now();
        let ends_at = now + time;
        self.schedule.set(Some(Schedule {
            refuses_at: ends_at.min(now + CLOSING_TIME),
            ends_at,
        }));
        if let Some(trigger) = self.trigger.take() {
            trigger.trigger();
        }
    }

    /// The current stage.
    pub(crate) fn stage(&self) -> Stage {
        match self.schedule.get() {
            None => Stage::Serving,
            Some(schedule) if Instant::now() < schedule.refuses_at => Stage::Closing,
            Some(_) => Stage::Refusing,
        }
    }

    /// Whether requests in progress are cut off by now.
    pub(crate) fn has_ended(&self) -> bool {
        self.ends_before(Instant::now())
    }

    /// Whether requests in progress are cut off before `time`.
    pub(crate) fn ends_before(&self, time: Instant) -> bool {
        let schedule = self.schedule.get();
        schedule.is_some_and(|schedule| schedule.ends_at <= time)
    }

    /// Waits until new requests are refused.
    pub(crate) async fn refusing(&self) {
        let schedule = self.schedule().await;
        compio::time::sleep_until(schedule.refuses_at).await;
    }

    /// Runs `future` until new requests are refused; `None` if it did not end before.
    pub(crate) async fn until_refusing<F: Future>(&self, future: F) -> Option<F::Output> {
        match select(pin!(future), pin!(self.refusing())).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }

    /// Waits until requests in progress are cut off.
    async fn ended(&self) {
        let schedule = self.schedule().await;
        compio::time::sleep_until(schedule.ends_at).await;
    }

    /// Runs `future` until requests in progress are cut off; `None` if it did not end before.
    pub(crate) async fn until_end<F: Future>(&self, future: F) -> Option<F::Output> {
        match select(pin!(future), pin!(self.ended())).await {
            Either::Left((output, _)) => Some(output),
            Either::Right(_) => None,
        }
    }

    async fn schedule(&self) -> Schedule {
        self.begun.wait().await;
        match self.schedule.get() {
            Some(schedule) => schedule,
            None => pending().await,
        }
    }

    /// Counts an accepted request that is refused, as nothing of it was sent in time.
    pub(crate) fn record_refused_unsent(&self) {
        self.refused_unsent.set(self.refused_unsent.get() + 1);
    }

    /// Counts a request that is cut off.
    pub(crate) fn record_cut_off(&self) {
        self.cut_off.set(self.cut_off.get() + 1);
    }

    /// Number of accepted requests that were refused, as nothing of them was sent in time.
    pub(crate) fn refused_unsent(&self) -> u64 {
        self.refused_unsent.get()
    }

    /// Number of requests that were cut off.
    pub(crate) fn cut_off(&self) -> u64 {
        self.cut_off.get()
    }
}
