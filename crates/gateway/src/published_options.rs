//! Periods and timeouts with which a daemon follows the published values.
//!
//! The values that a daemon considers current may be outdated: the confirmation of another
//! daemon has an age, the next query is sent only after a while, and a query as well as a
//! call to the source takes time. These delays add up, so they are derived from the bound
//! on their sum, which is the time within which a change has to take effect everywhere:
//!
//! ```text
//! confirmation_age_limit  until the confirmation of another daemon is too old
//! query_period            until the next query
//! QUERY_TIMEOUT           without a reply of the watchers
//! QUERY_TIMEOUT           without a reply of other daemons
//! SOURCE_CALL_TIME        for a call to the source
//! SEND_TIME               until a request has reached its upstream
//! ```
//!
//! The sum is an expected value. At run time the actual age is checked: a request is sent
//! only if the values were confirmed within
//! [`unconfirmed_limit`](PublishedOptions::unconfirmed_limit), or after other daemons were
//! queried.

use std::time::Duration;

/// Time for another daemon to reply to a query.
pub(crate) const QUERY_TIMEOUT: Duration = Duration::from_millis(200);

/// Time after a query during which a request does not trigger another one.
pub(crate) const REQUERY_INTERVAL: Duration = Duration::from_millis(100);

/// Time for the source to answer a call that waits for no change: many times the usual one.
const SOURCE_CALL_TIME: Duration = Duration::from_millis(100);

/// Time from the selection of an upstream until a request has reached it.
const SEND_TIME: Duration = Duration::from_millis(150);

/// Longest grace period of an upstream whose registration may have lapsed: live upstreams
/// register again within two seconds of the source's recovery.
const MAX_LAPSE_GRACE: Duration = Duration::from_millis(1_700);

/// Longest wait for a change in one call: the source is asked whether it answers once a call is
/// late, and its answer has to come before the gap counts as an interruption.
const LONGEST_WATCH_WAIT: Duration = Duration::from_millis(700);

/// Periods and timeouts for following the published values.
#[derive(Debug, Clone)]
pub struct PublishedOptions {
    /// Longest wait for a change in one call.
    ///
    /// Each call costs the platform, and each answer renews the lease on the keys: four
    /// calls fit into the lease, so that one may be lost.
    pub watch_wait: Duration,
    /// Time for an answer in addition to that wait: many times the usual few milliseconds,
    /// to allow for a source that is slow but available.
    pub answer_timeout: Duration,
    /// Time between two queries to other daemons.
    pub query_period: Duration,
    /// Age up to which another daemon's confirmation is accepted; an older one shows that
    /// the daemon is out of touch with the source itself.
    pub confirmation_age_limit: Duration,
    /// Time for each part of a full read.
    pub read_timeout: Duration,
    /// Pause after the first failed call; doubled up to `longest_retry_pause`.
    pub first_retry_pause: Duration,
    /// Longest pause after a failed call; within the second or two in which a recovery of
    /// the source should be noticed.
    pub longest_retry_pause: Duration,
    /// Minimum time between two calls after changes, so that a burst of changes is read
    /// with one call; well below the seconds in which a change must be in force.
    pub min_watch_interval: Duration,
    /// Grace period, from the source's recovery, of an upstream whose registration is
    /// missing.
    pub lapse_grace: Duration,
}

impl PublishedOptions {
    /// Options that renew a lease of `key_lease` well before it ends, and have a change
    /// take effect within `change_bound`, which must be at least
    /// [`MIN_CHANGE_BOUND`](mangofront_settings::process::MIN_CHANGE_BOUND).
    ///
    /// The confirmation of a watcher may be as old as one wait and one late answer, and the
    /// next query comes a period later: together half of the lease, so that a single loss
    /// never makes a daemon refuse requests.
    #[must_use]
    pub fn for_bounds(key_lease: Duration, change_bound: Duration) -> Self {
        let share = |of_lease: f64, of_bound: f64| {
            let by_lease = key_lease.mul_f64(of_lease);
            by_lease.min(change_bound.mul_f64(of_bound))
        };
        Self {
            watch_wait: share(0.24, 0.35).min(LONGEST_WATCH_WAIT),
            answer_timeout: Duration::from_millis(700),
            query_period: share(0.1, 0.13),
            confirmation_age_limit: share(0.4, 0.42),
            read_timeout: Duration::from_millis(2_000),
            first_retry_pause: Duration::from_millis(80),
            longest_retry_pause: Duration::from_millis(600),
            min_watch_interval: Duration::from_millis(250),
            lapse_grace: MAX_LAPSE_GRACE.min(change_bound.mul_f64(0.85)),
        }
    }

    /// Time without a confirmation after which other daemons are queried before a request
    /// is sent.
    #[must_use]
    pub fn unconfirmed_limit(&self) -> Duration {
        self.confirmation_age_limit + self.query_period + QUERY_TIMEOUT * 2
    }

    /// Longest time from a change until no request is sent any more by the values before
    /// it, at a daemon that reaches the source while the daemons that it queries do not.
    #[must_use]
    pub fn reaction_bound(&self) -> Duration {
        self.unconfirmed_limit() + SOURCE_CALL_TIME + SEND_TIME
    }
}
