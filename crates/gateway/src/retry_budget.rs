//! Budget of retries: requests that are sent to another upstream after they may have
//! reached one.
//!
//! The limit applies to all daemons together, in any time window of its length. Each daemon
//! uses a share of it without coordination: of the part that is proportional to the
//! requests, that of its own requests; of the fixed part, an equal share.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use mangofront_settings::ids::ServiceName;

/// Share of the limit that is used; the rest is a margin, as the time windows of the
/// daemons differ.
const USABLE_SHARE: f64 = 0.7;

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

/// The retries of this daemon.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    services: RefCell<HashMap<ServiceName, SendTimes>>,
}

#[derive(Debug, Default)]
struct SendTimes {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl RetryBudget {
    /// Creates a budget from which nothing was taken.
    #[must_use]
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            services: RefCell::default(),
        }
    }

    /// Records a request to a service.
    pub fn record_request(&self, service: &str, now: Instant) {
        let mut services = self.services.borrow_mut();
        let sends = service_entry(&mut services, service);
        sends.forget(self.limit.window, now);
        sends.requests.push_back(now);
    }

    /// Takes one retry if this daemon's share allows it; `daemons` is the number of daemons that
    /// share the limit.
    pub fn try_take(&self, service: &str, daemons: usize, now: Instant) -> bool {
        let has_room = self.has_room(service, daemons, now);
        if has_room {
            let mut services = self.services.borrow_mut();
            service_entry(&mut services, service).retries.push_back(now);
        }
        has_room
    }

    /// Whether this daemon's share allows one more retry; `daemons` is the number of daemons
    /// that share the limit.
    pub fn has_room(&self, service: &str, daemons: usize, now: Instant) -> bool {
        let mut services = self.services.borrow_mut();
        let sends = service_entry(&mut services, service);
        sends.forget(self.limit.window, now);
        let by_requests = self.limit.ratio * sends.requests.len() as f64;
        let fixed = self.limit.slack / daemons.max(1) as f64;
        let allowed = USABLE_SHARE * (by_requests + fixed);
        (sends.retries.len() + 1) as f64 <= allowed
    }
}

fn service_entry<'a>(
    services: &'a mut HashMap<ServiceName, SendTimes>,
    service: &str,
) -> &'a mut SendTimes {
    if !services.contains_key(service) {
        services.insert(service.to_owned(), SendTimes::default());
    }
    services.entry(service.to_owned()).or_default()
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
