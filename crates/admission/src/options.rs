//! Options of an admission control.

use mangofront_placement::Clock;

/// Default limit on the requests waiting in each lane.
pub const DEFAULT_QUEUE_LIMIT: usize = 1_024;

/// Default number of retries allowed per successful request.
pub const DEFAULT_RETRY_SHARE: f64 = 0.1;

/// Options of an [`Admission`](crate::Admission), set by builder methods.
#[derive(Debug, Clone)]
pub struct AdmissionOptions {
    pub(crate) queue_limit: usize,
    pub(crate) retry_share: f64,
    pub(crate) clock: Clock,
}

impl Default for AdmissionOptions {
    fn default() -> Self {
        Self {
            queue_limit: DEFAULT_QUEUE_LIMIT,
            retry_share: DEFAULT_RETRY_SHARE,
            clock: Clock::monotonic(),
        }
    }
}

impl AdmissionOptions {
    /// Creates the default options.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the limit on the requests waiting in each lane.
    #[must_use]
    pub fn queue_limit(mut self, queue_limit: usize) -> Self {
        self.queue_limit = queue_limit;
        self
    }

    /// Sets the number of retries allowed per successful request, from 0 to 1.
    #[must_use]
    pub fn retry_share(mut self, retry_share: f64) -> Self {
        self.retry_share = retry_share;
        self
    }

    /// Sets the clock.
    #[must_use]
    pub fn clock(mut self, clock: Clock) -> Self {
        self.clock = clock;
        self
    }
}
