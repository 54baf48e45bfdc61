//! Requests that are held for less loaded engines.
//!
//! They try again at a common rhythm, one after the other in order of precedence, so that what has
//! become free goes to the first among them. One that can't be placed does not keep those behind
//! it from what they can use.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_engines::Precedence;

/// Time between the attempts of two requests: enough for timers to run in order.
const STEP: Duration = Duration::from_micros(100);

/// Distinguishes requests of equal precedence, in the order in which they joined.
type Ticket = u64;

/// Those that wait at this daemon; clones share them.
#[derive(Debug, Clone)]
pub struct HeldRequests(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    waiting: RefCell<BTreeSet<(Precedence, Ticket)>>,
    next_ticket: Cell<Ticket>,
    /// The rhythm counts from here.
    started: Instant,
}

/// The place of one request among those that wait; dropping it leaves them.
#[derive(Debug)]
pub struct HeldPlace {
    held: HeldRequests,
    precedence: Precedence,
    ticket: Ticket,
}

impl HeldRequests {
    /// Nobody waits yet; `started` is any moment that has passed.
    #[must_use]
    pub fn new(started: Instant) -> Self {
        Self(Rc::new(Shared {
            waiting: RefCell::default(),
            next_ticket: Cell::new(0),
            started,
        }))
    }

    /// Joins those that wait.
    #[must_use]
    pub fn join(&self, precedence: Precedence) -> HeldPlace {
        let ticket = self.0.next_ticket.get();
        self.0.next_ticket.set(ticket + 1);
        self.0.waiting.borrow_mut().insert((precedence, ticket));
        HeldPlace {
            held: self.clone(),
            precedence,
            ticket,
        }
    }

    /// Number of those that wait.
    #[must_use]
    pub fn count(&self) -> usize {
        self.0.waiting.borrow().len()
    }
}

impl HeldPlace {
    /// Changes the precedence, as a request that can no longer be on time goes behind others.
    pub fn set_precedence(&mut self, precedence: Precedence) {
        let mut waiting = self.held.0.waiting.borrow_mut();
        waiting.remove(&(self.precedence, self.ticket));
        waiting.insert((precedence, self.ticket));
        self.precedence = precedence;
    }

    /// Time until it may try again, where each request tries every `period`.
    #[must_use]
    pub fn next_try_in(&self, now: Instant, period: Duration) -> Duration {
        let waiting = self.held.0.waiting.borrow();
        let ahead = waiting.range(..(self.precedence, self.ticket)).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        // All of them have their turn within one period.
        let offset = STEP.saturating_mul(ahead).min(period.mul_f64(0.9));
        let since = now.saturating_duration_since(self.held.0.started);
        let period_ns = period.as_nanos().max(1);
        let into_ns = since.as_nanos() % period_ns;
        let rest = Duration::from_nanos(u64::try_from(period_ns - into_ns).unwrap_or(u64::MAX));
        rest + offset
    }
}

impl Drop for HeldPlace {
    fn drop(&mut self) {
        let mut waiting = self.held.0.waiting.borrow_mut();
        waiting.remove(&(self.precedence, self.ticket));
    }
}
