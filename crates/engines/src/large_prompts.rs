//! Outcomes of the largest prompts.
//!
//! The largest prompts need the most work for their value, so under overload they are refused
//! first. Most prompts of each size class have to be served all the same. The outcome of each
//! caller's request is therefore retained for a while, for the requests of this daemon and, through
//! their updates, of all others, since one daemon among hundreds sees too few of them. A request
//! counts once, however often its caller retries, and one that was lost after placement counts like
//! a refused one.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use mangofront_quarantine::RequestFingerprint;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Time for which an outcome is retained: more than two load peaks and the time in which their
/// callers retry.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of requests retained; the oldest are removed first.
const MAX_REQUESTS: usize = 16_384;

/// Requests of each size class assumed served from the start: without them the first one could
/// never be refused, whatever the load.
const ASSUMED_SERVED: u32 = 1;

/// Number of size classes per doubling of the prefill time.
const SIZE_CLASSES_PER_DOUBLING: f64 = 1.5;

/// Size class of a prompt that one engine can't prefill within its target, among prompts with the
/// same service and target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SizeClass {
    /// Hash of the service and the target.
    kind: u32,
    step: u8,
}

impl SizeClass {
    /// The size class of a prompt that one engine prefills in `prefill_ms`; `None` if that is
    /// within the target.
    pub(crate) fn of(service: &str, prefill_ms: f64, target: Duration) -> Option<Self> {
        let target_ms = target.as_secs_f64() * 1_000.0;
        let targets = prefill_ms / target_ms.max(1.0);
        (targets > 1.0).then(|| Self {
            kind: xxh3_64_with_seed(service.as_bytes(), target_ms as u64) as u32,
            step: (targets.log2() * SIZE_CLASSES_PER_DOUBLING) as u8,
        })
    }
}

/// State of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// Refused because of load.
    Refused,
    /// An upstream works on it.
    Placed,
    /// Placed, but not answered completely.
    Lost,
    /// Answered completely.
    Served,
}

impl Progress {
    /// Whether the request counts as not served.
    fn is_unserved(self) -> bool {
        match self {
            Self::Refused | Self::Lost => true,
            Self::Placed | Self::Served => false,
        }
    }
}

/// Number of requests in one size class.
#[derive(Debug, Clone, Copy, Default)]
struct Counts {
    total: u32,
    unserved: u32,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    size: SizeClass,
    progress: Progress,
}

/// Recent outcomes of the largest prompts.
#[derive(Debug, Default)]
pub(crate) struct LargePrompts {
    retained: HashMap<RequestFingerprint, Entry>,
    /// In the order in which they were first recorded.
    by_age: VecDeque<(Instant, RequestFingerprint)>,
    counts: HashMap<SizeClass, Counts>,
}

impl LargePrompts {
    /// Records the state of a request; returns whether it is new information.
    pub(crate) fn record(
        &mut self,
        request: RequestFingerprint,
        size: SizeClass,
        progress: Progress,
        now: Instant,
    ) -> bool {
        self.remove_expired(now);
        let previous = self.retained.get(&request).copied();
        // Updates may arrive out of order, and nothing follows a complete answer.
        if previous.is_some_and(|previous| {
            previous.progress == progress || previous.progress == Progress::Served
        }) {
            return false;
        }
        match previous {
            Some(previous) => self.uncount(previous),
            None => self.by_age.push_back((now, request)),
        }
        let entry = Entry { size, progress };
        self.retained.insert(request, entry);
        let counts = self.counts.entry(size).or_default();
        counts.total += 1;
        counts.unserved += u32::from(progress.is_unserved());
        true
    }

    /// Whether at least `percent` of the requests in a size class are served if this one is not.
    pub(crate) fn meets_served_share_without(
        &self,
        request: RequestFingerprint,
        size: SizeClass,
        percent: u64,
    ) -> bool {
        let counts = self.counts.get(&size).copied().unwrap_or_default();
        let previous = self
            .retained
            .get(&request)
            .filter(|entry| entry.size == size);
        let (total, unserved) = match previous {
            Some(entry) if entry.progress.is_unserved() => (counts.total, counts.unserved),
            Some(_) => (counts.total, counts.unserved + 1),
            None => (counts.total + 1, counts.unserved + 1),
        };
        let total = total + ASSUMED_SERVED;
        u64::from(total - unserved) * 100 >= percent * u64::from(total)
    }

    fn uncount(&mut self, entry: Entry) {
        if let Some(counts) = self.counts.get_mut(&entry.size) {
            counts.total -= 1;
            counts.unserved -= u32::from(entry.progress.is_unserved());
            if counts.total == 0 {
                self.counts.remove(&entry.size);
            }
        }
    }

    fn remove_expired(&mut self, now: Instant) {
        while let Some((at, request)) = self.by_age.front().copied() {
            let is_old = now.saturating_duration_since(at) >= RETENTION;
            if !is_old && self.by_age.len() < MAX_REQUESTS {
                return;
            }
            self.by_age.pop_front();
            if let Some(entry) = self.retained.remove(&request) {
                self.uncount(entry);
            }
        }
    }
}
