//! Limits of one process.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mangofront_settings::ids::{Incarnation, InstanceId};

use crate::ids::Process;

/// Options of a [`crate::Once`], built from the process's name.
#[derive(Debug, Clone)]
pub struct OnceOptions {
    pub(crate) process: Process,
    pub(crate) call_timeout: Duration,
    pub(crate) patience: Duration,
    pub(crate) run_start_limit: Duration,
    pub(crate) clock_margin: Duration,
    pub(crate) poll_interval: Duration,
    pub(crate) hand_over_limit: Duration,
    pub(crate) max_records: usize,
    pub(crate) max_answer_bytes: usize,
    pub(crate) max_answers_bytes: usize,
    pub(crate) started_unix_ms: u64,
    pub(crate) weakness: Weakness,
}

/// Mechanism that a test switches off.
#[cfg_attr(
    not(feature = "weaken"),
    expect(dead_code, reason = "tests alone weaken")
)]
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Weakness {
    /// All mechanisms are on.
    #[default]
    None,
    /// One grant is enough to run.
    MajorityOfOne,
    /// A fresh voter votes without synchronising.
    NoSynchronisation,
    /// Grants of a voter's earlier life count.
    NoIncarnationFence,
}

impl OnceOptions {
    /// Options with default limits; `incarnation` grows with each start of
    /// `instance`.
    #[must_use]
    pub fn new(instance: InstanceId, incarnation: Incarnation) -> Self {
        Self {
            process: Process {
                instance,
                incarnation,
            },
            call_timeout: Duration::from_millis(500),
            patience: Duration::from_secs(3),
            run_start_limit: Duration::from_secs(10),
            clock_margin: Duration::from_secs(2),
            poll_interval: Duration::from_millis(20),
            hand_over_limit: Duration::from_secs(30),
            max_records: 40_000,
            max_answer_bytes: 4 << 10,
            max_answers_bytes: 8 << 20,
            started_unix_ms: unix_ms(),
            weakness: Weakness::None,
        }
    }

    /// Time that one call to a peer may take.
    #[must_use]
    pub fn call_timeout(mut self, timeout: Duration) -> Self {
        self.call_timeout = timeout;
        self
    }

    /// Time for which a call looks for a majority, or for a key's home, before
    /// it is answered without one; its deadline comes first.
    #[must_use]
    pub fn patience(mut self, patience: Duration) -> Self {
        self.patience = patience;
        self
    }

    /// Longest time between a claim and the first byte of its run.
    #[must_use]
    pub fn run_start_limit(mut self, limit: Duration) -> Self {
        self.run_start_limit = limit;
        self
    }

    /// Bound on the difference between two wall clocks, and what records are
    /// kept for beyond the idempotency window.
    #[must_use]
    pub fn clock_margin(mut self, margin: Duration) -> Self {
        self.clock_margin = margin;
        self
    }

    /// Pause between two questions about a run in progress.
    #[must_use]
    pub fn poll_interval(mut self, interval: Duration) -> Self {
        self.poll_interval = interval;
        self
    }

    /// Longest time that a graceful shutdown waits for runs in progress.
    #[must_use]
    pub fn hand_over_limit(mut self, limit: Duration) -> Self {
        self.hand_over_limit = limit;
        self
    }

    /// Number of records kept; beyond it new keys are refused, none is evicted.
    #[must_use]
    pub fn max_records(mut self, count: usize) -> Self {
        self.max_records = count;
        self
    }

    /// Largest answer that is kept whole, in bytes.
    #[must_use]
    pub fn max_answer_bytes(mut self, bytes: usize) -> Self {
        self.max_answer_bytes = bytes;
        self
    }

    /// Bytes of all answers kept; beyond it an answer keeps its digest only.
    #[must_use]
    pub fn max_answers_bytes(mut self, bytes: usize) -> Self {
        self.max_answers_bytes = bytes;
        self
    }

    /// Wall-clock start of the process in Unix milliseconds; now by default.
    #[must_use]
    pub fn started_unix_ms(mut self, started: u64) -> Self {
        self.started_unix_ms = started;
        self
    }

    /// Switches one mechanism off.
    #[cfg(feature = "weaken")]
    #[must_use]
    pub fn weaken(mut self, weakness: Weakness) -> Self {
        self.weakness = weakness;
        self
    }
}

/// Longest time that anything is kept. Longer ones, published or sent by a
/// peer, would not fit the clock's range.
const LONGEST_KEEP: Duration = Duration::from_hours(366 * 24);

/// Time at which what is kept for `keep` from `now` on expires.
pub(crate) fn expiry(now: Instant, keep: Duration) -> Instant {
    now + keep.min(LONGEST_KEEP)
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
