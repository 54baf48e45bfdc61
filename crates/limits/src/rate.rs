//! A rate limit as an upstream names it.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Requests per second that an upstream takes from all daemons together.
#[derive(Debug, Clone, Copy, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(try_from = "f64", into = "f64")]
pub struct RateLimit(f64);

impl RateLimit {
    /// A limit of `per_s` requests per second; `None` unless it is finite and not negative.
    #[must_use]
    pub fn new(per_s: f64) -> Option<Self> {
        // Negative zero would change the sign of what is computed from it.
        (per_s.is_finite() && per_s >= 0.0).then_some(Self(per_s.abs()))
    }

    /// Requests per second.
    #[must_use]
    pub const fn per_s(self) -> f64 {
        self.0
    }

    /// The lower of two limits.
    #[must_use]
    pub fn min(self, other: Self) -> Self {
        if other.0 < self.0 { other } else { self }
    }

    /// Time between two requests at `share` of the limit, or of `least_per_s` if the limit is
    /// lower; `None` if nothing may be sent.
    pub(crate) fn interval(self, share: f64, least_per_s: f64) -> Option<Duration> {
        let per_s = self.0.max(least_per_s) * share;
        Duration::try_from_secs_f64(per_s.recip()).ok()
    }
}

impl TryFrom<f64> for RateLimit {
    type Error = &'static str;

    fn try_from(per_s: f64) -> Result<Self, Self::Error> {
        Self::new(per_s).ok_or("a rate limit is finite and not negative")
    }
}

impl From<RateLimit> for f64 {
    fn from(limit: RateLimit) -> Self {
        limit.0
    }
}

/// What an answer says of its upstream's rate limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum NamedLimit {
    /// It names none.
    #[default]
    Absent,
    /// It names one.
    Named(RateLimit),
    /// It has a value that can't be understood; says nothing.
    Invalid,
}
