//! Budget of retries: requests that are sent to another upstream after they may have
//! reached one.
//!
//! The limit applies to all daemons together, in any time window of its length. Each daemon
//! uses a share of it without coordination: of the part that is proportional to the
//! requests, that of its own requests; of the fixed part, the share that [`Fleet`](crate::Fleet) tells.
//!
//! A daemon that restarts does not know what its previous incarnation used, and in a series of
//! restarts nobody does. So an incarnation younger than the window earns retries slowly, from
//! none at its start, and an older one uses no more than leaves room for what later incarnations
//! could earn in the same window.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_settings::ids::ServiceName;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Share of the limit that a daemon uses that has run for a whole window.
///
/// With [`STARTING_SHARE`] it leaves a margin, as the time windows of the daemons differ.
const USABLE_SHARE: f64 = 0.7;

/// Share of the limit that daemons earn in the first window after their starts, however often
/// they start.
const STARTING_SHARE: f64 = 0.17;

/// Time between two updates of the fixed share after which this daemon was suspended.
const SUSPENDED_AFTER: Duration = Duration::from_secs(1);

/// Time for which a daemon that was suspended reads requests that were sent before.
const BACKLOG_TIME: Duration = Duration::from_millis(500);

/// Limit on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Retries per request; 0.2 by default.
    pub ratio: f64,
    /// Additional retries of all daemons together; 100 by default.
    pub slack: f64,
    /// Time window in which requests and retries are counted; 10 s by default.
    pub window: Duration,
}

impl Default for RetryLimit {
    fn default() -> Self {
        Self {
            ratio: 0.2,
            slack: 100.0,
            window: Duration::from_secs(10),
        }
    }
}

/// The retries of this daemon; clones share their state.
#[derive(Debug, Clone)]
pub struct RetryBudget(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    limit: RetryLimit,
    started: Instant,
    salt: u64,
    state: RefCell<State>,
}

/// Leave to send one retry, which takes up room until it is used or dropped.
#[derive(Debug)]
pub struct RetryPermit {
    budget: RetryBudget,
    service: ServiceName,
    is_spent: Cell<bool>,
}

impl RetryPermit {
    /// Uses the permit, as the retry is sent `now`; returns whether it was unused.
    pub fn spend(&self, now: Instant) -> bool {
        let is_unused = !self.is_spent.replace(true);
        if is_unused {
            self.budget.give_back(&self.service);
            self.budget.record_retry(&self.service, now);
        }
        is_unused
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent.get() {
            self.budget.give_back(&self.service);
        }
    }
}

#[derive(Debug)]
struct State {
    services: HashMap<ServiceName, SendTimes>,
    fixed_part: FixedPart,
    /// When this daemon last woke from a suspension.
    woke_at: Option<Instant>,
}

/// The share of the fixed part that belongs to this daemon.
#[derive(Debug, Clone, Copy)]
struct FixedPart {
    share: f64,
    since: Instant,
    /// Sum of earlier shares, each times its duration in seconds.
    earned_share_s: f64,
}

#[derive(Debug, Default)]
struct SendTimes {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
    /// Permits that are neither used nor dropped, however old.
    outstanding: usize,
}

impl RetryBudget {
    /// A budget of a daemon that starts now; its share of the fixed part is not known yet. `salt`
    /// is any number that differs between daemons
    /// and their incarnations.
    #[must_use]
    pub fn new(limit: RetryLimit, salt: u64, now: Instant) -> Self {
        Self(Rc::new(Shared {
            limit,
            started: now,
            salt,
            state: RefCell::new(State {
                services: HashMap::new(),
                fixed_part: FixedPart {
                    share: 0.0,
                    since: now,
                    earned_share_s: 0.0,
                },
                woke_at: None,
            }),
        }))
    }

    /// Sets the share of the fixed part that belongs to this daemon, from 0 to 1.
    ///
    /// It is set several times a second; a longer pause shows that this daemon was suspended.
    pub fn set_fixed_share(&self, share: f64, now: Instant) {
        let state = &mut *self.0.state.borrow_mut();
        if state.is_late(now) {
            state.woke_at = Some(now);
        }
        state.fixed_part = FixedPart {
            share,
            since: now,
            earned_share_s: state.fixed_part.earned_share_s(now),
        };
    }

    /// Records a request to a service.
    ///
    /// One that waited while this daemon was suspended belongs to an earlier window, so it does
    /// not count.
    pub fn record_request(&self, service: &str, now: Instant) {
        let state = &mut *self.0.state.borrow_mut();
        if state.is_late(now) || state.has_backlog(now) {
            return;
        }
        let sends = state.sends(service);
        sends.forget(self.0.limit.window, now);
        sends.requests.push_back(now);
    }

    /// Takes one retry if this daemon's share allows it.
    pub fn try_take(&self, service: &str, now: Instant) -> bool {
        let has_room = self.has_room(service, now);
        if has_room {
            self.record_retry(service, now);
        }
        has_room
    }

    fn record_retry(&self, service: &str, now: Instant) {
        let state = &mut *self.0.state.borrow_mut();
        state.sends(service).retries.push_back(now);
    }

    /// Takes one retry if this daemon's share allows it; returns it if it is not sent after all.
    pub fn permit(&self, service: &str, now: Instant) -> Option<RetryPermit> {
        if !self.has_room(service, now) {
            return None;
        }
        let state = &mut *self.0.state.borrow_mut();
        state.sends(service).outstanding += 1;
        Some(RetryPermit {
            budget: self.clone(),
            service: service.to_owned(),
            is_spent: Cell::new(false),
        })
    }

    fn give_back(&self, service: &str) {
        let state = &mut *self.0.state.borrow_mut();
        state.sends(service).outstanding -= 1;
    }

    /// Whether this daemon's share allows one more retry.
    pub(crate) fn has_room(&self, service: &str, now: Instant) -> bool {
        self.room(service, now) + self.rounding(service) >= 1.0
    }

    /// Part of a retry, from 0 to 1, by which this daemon's share is rounded up. It is spread
    /// evenly over the daemons, so that all together lose nothing by rounding.
    fn rounding(&self, service: &str) -> f64 {
        xxh3_64_with_seed(service.as_bytes(), self.0.salt) as f64 / u64::MAX as f64
    }

    /// Retries that this daemon's share still allows; may be negative.
    fn room(&self, service: &str, now: Instant) -> f64 {
        let state = &mut *self.0.state.borrow_mut();
        let fixed_part = state.fixed_part;
        let sends = state.sends(service);
        sends.forget(self.0.limit.window, now);
        let by_requests = self.0.limit.ratio * sends.requests.len() as f64;
        let window_s = self.0.limit.window.as_secs_f64();
        let is_starting = now.saturating_duration_since(self.0.started) < self.0.limit.window;
        let (usable, fixed_share) = match is_starting {
            true => (STARTING_SHARE, fixed_part.earned_share_s(now) / window_s),
            false => (USABLE_SHARE, fixed_part.share),
        };
        let taken = sends.retries.len() + sends.outstanding;
        usable * (by_requests + self.0.limit.slack * fixed_share) - taken as f64
    }
}

impl FixedPart {
    fn earned_share_s(&self, now: Instant) -> f64 {
        let time = now.saturating_duration_since(self.since);
        self.earned_share_s + self.share * time.as_secs_f64()
    }
}

impl State {
    fn is_late(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.fixed_part.since) > SUSPENDED_AFTER
    }

    fn has_backlog(&self, now: Instant) -> bool {
        let woke_at = self.woke_at;
        woke_at.is_some_and(|at| now.saturating_duration_since(at) < BACKLOG_TIME)
    }

    fn sends(&mut self, service: &str) -> &mut SendTimes {
        if !self.services.contains_key(service) {
            self.services
                .insert(service.to_owned(), SendTimes::default());
        }
        self.services.entry(service.to_owned()).or_default()
    }
}

impl SendTimes {
    fn forget(&mut self, window: Duration, now: Instant) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|time| now.saturating_duration_since(*time) > window)
            {
                times.pop_front();
            }
        }
    }
}
