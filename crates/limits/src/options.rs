//! Times that the daemons of a fleet have to agree on.

use std::time::Duration;

/// Settings of the parts of this crate; the same at all daemons.
#[derive(Debug, Clone)]
pub struct LimitOptions {
    pub(crate) share_use: Duration,
    pub(crate) horizon: Duration,
    pub(crate) permit_lifetime: Duration,
    pub(crate) margin: Duration,
    pub(crate) least_per_s: f64,
    pub(crate) forget_daemon_after: Duration,
}

impl Default for LimitOptions {
    fn default() -> Self {
        Self {
            share_use: Duration::from_millis(2_400),
            horizon: Duration::from_secs(1),
            permit_lifetime: Duration::from_millis(250),
            margin: Duration::from_millis(350),
            least_per_s: 0.5,
            forget_daemon_after: Duration::from_secs(600),
        }
    }
}

impl LimitOptions {
    /// Time for which a coordinator uses a share that was lent to it; 2.4 s by default.
    #[must_use]
    pub fn share_use(mut self, time: Duration) -> Self {
        self.share_use = time;
        self
    }

    /// Time ahead for which permits are granted; 1 s by default.
    #[must_use]
    pub fn horizon(mut self, time: Duration) -> Self {
        self.horizon = time;
        self
    }

    /// Time for which a permit may be used; 250 ms by default.
    #[must_use]
    pub fn permit_lifetime(mut self, time: Duration) -> Self {
        self.permit_lifetime = time;
        self
    }

    /// Requests per second that are sent even if a limit is lower, as only an answer tells that
    /// the limit has ended; 0.5 by default.
    #[must_use]
    pub fn least_per_s(mut self, per_s: f64) -> Self {
        self.least_per_s = per_s;
        self
    }

    /// Time for which a daemon that can't be reached keeps its share, and for which one is expected
    /// that was never seen; 10 min by default.
    #[must_use]
    pub fn forget_daemon_after(mut self, time: Duration) -> Self {
        self.forget_daemon_after = time;
        self
    }

    /// Time for which a daemon lends its share to one coordinator: until no permit that was
    /// granted by virtue of it can be used any more.
    #[must_use]
    pub fn share_lease(&self) -> Duration {
        self.share_use + self.horizon + self.permit_lifetime + self.margin
    }
}
