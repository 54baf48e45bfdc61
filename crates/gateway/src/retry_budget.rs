//! Limit on requests that are sent to a second upstream.
//!
//! The limit is on all daemons together, over any window of its length. Each
//! daemon takes a share that needs no word with the others: of the part that
//! grows with the requests, what its own requests allow; of the fixed part, an
//! equal share.

use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use mangofront_settings::ids::ServiceName;

/// Share of the limit that is used, as windows of the daemons differ.
const USED_SHARE: f64 = 0.7;

/// Limit on second sends.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimit {
    /// Second sends for each request; 0.2 by default.
    pub ratio: f64,
    /// Second sends on top, of all daemons together; 100 by default.
    pub slack: f64,
    /// Span in which both are counted; 10 s by default.
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

/// Second sends of this daemon.
#[derive(Debug)]
pub struct RetryBudget {
    limit: RetryLimit,
    services: RefCell<HashMap<ServiceName, Sends>>,
}

#[derive(Debug, Default)]
struct Sends {
    requests: VecDeque<Instant>,
    second: VecDeque<Instant>,
}

impl RetryBudget {
    /// Nothing was sent yet.
    #[must_use]
    pub fn new(limit: RetryLimit) -> Self {
        Self {
            limit,
            services: RefCell::default(),
        }
    }

    /// Notes a request for a service.
    pub fn record_request(&self, service: &str, now: Instant) {
        let mut services = self.services.borrow_mut();
        let sends = entry(&mut services, service);
        sends.forget(self.limit.window, now);
        sends.requests.push_back(now);
    }

    /// Takes one second send, if `daemons` that share the limit leave room for it.
    pub fn try_take(&self, service: &str, daemons: usize, now: Instant) -> bool {
        let has_room = self.has_room(service, daemons, now);
        if has_room {
            let mut services = self.services.borrow_mut();
            entry(&mut services, service).second.push_back(now);
        }
        has_room
    }

    /// Whether `daemons` that share the limit leave room for one more second send.
    pub fn has_room(&self, service: &str, daemons: usize, now: Instant) -> bool {
        let mut services = self.services.borrow_mut();
        let sends = entry(&mut services, service);
        sends.forget(self.limit.window, now);
        let by_requests = self.limit.ratio * sends.requests.len() as f64;
        let fixed = self.limit.slack / daemons.max(1) as f64;
        let allowed = USED_SHARE * (by_requests + fixed);
        (sends.second.len() + 1) as f64 <= allowed
    }
}

fn entry<'a>(services: &'a mut HashMap<ServiceName, Sends>, service: &str) -> &'a mut Sends {
    if !services.contains_key(service) {
        services.insert(service.to_owned(), Sends::default());
    }
    services.entry(service.to_owned()).or_default()
}

impl Sends {
    fn forget(&mut self, window: Duration, now: Instant) {
        for times in [&mut self.requests, &mut self.second] {
            while times
                .front()
                .is_some_and(|time| now.saturating_duration_since(*time) > window)
            {
                times.pop_front();
            }
        }
    }
}
