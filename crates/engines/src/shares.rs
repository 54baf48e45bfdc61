//! Which share of the largest prompts is served.
//!
//! The largest prompts bring the most work for their worth, so they are the ones to
//! refuse when there is too much. Of each size of them most have to be served all the
//! same. So what became of each caller's request is kept for a while: of this daemon's
//! own and, by their news, of all others', since one of hundreds meets too few of them to
//! tell. A request counts once, however often its caller sends it, and one that was lost
//! after it was placed counts like one that was refused.

use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Names a request over all the times that its caller sends it.
///
/// Wide enough that nobody can find another request of the same name.
pub type RequestFingerprint = u128;

/// Time for which it is kept what became of a request: over two peaks and the time in
/// which their callers come back.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// Requests of which it is kept at most; the oldest go first.
const KEPT_LIMIT: usize = 16_384;

/// Requests of each size that count as served from the start: the first one could never
/// be refused without them, however much else there is to do.
const ADVANCE: u32 = 1;

/// Sizes that are told apart within a doubling.
const SIZES_A_DOUBLING: f64 = 1.5;

/// SizeClass of a prompt too long for one engine to read within its target, among those of the
/// same service and target.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SizeClass {
    /// Short name of the service and the target.
    kind: u32,
    step: u8,
}

impl SizeClass {
    /// The size of a prompt that one engine reads in `read_ms`; none if that is within
    /// its target.
    pub(crate) fn of(service: &str, read_ms: f64, target: Duration) -> Option<Self> {
        let target_ms = target.as_secs_f64() * 1_000.0;
        let targets = read_ms / target_ms.max(1.0);
        (targets > 1.0).then(|| Self {
            kind: xxh3_64_with_seed(service.as_bytes(), target_ms as u64) as u32,
            step: (targets.log2() * SIZES_A_DOUBLING) as u8,
        })
    }
}

/// What became of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Progress {
    /// It was refused for load.
    Refused,
    /// An upstream works on it.
    Placed,
    /// It was placed and not answered whole.
    Lost,
    /// It was answered whole.
    Served,
}

impl Progress {
    /// Whether it counts as not served.
    fn is_unserved(self) -> bool {
        match self {
            Self::Refused | Self::Lost => true,
            Self::Placed | Self::Served => false,
        }
    }
}

/// Requests of one size.
#[derive(Debug, Clone, Copy, Default)]
struct Tally {
    all: u32,
    unserved: u32,
}

#[derive(Debug, Clone, Copy)]
struct Kept {
    size: SizeClass,
    progress: Progress,
}

/// What became of the largest prompts lately.
#[derive(Debug, Default)]
pub(crate) struct Shares {
    kept: HashMap<RequestFingerprint, Kept>,
    /// In the order of their first news.
    since: VecDeque<(Instant, RequestFingerprint)>,
    tallies: HashMap<SizeClass, Tally>,
}

impl Shares {
    /// Notes what became of a request; whether that is news.
    pub(crate) fn note(
        &mut self,
        request: RequestFingerprint,
        size: SizeClass,
        progress: Progress,
        now: Instant,
    ) -> bool {
        self.forget_old(now);
        let before = self.kept.get(&request).copied();
        // LoadUpdate overtake each other, and nothing follows a whole answer.
        if before.is_some_and(|before| {
            before.progress == progress || before.progress == Progress::Served
        }) {
            return false;
        }
        match before {
            Some(before) => self.uncount(before),
            None => self.since.push_back((now, request)),
        }
        let kept = Kept { size, progress };
        self.kept.insert(request, kept);
        let tally = self.tallies.entry(size).or_default();
        tally.all += 1;
        tally.unserved += u32::from(progress.is_unserved());
        true
    }

    /// Whether at least `percent` of the requests of a size are served if this one is not.
    pub(crate) fn are_served_without(
        &self,
        request: RequestFingerprint,
        size: SizeClass,
        percent: u64,
    ) -> bool {
        let tally = self.tallies.get(&size).copied().unwrap_or_default();
        let before = self.kept.get(&request).filter(|kept| kept.size == size);
        let (all, unserved) = match before {
            Some(kept) if kept.progress.is_unserved() => (tally.all, tally.unserved),
            Some(_) => (tally.all, tally.unserved + 1),
            None => (tally.all + 1, tally.unserved + 1),
        };
        let all = all + ADVANCE;
        u64::from(all - unserved) * 100 >= percent * u64::from(all)
    }

    fn uncount(&mut self, kept: Kept) {
        if let Some(tally) = self.tallies.get_mut(&kept.size) {
            tally.all -= 1;
            tally.unserved -= u32::from(kept.progress.is_unserved());
            if tally.all == 0 {
                self.tallies.remove(&kept.size);
            }
        }
    }

    fn forget_old(&mut self, now: Instant) {
        while let Some((at, request)) = self.since.front().copied() {
            let is_old = now.saturating_duration_since(at) >= KEPT_FOR;
            if !is_old && self.since.len() < KEPT_LIMIT {
                return;
            }
            self.since.pop_front();
            if let Some(kept) = self.kept.remove(&request) {
                self.uncount(kept);
            }
        }
    }
}
