//! State of one upstream.

use std::rc::Rc;
use std::time::{Duration, Instant};

use mangofront_routes::{EngineProfile, Upstream};

use crate::health::Health;
use crate::work::{ShareLoad, UpstreamKey, Work, key_of};

/// Delay of a first event beyond its expected time from which the upstream counts as late.
const FIRST_EVENT_GRACE: Duration = Duration::from_millis(150);

/// Largest lateness that is taken into account, in milliseconds: enough to prefer another upstream,
/// little enough that one that is merely slow stays in use.
const MAX_LATENESS_MS: f64 = 500.0;

/// One upstream with its health and its prefill queue.
#[derive(Debug)]
pub(crate) struct UpstreamState {
    pub(crate) key: UpstreamKey,
    pub(crate) registration: Upstream,
    pub(crate) profile: Option<Rc<EngineProfile>>,
    pub(crate) health: Health,
    /// Whether it may have left, as it has no reliable registration.
    pub(crate) is_unconfirmed: bool,
    /// When everything placed on it is prefilled, by its published profile.
    busy_until: Instant,
}

/// Sum of the work on one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub(crate) struct Load {
    /// Time until everything placed is prefilled, in milliseconds.
    pub(crate) backlog_ms: f64,
    /// Part of the backlog that is lateness of first events, in milliseconds.
    pub(crate) lateness_ms: f64,
    /// Part of the lateness for which one of several upstreams is the cause, in
    /// milliseconds.
    pub(crate) shared_lateness_ms: f64,
    /// Requests that it answers, in prefill or decode.
    pub(crate) answering: u32,
    /// Requests of other upstreams for which it prefills a share.
    pub(crate) helping: u32,
    /// Requests in decode.
    pub(crate) decoding: u32,
    /// Context of the requests in decode, in tokens.
    pub(crate) context_tokens: u64,
    /// Memory allocated, in tokens.
    pub(crate) memory_tokens: u64,
    /// Shortest gap that an answer of this upstream allows, in milliseconds.
    pub(crate) shortest_gap_ms: Option<f64>,
}

impl UpstreamState {
    pub(crate) fn new(
        registration: Upstream,
        profile: Option<Rc<EngineProfile>>,
        now: Instant,
    ) -> Self {
        Self {
            key: key_of(&registration),
            registration,
            profile,
            health: Health::default(),
            is_unconfirmed: false,
            busy_until: now,
        }
    }

    /// The same upstream with its current registration and profile.
    pub(crate) fn with_registration(
        self,
        registration: Upstream,
        profile: Option<Rc<EngineProfile>>,
    ) -> Self {
        Self {
            registration,
            profile,
            ..self
        }
    }

    /// Requests that run concurrently.
    pub(crate) fn slots(&self) -> u32 {
        self.profile
            .as_ref()
            .map_or(self.registration.slots, |profile| profile.slots)
    }

    /// Appends the prefill of a share to the queue.
    pub(crate) fn enqueue_prefill(&mut self, prefill_ms: f64, now: Instant) {
        let start = self.busy_until.max(now);
        self.busy_until = start + Duration::from_secs_f64(prefill_ms.max(0.0) / 1_000.0);
    }

    /// Computes the load from the summed work of this upstream.
    fn finish(&self, sum: LoadSum, now: Instant) -> Load {
        let LoadSum {
            mut load,
            unfinished_ms,
            late_ms,
            own_late_ms,
        } = sum;
        if unfinished_ms > 0.0 {
            // Work that was refused, cancelled or prefilled sooner than planned is still part of
            // `busy_until`, but no longer of the unfinished work.
            let planned = self.busy_until.saturating_duration_since(now);
            let planned_ms = planned.as_secs_f64() * 1_000.0;
            load.backlog_ms = planned_ms.min(unfinished_ms) + late_ms;
            load.lateness_ms = late_ms;
            load.shared_lateness_ms = late_ms - own_late_ms;
        }
        load
    }
}

/// Accumulated work of one upstream.
#[derive(Debug, Clone, Copy, Default)]
struct LoadSum {
    load: Load,
    /// Time to prefill all unfinished work, in milliseconds.
    unfinished_ms: f64,
    /// Lateness of the most overdue first event, in milliseconds.
    late_ms: f64,
    /// Largest lateness of a first event as far as it speaks against this upstream, in
    /// milliseconds.
    own_late_ms: f64,
}

/// The loads of `upstreams`, which is sorted by key, in the same order.
///
/// Sums up the work of all upstreams in one iteration: there are hundreds of requests on dozens of
/// engines, and this runs for every placement.
pub(crate) fn loads<'a>(
    upstreams: &[UpstreamState],
    work: impl Iterator<Item = &'a Work>,
    now: Instant,
) -> Vec<Load> {
    let mut sums = vec![LoadSum::default(); upstreams.len()];
    for work in work {
        for (position, share) in work.shares.iter().enumerate() {
            // A share on an upstream that is gone does not count.
            let Ok(index) = upstreams.binary_search_by_key(&share.upstream, |one| one.key) else {
                continue;
            };
            let sum = &mut sums[index];
            sum.load.add(work, share, position == 0);
            if work.is_prefilling {
                sum.unfinished_ms += share.prefill_ms;
                let late_ms = lateness_ms(work, now);
                sum.late_ms = sum.late_ms.max(late_ms);
                // The slowest share delays it, but shares of one prompt are often slow together.
                let own_late_ms = late_ms / (work.shares.len() as f64).sqrt();
                sum.own_late_ms = sum.own_late_ms.max(own_late_ms);
            }
        }
    }
    let finished = upstreams.iter().zip(sums);
    finished.map(|(one, sum)| one.finish(sum, now)).collect()
}

impl Load {
    /// Occupied slots: the prefill of a share for another upstream takes a slot like a request of
    /// its own.
    pub(crate) fn running(&self) -> u32 {
        self.answering + self.helping
    }

    fn add(&mut self, work: &Work, share: &ShareLoad, answers: bool) {
        if answers {
            self.answering += 1;
            let shortest = self.shortest_gap_ms.unwrap_or(f64::INFINITY);
            self.shortest_gap_ms = Some(shortest.min(work.gap_ms));
        } else if work.is_prefilling {
            self.helping += 1;
        }
        self.memory_tokens += share.memory_tokens;
        if !work.is_prefilling && share.context_tokens > 0 {
            self.decoding += 1;
            self.context_tokens += share.context_tokens;
        }
    }
}

/// Delay of a first event beyond its expected time, in milliseconds.
fn lateness_ms(work: &Work, now: Instant) -> f64 {
    let late = now.saturating_duration_since(work.expected_at + FIRST_EVENT_GRACE);
    (late.as_secs_f64() * 1_000.0).min(MAX_LATENESS_MS)
}
