//! Which new connections a server serves while its event loop falls behind.
//!
//! All work of a process runs on one event loop. Once more connections arrive than it can serve,
//! each request waits for the work queued before it, and work that its caller has given up by then
//! wastes the rest. A connection that is closed before its first request was read costs next to
//! nothing, and its caller may use another process at once.
//!
//! A timer of the event loop waits behind all queued work, so while it is overdue the queue is too
//! long: [`Acceptance`] then closes new connections until it has run. The share of connections
//! that had to be closed in one period of the timer is closed evenly in the next, so that a
//! multiple of the load does not arrive in bursts. A timer that is late for the first time, or by
//! more than a queue explains, may belong to a process that was merely suspended, so the
//! connections that waited meanwhile are served, up to a bound.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Period of the timer.
pub const TICK_PERIOD: Duration = Duration::from_millis(50);

/// Lateness of the timer from which connections are closed.
const MAX_LATENESS: Duration = Duration::from_millis(60);

/// Lateness from which the process was probably suspended: the queue is kept shorter.
const SUSPENSION_LATENESS: Duration = Duration::from_millis(800);

/// Connections that are served in a period although the timer is late: if the process may have
/// been suspended, and otherwise.
const SERVED_AFTER_SUSPENSION: u32 = 24;
const SERVED_WHILE_LATE: u32 = 3;

/// Connections closed in one period from which the served share falls.
const CLOSED_BEFORE_DECREASE: u32 = 2;

/// Smallest factor of the served share after one period.
const LARGEST_DECREASE: f64 = 0.25;

/// Factor of the served share after each period, and what is added to it if the timer was on
/// time.
const INCREASE_FACTOR: f64 = 1.1;
const INCREASE: f64 = 0.01;

/// Smallest share of connections that are served, so that it is seen when the load is gone.
const MIN_SERVED_SHARE: f64 = 0.002;

/// Time from the last closed connection for which answers close their connections too.
const CLOSING_TIME: Duration = Duration::from_millis(500);

/// Decides on new connections; clones share their state.
#[derive(Debug, Clone)]
pub struct Acceptance(Rc<State>);

#[derive(Debug)]
struct State {
    /// When the timer is due; `None` before its first run.
    due: Cell<Option<Instant>>,
    served_share: Cell<f64>,
    /// Part of a connection by which more were due to be closed than have been.
    closing_due: Cell<f64>,
    period: Cell<Period>,
    /// Whether the timer was late at its last run.
    was_late: Cell<bool>,
    closed: Cell<u64>,
    last_closed: Cell<Option<Instant>>,
}

/// Connections since the last run of the timer.
#[derive(Debug, Clone, Copy, Default)]
struct Period {
    served: u32,
    closed: u32,
    /// Connections of either kind while the timer was late.
    served_late: u32,
    closed_late: u32,
}

impl Default for Acceptance {
    fn default() -> Self {
        Self(Rc::new(State {
            due: Cell::default(),
            served_share: Cell::new(1.0),
            closing_due: Cell::default(),
            period: Cell::default(),
            was_late: Cell::default(),
            closed: Cell::default(),
            last_closed: Cell::default(),
        }))
    }
}

impl Acceptance {
    /// Records a run of the timer, which is due again after [`TICK_PERIOD`].
    pub fn record_tick(&self, now: Instant) {
        self.0.was_late.set(self.lateness(now) > MAX_LATENESS);
        self.0.due.set(Some(now + TICK_PERIOD));
        let period = self.0.period.take();
        let before = self.0.served_share.get();
        let share = match period.closed_late >= CLOSED_BEFORE_DECREASE {
            true => {
                let all = f64::from(period.served + period.closed);
                let served = f64::from(period.served) / all.max(1.0);
                served.max(before * LARGEST_DECREASE) * INCREASE_FACTOR
            }
            false => before * INCREASE_FACTOR + INCREASE,
        };
        self.0.served_share.set(share.clamp(MIN_SERVED_SHARE, 1.0));
    }

    /// Whether to serve a new connection; if not, it is to be closed unread.
    #[must_use]
    pub fn accepts(&self, now: Instant) -> bool {
        let mut period = self.0.period.get();
        let lateness = self.lateness(now);
        let is_late = lateness > MAX_LATENESS;
        let may_be_resumed = !self.0.was_late.get() || lateness >= SUSPENSION_LATENESS;
        let served_while_late = match may_be_resumed {
            true => SERVED_AFTER_SUSPENSION,
            false => SERVED_WHILE_LATE,
        };
        let is_too_many = is_late && period.served_late >= served_while_late;
        let due = self.0.closing_due.get() + (1.0 - self.0.served_share.get());
        let is_in_share = due < 1.0;
        self.0
            .closing_due
            .set(if is_in_share { due } else { due - 1.0 });
        let accepts = is_in_share && !is_too_many;
        period.served += u32::from(accepts);
        period.closed += u32::from(!accepts);
        period.served_late += u32::from(accepts && is_late);
        period.closed_late += u32::from(is_too_many);
        self.0.period.set(period);
        if !accepts {
            self.0.closed.set(self.0.closed.get() + 1);
            self.0.last_closed.set(Some(now));
        }
        accepts
    }

    /// Whether answers should close their connections, so that callers spread to others.
    #[must_use]
    pub fn closes_connections(&self, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < CLOSING_TIME;
        self.0.last_closed.get().is_some_and(is_recent)
    }

    /// Share of new connections that is served while the timer is on time.
    #[must_use]
    pub fn served_share(&self) -> f64 {
        self.0.served_share.get()
    }

    /// Number of connections that were closed unread.
    #[must_use]
    pub fn closed(&self) -> u64 {
        self.0.closed.get()
    }

    fn lateness(&self, now: Instant) -> Duration {
        let due = self.0.due.get();
        due.map_or(Duration::ZERO, |due| now.saturating_duration_since(due))
    }
}
