//! Options of one process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::ids::Process;

/// Options of a [`crate::Once`].
#[derive(Debug, Clone)]
pub struct OnceOptions {
    pub(crate) process: Process,
    pub(crate) call_timeout: Duration,
    pub(crate) claim_timeout: Duration,
    pub(crate) run_start_limit: Duration,
    pub(crate) clock_margin: Duration,
    pub(crate) poll_interval: Duration,
    pub(crate) hand_over_limit: Duration,
    pub(crate) max_records: usize,
    pub(crate) max_answer_bytes: usize,
    pub(crate) max_answers_bytes: usize,
    pub(crate) started_unix_ms: u64,
    pub(crate) disabled: DisabledSafeguard,
}

/// Safeguard that a test disables, to show that a failure occurs without it.
#[cfg_attr(
    not(feature = "weaken"),
    expect(dead_code, reason = "constructed only with the feature `weaken`")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DisabledSafeguard {
    /// All safeguards are enabled.
    #[default]
    None,
    /// One grant is enough to run, instead of a majority.
    Majority,
    /// A voter that just started votes without synchronising.
    Synchronisation,
    /// Grants of earlier incarnations of a voter count.
    IncarnationFence,
}

impl OnceOptions {
    /// Default options; `incarnation` increases with each start of `instance`.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            process: Process {
                instance,
                incarnation,
            },
            call_timeout: Duration::from_millis(500),
            claim_timeout: Duration::from_secs(3),
            run_start_limit: Duration::from_secs(10),
            clock_margin: Duration::from_secs(2),
            poll_interval: Duration::from_millis(20),
            hand_over_limit: Duration::from_secs(30),
            max_records: 40_000,
            max_answer_bytes: 4 << 10,
            max_answers_bytes: 8 << 20,
            started_unix_ms: unix_ms(),
            disabled: DisabledSafeguard::None,
        }
    }

    /// Longest time for one call to a peer.
    #[must_use]
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Longest time for which an order retries to get a majority or to reach its
    /// key's home before it is answered without; an earlier deadline of the order
    /// takes precedence.
    #[must_use]
    pub fn claim_timeout(mut self, claim_timeout: Duration) -> Self {
        self.claim_timeout = claim_timeout;
        self
    }

    /// Longest time from the opening of a claim to the first byte of its run.
    #[must_use]
    pub fn run_start_limit(mut self, limit: Duration) -> Self {
        self.run_start_limit = limit;
        self
    }

    /// Bound on the difference between two wall clocks; records are kept for this
    /// much longer than the idempotency window and the limit for the start of a run.
    #[must_use]
    pub fn clock_margin(mut self, margin: Duration) -> Self {
        self.clock_margin = margin;
        self
    }

    /// Mean pause between two attempts to claim a key, and the shortest between
    /// two reads of other voters' records.
    #[must_use]
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.poll_interval = interval;
        self
    }

    /// Longest time for which a graceful shutdown waits for runs in progress.
    #[must_use]
    pub fn hand_over_limit(mut self, limit: Duration) -> Self {
        self.hand_over_limit = limit;
        self
    }

    /// Most records kept; when there are as many, new keys are refused and no
    /// record is evicted.
    #[must_use]
    pub fn max_records(mut self, count: usize) -> Self {
        self.max_records = count;
        self
    }

    /// Largest body of an answer that is kept complete, in bytes; of a larger one,
    /// only the digest is kept.
    #[must_use]
    pub fn max_answer_bytes(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Most bytes of all answers kept; of an answer beyond it, only the digest is
    /// kept.
    #[must_use]
    pub fn max_answers_bytes(mut self, bytes: usize) -> Self {
        self.max_answers_bytes = bytes;
        self
    }

    /// Wall-clock start of the process in Unix milliseconds; by default the time
    /// at which the options were created.
    #[must_use]
    pub fn started_unix_ms(mut self, started: u64) -> Self {
        self.started_unix_ms = started;
        self
    }

    /// Disables one safeguard.
    #[cfg(feature = "weaken")]
    #[must_use]
    pub fn disable(mut self, disabled: DisabledSafeguard) -> Self {
        self.disabled = disabled;
        self
    }
}

/// Longest retention of a record. A longer one, published or sent by a peer,
/// could overflow [`Instant`].
const MAX_RETENTION: Duration = Duration::from_hours(366 * 24);

/// Time at which a record that is kept for `retention` from `now` on expires.
pub(crate) fn expiry(now: Instant, retention: Duration) -> Instant {
    now + retention.min(MAX_RETENTION)
}

/// Wall-clock time in Unix milliseconds.
pub(crate) fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, duration_ms)
}

pub(crate) fn duration_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
