//! Settings of a gateway.

use std::time::Duration;

use mangofront_settings::ids::InstanceId;

use crate::retry_budget::RetryLimit;

/// Default of the time for which requests with a key are served without a confirmation.
const DEFAULT_KEY_LEASE: Duration = Duration::from_secs(5);

/// Share of the key lease after which requests with a key are refused.
///
/// The rest covers a second in which a watch does not report a change.
const KEY_LEASE_SHARE: f64 = 0.74;

/// Share of the key lease after which the daemon reports that it is not ready.
const READY_LEASE_SHARE: f64 = 0.6;

/// Settings of a [`crate::Gateway`].
#[derive(Debug, Clone)]
pub struct GatewayOptions {
    pub(crate) instance: InstanceId,
    pub(crate) key_lease: Duration,
    pub(crate) ready_lease: Duration,
    pub(crate) retry_limit: RetryLimit,
    pub(crate) reservation_hold: Duration,
    pub(crate) stall_timeout: Duration,
    pub(crate) answer_limit_bytes: usize,
    pub(crate) proxied_limit: usize,
    pub(crate) proxied_bodies_limit_bytes: usize,
}

impl GatewayOptions {
    /// Creates a builder with the name of this daemon.
    #[must_use]
    pub fn builder(instance: impl Into<InstanceId>) -> GatewayOptionsBuilder {
        GatewayOptionsBuilder {
            instance: instance.into(),
            key_lease: DEFAULT_KEY_LEASE,
            retry_limit: RetryLimit::default(),
            reservation_hold: Duration::from_secs(3),
            stall_timeout: Duration::from_millis(1_500),
            proxied_limit: 256,
            proxied_bodies_limit_bytes: 64 * 1024 * 1024,
        }
    }
}

/// Builder of [`GatewayOptions`].
#[derive(Debug, Clone)]
pub struct GatewayOptionsBuilder {
    instance: InstanceId,
    key_lease: Duration,
    retry_limit: RetryLimit,
    reservation_hold: Duration,
    stall_timeout: Duration,
    proxied_limit: usize,
    proxied_bodies_limit_bytes: usize,
}

impl GatewayOptionsBuilder {
    /// Longest time for which a revoked key may be accepted; 5 s by default.
    #[must_use]
    pub fn key_lease(mut self, time: Duration) -> Self {
        self.key_lease = time;
        self
    }

    /// Limit on retries of all daemons together.
    #[must_use]
    pub fn retry_limit(mut self, limit: RetryLimit) -> Self {
        self.retry_limit = limit;
        self
    }

    /// Time for which a reservation outlives this daemon; 3 s by default.
    #[must_use]
    pub fn reservation_hold(mut self, time: Duration) -> Self {
        self.reservation_hold = time;
        self
    }

    /// Time after which engines give up on a helper; 1.5 s by default.
    #[must_use]
    pub fn stall_timeout(mut self, time: Duration) -> Self {
        self.stall_timeout = time;
        self
    }

    /// Attempts of other daemons that are forwarded at once; 256 by default.
    #[must_use]
    pub fn proxied_limit(mut self, attempts: usize) -> Self {
        self.proxied_limit = attempts;
        self
    }

    /// Sum of the bodies of these attempts, in bytes; 64 MiB by default.
    #[must_use]
    pub fn proxied_bodies_limit_bytes(mut self, bytes: usize) -> Self {
        self.proxied_bodies_limit_bytes = bytes;
        self
    }

    /// Builds the settings.
    #[must_use]
    pub fn build(self) -> GatewayOptions {
        GatewayOptions {
            instance: self.instance,
            key_lease: self.key_lease.mul_f64(KEY_LEASE_SHARE),
            ready_lease: self.key_lease.mul_f64(READY_LEASE_SHARE),
            retry_limit: self.retry_limit,
            reservation_hold: self.reservation_hold,
            stall_timeout: self.stall_timeout,
            answer_limit_bytes: 8 * 1024 * 1024,
            proxied_limit: self.proxied_limit,
            proxied_bodies_limit_bytes: self.proxied_bodies_limit_bytes,
        }
    }
}
