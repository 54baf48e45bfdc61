//! How long upstreams usually take.
//!
//! For each service and each kind of wait the mean and the mean deviation of the times seen are
//! kept, as they change slowly; a wait that is longer by several deviations is unusual.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use mangofront_settings::ids::ServiceName;

/// Weight of a new time in the mean.
const MEAN_WEIGHT: f64 = 1.0 / 64.0;

/// Weight of a new time in the deviation.
const DEVIATION_WEIGHT: f64 = 1.0 / 32.0;

/// Deviations above the mean up to which a time is usual.
const USUAL_DEVIATIONS: f64 = 6.0;

/// Times from which on the estimate is used.
const MIN_TIMES: u32 = 32;

/// What is waited for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Wait {
    /// The first event of a stream, from the time at which it was predicted.
    FirstEvent,
    /// The next event of a stream.
    NextEvent,
    /// An answer that is not a stream.
    Answer,
}

/// Usual times of services.
#[derive(Debug, Default)]
pub struct UsualTimes(RefCell<HashMap<(ServiceName, Wait), Estimate>>);

#[derive(Debug, Default)]
struct Estimate {
    mean_s: f64,
    deviation_s: f64,
    count: u32,
}

impl UsualTimes {
    /// Records a time that an upstream of a service took.
    pub fn record(&self, service: &str, wait: Wait, time: Duration) {
        let mut estimates = self.0.borrow_mut();
        let estimate = estimates.entry((service.to_owned(), wait)).or_default();
        let time_s = time.as_secs_f64();
        if estimate.count == 0 {
            estimate.mean_s = time_s;
        }
        let difference_s = time_s - estimate.mean_s;
        estimate.mean_s += MEAN_WEIGHT * difference_s;
        estimate.deviation_s += DEVIATION_WEIGHT * (difference_s.abs() - estimate.deviation_s);
        estimate.count = estimate.count.saturating_add(1);
    }

    /// Longest usual time of a service; `None` while too little is known.
    #[must_use]
    pub fn longest(&self, service: &str, wait: Wait) -> Option<Duration> {
        let estimates = self.0.borrow();
        let estimate = estimates.get(&(service.to_owned(), wait))?;
        let longest_s = estimate.mean_s + USUAL_DEVIATIONS * estimate.deviation_s;
        (estimate.count >= MIN_TIMES).then(|| Duration::from_secs_f64(longest_s.max(0.0)))
    }
}
