//! One route and where its requests may go.

use std::time::Duration;

use mangofront_settings::ids::ServiceName;
use serde::{Deserialize, Serialize};

/// What may be done with a request whose first attempt ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// May run any number of times.
    Idempotent,
    /// May run once at most.
    AtMostOnce,
    /// Answered by a stream of numbered events.
    Stream {
        /// Whether another upstream can go on after the last event received.
        resumable: bool,
        /// Longest pause between two events of an answer that is in time.
        gap: Duration,
    },
}

impl RetrySafety {
    /// Whether a request may be sent again after one that may have run.
    #[must_use]
    pub fn may_retry(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::AtMostOnce => false,
            Self::Stream { resumable, .. } => resumable,
        }
    }

    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// A service and its share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Split {
    /// Name of the service.
    pub service: ServiceName,
    /// Share, against the sum of the route's shares.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique in its version.
    pub name: String,
    /// Host that the request names.
    pub host: String,
    /// Start of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub safety: RetrySafety,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time to the answer, or to its first event, that operators aim at.
    pub target: Duration,
    /// Rank among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that answer, with their shares.
    pub splits: Vec<Split>,
    /// Most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether a request without a known key is served.
    pub needs_no_key: bool,
}

impl Route {
    /// The service for a request; `draw` is any number that differs from request to request.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let mut left = draw.checked_rem(total)?;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if left < weight {
                return Some(&split.service);
            }
            left -= weight;
        }
        None
    }
}
