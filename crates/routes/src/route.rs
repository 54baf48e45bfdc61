//! A route and the services that answer its requests.

use std::time::Duration;

use mangofront_settings::ids::ServiceName;
use serde::{Deserialize, Serialize};

use crate::place::AllowedRegions;

/// Whether a request may be retried after an attempt that ended without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RetrySafety {
    /// May run any number of times.
    Idempotent,
    /// May run at most once.
    AtMostOnce,
    /// Answered by a stream of numbered events.
    Stream {
        /// Whether another upstream can continue after the last event received.
        resumable: bool,
        /// Longest gap between two events for the answer to count as on time.
        gap: Duration,
    },
}

impl RetrySafety {
    /// Whether a request may be sent again after an attempt that may have run.
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
    /// Weight relative to the sum of the route's weights.
    pub weight: u32,
}

/// A route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Name, unique within a configuration version.
    pub name: String,
    /// Host of the requests.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be retried.
    pub safety: RetrySafety,
    /// Maximum time for which a caller waits.
    pub timeout: Duration,
    /// Target for the time to the answer, or to its first event.
    pub target: Duration,
    /// Priority among routes; 0 is the most urgent.
    pub priority: u8,
    /// Services that answer, with their weights.
    pub splits: Vec<Split>,
    /// Maximum number of upstreams to which one request may be sent.
    pub attempts: u32,
    /// Whether a request without a key is served.
    pub needs_no_key: bool,
    /// Regions in which its requests may run.
    pub allowed_regions: AllowedRegions,
}

impl Route {
    /// Selects the service for a request; `draw` is any number that differs between requests.
    #[must_use]
    pub fn service_for(&self, draw: u64) -> Option<&ServiceName> {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let mut remaining = draw.checked_rem(total)?;
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if remaining < weight {
                return Some(&split.service);
            }
            remaining -= weight;
        }
        None
    }
}
