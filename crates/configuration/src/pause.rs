//! Notices that the process was paused, and refreshes what it knows then.
//!
//! A process that is stopped and goes on later finds callers waiting and an
//! instance list of the time before. So a pause is looked for both by a beat
//! and at each use, on the monotonic clock, which goes on meanwhile; and after
//! one nothing of the list is used until the service was read anew. When the
//! service does not answer, what is known is used after a short wait: a zone
//! that is cut off goes on serving.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use crate::document::Kind;
use crate::service::Call;
use crate::shared::Shared;
use crate::waiters::Waiters;

/// Time between two beats.
const BEAT: Duration = Duration::from_millis(200);

/// Lateness of a beat that counts as a pause.
const PAUSE: Duration = Duration::from_secs(1);

/// Longest wait for the service after a pause.
const REFRESH_LIMIT: Duration = Duration::from_secs(1);

/// What is known of the process's pauses.
#[derive(Debug)]
pub(crate) struct Pauses {
    last_beat: Cell<Instant>,
    /// End of the last pause.
    resumed_at: Cell<Option<Instant>>,
    /// Whether what is in force is older than the last pause.
    is_stale: Cell<bool>,
    refreshed: Waiters,
}

impl Pauses {
    pub(crate) fn new() -> Self {
        Self {
            last_beat: Cell::new(Instant::now()),
            resumed_at: Cell::new(None),
            is_stale: Cell::new(false),
            refreshed: Waiters::default(),
        }
    }

    /// Looks at the clock; notes a pause whose beat has not fired yet.
    pub(crate) fn look(&self) {
        let now = Instant::now();
        if now.saturating_duration_since(self.last_beat.get()) > PAUSE {
            self.resumed_at.set(Some(now));
            self.is_stale.set(true);
        }
        self.last_beat.set(now);
    }

    /// End of the last pause, if there was one.
    pub(crate) fn resumed_at(&self) -> Option<Instant> {
        self.look();
        self.resumed_at.get()
    }

    /// Waits until nothing is in force from before a pause, but not for long.
    pub(crate) async fn refreshed(&self) {
        self.look();
        let until = Instant::now() + REFRESH_LIMIT;
        while self.is_stale.get() {
            let refreshed = self.refreshed.next();
            if compio::time::timeout_at(until, refreshed).await.is_err() {
                return;
            }
        }
    }
}

/// Reads the service anew after each pause, for ever.
pub(crate) async fn watch(shared: Rc<Shared>) {
    let pauses = &shared.pauses;
    loop {
        compio::time::sleep(BEAT).await;
        pauses.look();
        if pauses.is_stale.get() {
            log::info!("platform: the process was paused, reads anew");
            refresh(&shared).await;
        }
    }
}

/// Reads both values; once more if the process was paused meanwhile.
async fn refresh(shared: &Shared) {
    loop {
        let began = Instant::now();
        let configuration = shared.make_call(Kind::Configuration, Call::Read);
        let instances = shared.make_call(Kind::Instances, Call::Read);
        // A failure is counted where the call is made.
        let _ = futures_util::join!(configuration, instances);
        shared.pauses.look();
        let is_whole = shared.pauses.resumed_at.get().is_none_or(|at| at <= began);
        if is_whole {
            break;
        }
    }
    shared.pauses.is_stale.set(false);
    shared.pauses.refreshed.wake();
}
