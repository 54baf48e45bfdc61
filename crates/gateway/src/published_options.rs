//! Times by which a daemon keeps up with what is published.
//!
//! What a daemon holds for current may be older than it knows: a neighbour's word has an
//! age, the next question comes after a while, and both it and a call of one's own take
//! time. These parts follow each other, so they are made from the bound on their sum, the
//! time within which a change has to be acted on everywhere:
//!
//! ```text
//! change .. teller too old .. asked .. no answer .. others asked .. own call .. request sent
//!         confirmation_age_limit  query_period  ASK_TIMEOUT   ASK_TIMEOUT    CALL_TIME  SEND_TIME
//! ```
//!
//! The sum is what is expected. What is acted on is measured: a request is sent by what was
//! confirmed within [`unconfirmed_limit`](PublishedOptions::unconfirmed_limit), or after
//! others were asked.

use std::time::Duration;

/// Time for another daemon to answer a datagram.
pub(crate) const ASK_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after a question in which it is not asked again for the sake of a request.
pub(crate) const ASK_AGAIN_AFTER: Duration = Duration::from_millis(100);

/// Time for the source to answer a call that has not to wait: many times the usual.
const CALL_TIME: Duration = Duration::from_millis(100);

/// Time from the choice of an upstream until a request has reached it.
const SEND_TIME: Duration = Duration::from_millis(150);

/// Longest time for which an upstream is kept whose registration may have lapsed: live
/// ones are back within two seconds of the source's return.
const LONGEST_LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// Times of the reading of published values.
#[derive(Debug, Clone)]
pub struct PublishedOptions {
    /// Longest wait for a change in one call.
    ///
    /// Each call costs the platform, and each answer renews the lease on the
    /// keys: four calls fit into the lease, so that one may be lost.
    pub watch_wait: Duration,
    /// Time for an answer beyond that wait: many times the usual few
    /// milliseconds, for a source that is slow but there.
    pub answer_timeout: Duration,
    /// Time between two questions to other daemons.
    pub query_period: Duration,
    /// Age up to which what another daemon knows confirms what is in force here; older, it
    /// is out of touch itself.
    pub confirmation_age_limit: Duration,
    /// Time for each part of a reading of everything.
    pub read_timeout: Duration,
    /// Pause after a failed call; doubled up to `longest_retry_pause`.
    pub first_retry_pause: Duration,
    /// Longest pause after a failed call; within the second or two in which a
    /// source's return should be noticed.
    pub longest_retry_pause: Duration,
    /// Least time between two calls after changes, so that a burst of changes
    /// is read at once; well below the seconds in which one must be in force.
    pub min_watch_interval: Duration,
    /// Time after the source's return for which an upstream is kept whose
    /// registration is missing.
    pub lapse_grace: Duration,
}

impl PublishedOptions {
    /// Times that renew a lease of `key_lease` well before it ends, and have a change
    /// acted on within `change_bound`,
    /// [`MIN_CHANGE_BOUND`](mangofront_settings::process::MIN_CHANGE_BOUND) at least.
    ///
    /// What a daemon that watches tells may be as old as one wait and one late answer, and
    /// the next question comes a period later: together half of the lease, so
    /// that a single loss never makes a daemon refuse requests.
    #[must_use]
    pub fn for_bounds(key_lease: Duration, change_bound: Duration) -> Self {
        let share = |of_lease: f64, of_bound: f64| {
            let by_lease = key_lease.mul_f64(of_lease);
            by_lease.min(change_bound.mul_f64(of_bound))
        };
        Self {
            watch_wait: share(0.24, 0.35),
            answer_timeout: Duration::from_millis(700),
            query_period: share(0.1, 0.13),
            confirmation_age_limit: share(0.4, 0.42),
            read_timeout: Duration::from_millis(2_000),
            first_retry_pause: Duration::from_millis(80),
            longest_retry_pause: Duration::from_millis(600),
            min_watch_interval: Duration::from_millis(250),
            lapse_grace: LONGEST_LAPSE_GRACE.min(change_bound.mul_f64(0.85)),
        }
    }

    /// Time without a confirmation after which others are asked before a request is sent.
    #[must_use]
    pub fn unconfirmed_limit(&self) -> Duration {
        self.confirmation_age_limit + self.query_period + ASK_TIMEOUT * 2
    }

    /// Longest time from a change until no request is sent any more by what was before
    /// it, at a daemon that reaches the source while those that it asks do not.
    #[must_use]
    pub fn reaction_bound(&self) -> Duration {
        self.unconfirmed_limit() + CALL_TIME + SEND_TIME
    }
}
