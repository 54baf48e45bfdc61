//! Detects that the process was paused, and refreshes the published values afterwards.
//!
//! A process that is stopped and resumed later finds waiting callers and an instance list
//! from before the pause. Pauses are therefore detected both by a periodic task and at
//! each use, on the monotonic clock, which keeps running meanwhile; after a pause, the list
//! is not used until the service was read again. If the service does not answer, the known
//! values are used after a short wait, so that an availability zone that is cut off
//! continues to serve.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::document::Kind;
use crate::service::Call;
use crate::shared::Shared;
use crate::waiters::Waiters;

/// Time between two checks of the clock.
const TICK_INTERVAL: Duration = Duration::from_millis(200);

/// Time since the last check from which on the process counts as paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);

/// Maximum wait for the service after a pause.
const REFRESH_TIMEOUT: Duration = Duration::from_secs(1);

/// Pauses of the process that were detected.
#[derive(Debug)]
pub(crate) struct Pauses {
    last_tick: Cell<Instant>,
    /// End of the last pause.
    resumed_at: Cell<Option<Instant>>,
    /// Whether the values in force are older than the last pause.
    is_stale: Cell<bool>,
    refreshed: Waiters,
}

impl Pauses {
    pub(crate) fn new() -> Self {
        Self {
            last_tick: Cell::new(Instant::now()),
            resumed_at: Cell::new(None),
            is_stale: Cell::new(false),
            refreshed: Waiters::default(),
        }
    }

    /// Checks the clock; also detects a pause after which the periodic task has not run
    /// yet.
    pub(crate) fn check_clock(&self) {
        let now = Instant::now();
        if now.saturating_duration_since(self.last_tick.get()) > PAUSE_THRESHOLD {
            self.resumed_at.set(Some(now));
            self.is_stale.set(true);
        }
        self.last_tick.set(now);
    }

    /// End of the last pause, if there was one.
    pub(crate) fn resumed_at(&self) -> Option<Instant> {
        self.check_clock();
        self.resumed_at.get()
    }

    /// Waits until the values in force are newer than the last pause, at most for
    /// [`REFRESH_TIMEOUT`].
    pub(crate) async fn refreshed(&self) {
        self.check_clock();
        let until = Instant::now() + REFRESH_TIMEOUT;
        while self.is_stale.get() {
            let refreshed = self.refreshed.next();
            if compio::time::timeout_at(until, refreshed).await.is_err() {
                return;
            }
        }
    }
}

/// Reads the values from the service again after each pause; never returns.
pub(crate) async fn monitor(shared: Rc<Shared>) {
    let pauses = &shared.pauses;
    loop {
        compio::time::sleep(TICK_INTERVAL).await;
        pauses.check_clock();
        if pauses.is_stale.get() {
            log::info!("platform: the process was paused, reading both values again");
            refresh(&shared).await;
        }
    }
}

/// Reads both values; repeats that if the process was paused meanwhile.
async fn refresh(shared: &Shared) {
    loop {
        let began = Instant::now();
        let configuration = shared.make_call(Kind::Configuration, Call::Read);
        let instances = shared.make_call(Kind::Instances, Call::Read);
        // `make_call` counts failures.
        let _ = futures_util::join!(configuration, instances);
        shared.pauses.check_clock();
        let is_complete = shared.pauses.resumed_at.get().is_none_or(|at| at <= began);
        if is_complete {
            break;
        }
    }
    shared.pauses.is_stale.set(false);
    shared.pauses.refreshed.wake();
}
