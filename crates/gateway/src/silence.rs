//! For how long upstreams have been silent, in the time in which this daemon ran.
//!
//! A daemon that was not scheduled has heard nothing, and once it runs again its timers expire
//! before its sockets are read. So silence is measured by a clock that stands still while the
//! event loop is late. Silence of one upstream among many is that upstream's own; if most fall
//! silent together the cause is shared, and other upstreams would answer no sooner.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_engines::UpstreamKey;
use mangofront_settings::ids::ServiceName;

/// Period with which the clock advances.
const TICK: Duration = Duration::from_millis(100);

/// Longest time that the clock advances at once.
const MAX_ADVANCE: Duration = Duration::from_millis(150);

/// Silent upstreams from which on their silence may have a common cause.
const COMMON_UPSTREAMS: usize = 2;

/// Part of a silence within which an upstream without attempts must have been heard to count as
/// sound: it may have fallen silent since.
const RECENTLY_HEARD_DIVISOR: u32 = 4;

/// Time after which an upstream without attempts is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// Time on the clock of a daemon, which stands still while the daemon does not run.
pub type RunTime = Duration;

/// The upstreams from which this daemon awaits something; clones share their state.
#[derive(Debug, Clone)]
pub struct Silence(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    clock: fn() -> Instant,
    started: Instant,
    ticked_at: Cell<Instant>,
    run_time_at_tick: Cell<RunTime>,
    awaited: RefCell<HashMap<UpstreamKey, Awaited>>,
}

/// An upstream with attempts in flight, or without any since a moment ago.
#[derive(Debug)]
struct Awaited {
    service: ServiceName,
    /// When it last sent something, or else when the first of the attempts was sent.
    heard_at: RunTime,
    /// When something is expected of each attempt in flight.
    due_at: Vec<RunTime>,
}

impl Awaited {
    fn silence(&self, now: RunTime) -> Duration {
        let due_at = self.due_at.iter().min().copied().unwrap_or_default();
        now.saturating_sub(self.heard_at.max(due_at))
    }
}

/// Upstreams of a service with attempts in flight or heard a moment ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SilenceSummary {
    /// Those that have been silent for a given time.
    pub silent: usize,
    /// All of them.
    pub awaited: usize,
}

impl SilenceSummary {
    /// Whether the silence has a common cause.
    #[must_use]
    pub fn is_common(&self) -> bool {
        self.silent >= COMMON_UPSTREAMS && self.silent * 2 >= self.awaited
    }
}

impl Default for Silence {
    fn default() -> Self {
        Self::with_clock(Instant::now)
    }
}

impl Silence {
    /// Creates a view without attempts, which measures time by `clock`.
    #[must_use]
    pub fn with_clock(clock: fn() -> Instant) -> Self {
        let now = clock();
        Self(Rc::new(Shared {
            clock,
            started: now,
            ticked_at: Cell::new(now),
            run_time_at_tick: Cell::default(),
            awaited: RefCell::default(),
        }))
    }

    /// Time for which this daemon has run.
    #[must_use]
    pub fn run_time(&self) -> RunTime {
        let since = (self.0.clock)().saturating_duration_since(self.0.ticked_at.get());
        self.0.run_time_at_tick.get() + since.min(MAX_ADVANCE)
    }

    /// Time for which this daemon has not run since its start.
    #[must_use]
    pub fn lateness(&self) -> Duration {
        let elapsed = (self.0.clock)().saturating_duration_since(self.0.started);
        elapsed.saturating_sub(self.run_time())
    }

    /// Advances the clock; has to be called each [`TICK`].
    pub fn tick(&self) {
        self.0.run_time_at_tick.set(self.run_time());
        self.0.ticked_at.set((self.0.clock)());
    }

    /// Advances the clock, forever.
    pub(crate) async fn keep_time(self) {
        loop {
            compio::time::sleep(TICK).await;
            self.tick();
        }
    }

    /// Counts an attempt that was sent, and of which nothing is expected for `expected`, until the
    /// guard is dropped.
    #[must_use]
    pub fn await_answer(
        &self,
        upstream: UpstreamKey,
        service: &str,
        expected: Duration,
    ) -> AwaitedAnswer {
        let now = self.run_time();
        let mut awaited = self.0.awaited.borrow_mut();
        awaited.retain(|_, entry| {
            !entry.due_at.is_empty() || now.saturating_sub(entry.heard_at) < FORGET_AFTER
        });
        let entry = awaited.entry(upstream).or_insert_with(|| Awaited {
            service: service.to_owned(),
            heard_at: now,
            due_at: Vec::new(),
        });
        if entry.due_at.is_empty() {
            entry.heard_at = now;
        }
        let due_at = now + expected;
        entry.due_at.push(due_at);
        AwaitedAnswer {
            silence: self.clone(),
            upstream,
            due_at,
        }
    }

    /// Records that an upstream sent something.
    pub fn hear(&self, upstream: UpstreamKey) {
        let now = self.run_time();
        if let Some(entry) = self.0.awaited.borrow_mut().get_mut(&upstream) {
            entry.heard_at = now;
        }
    }

    /// Counts the upstreams of a service with attempts in flight or heard a moment ago, and those
    /// of them that have been silent for `time`.
    #[must_use]
    pub fn summary(&self, service: &str, time: Duration) -> SilenceSummary {
        let now = self.run_time();
        let awaited = self.0.awaited.borrow();
        let recent = time / RECENTLY_HEARD_DIVISOR;
        let of_service = awaited.values().filter(|entry| {
            entry.service == service
                && (!entry.due_at.is_empty() || now.saturating_sub(entry.heard_at) < recent)
        });
        of_service.fold(SilenceSummary::default(), |summary, entry| SilenceSummary {
            awaited: summary.awaited + 1,
            silent: summary.silent + usize::from(entry.silence(now) >= time),
        })
    }
}

/// Counts an attempt as in flight until dropped.
#[derive(Debug)]
pub struct AwaitedAnswer {
    silence: Silence,
    upstream: UpstreamKey,
    due_at: RunTime,
}

impl Drop for AwaitedAnswer {
    fn drop(&mut self) {
        let mut awaited = self.silence.0.awaited.borrow_mut();
        if let Some(entry) = awaited.get_mut(&self.upstream) {
            let own = entry.due_at.iter().position(|at| *at == self.due_at);
            if let Some(index) = own {
                entry.due_at.swap_remove(index);
            }
        }
    }
}
