//! Settings of the admission.

use mangofront_placement::Clock;

/// Requests that may wait at a time, unless set otherwise.
pub const DEFAULT_QUEUE_LIMIT: usize = 1_024;

/// Share of successes that may be spent on retries, unless set otherwise.
pub const DEFAULT_RETRY_SHARE: f64 = 0.1;

/// Builder of an [`Admission`](crate::Admission)'s settings.
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
    /// The default settings.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets how many requests may wait at a time.
    #[must_use]
    pub fn queue_limit(mut self, queue_limit: usize) -> Self {
        self.queue_limit = queue_limit;
        self
    }

    /// Sets the share of successes that may be spent on retries.
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
