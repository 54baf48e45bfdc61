//! Requests under which upstreams crashed.
//!
//! A request may crash each upstream that runs it, and come again at any daemon. Whatever
//! else ran there crashes with it, so which one is at fault shows only when it is there
//! again and again. So for each request it is kept under which lives of upstreams it ran
//! as they ended, and for which of them it was cleared since: by an answer that came whole.
//! Both sets only grow. What daemons tell each other merges in any order, twice or late,
//! and each life counts once.
//!
//! A request under which [`CRASHES_LIMIT`] upstreams crashed is kept from all others for a
//! while, which doubles with each further crash. Then one of the daemons may try it again,
//! so that it is served once the upstreams can run it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::shares::RequestFingerprint;
use crate::work::UpstreamKey;

/// Crashes under one request after which it is kept from all upstreams.
pub(crate) const CRASHES_LIMIT: usize = 3;

/// Time for which it is kept from them at first: long against the seconds in which its
/// caller sends it again, short against those in which upstreams are mended.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

/// Longest time for which it is kept from them.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Time for a trial to end; no other one begins before.
const TRIAL_TIME: Duration = Duration::from_secs(20);

/// Time for which crashes under a request are remembered.
const KEPT_FOR: Duration = Duration::from_secs(2 * 3_600);

/// Requests of which crashes are kept at most.
const KEPT_LIMIT: usize = 1_024;

/// Crashes under one request that are kept: with more its quarantine grows no more.
const LIVES_LIMIT: usize = 32;

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Upstreams may run it; `crashes` crashed while they did.
    Open {
        /// Upstreams that crashed under it.
        crashes: usize,
    },
    /// It is kept from all upstreams.
    Quarantined {
        /// Time until it may be tried again.
        remaining: Duration,
    },
    /// It may be tried again by one daemon.
    TrialAllowed,
}

/// A request under which upstreams crashed, for a status page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashStatus {
    /// The request.
    pub request: RequestFingerprint,
    /// Upstreams that crashed under it.
    pub crashes: usize,
    /// Whether it may be sent.
    pub quarantine: QuarantineState,
}

/// What is known of one request.
#[derive(Debug, Clone, Default)]
struct Kept {
    crashed: BTreeSet<UpstreamKey>,
    cleared: BTreeSet<UpstreamKey>,
    /// When the last upstream crashed under it.
    last: Option<Instant>,
    /// Until when a trial keeps others from beginning.
    trial_until: Option<Instant>,
    /// Whether one of the upstreams crashed under a sending of this daemon.
    is_witnessed: bool,
}

impl Kept {
    fn crashes(&self) -> usize {
        self.crashed.difference(&self.cleared).count()
    }

    /// Forgets lives for which the request was cleared, once there are many of them: news
    /// of those that still come are old.
    fn forget_cleared(&mut self) {
        if self.crashed.len() >= LIVES_LIMIT && self.crashes() == 0 {
            self.crashed.clear();
            self.cleared.clear();
        }
    }

    fn since(&self, now: Instant) -> Duration {
        let last = self.last;
        last.map_or(Duration::ZERO, |last| now.saturating_duration_since(last))
    }

    fn quarantine_state(&self, now: Instant) -> QuarantineState {
        let crashes = self.crashes();
        let Some(doublings) = crashes.checked_sub(CRASHES_LIMIT) else {
            return QuarantineState::Open { crashes };
        };
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let factor = 2_u32.saturating_pow(doublings);
        let time = FIRST_QUARANTINE.saturating_mul(factor);
        let left = time.min(LONGEST_QUARANTINE).saturating_sub(self.since(now));
        let trial_left = self
            .trial_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        match left.max(trial_left) {
            Duration::ZERO => QuarantineState::TrialAllowed,
            remaining => QuarantineState::Quarantined { remaining },
        }
    }
}

/// What daemons tell each other of one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Record {
    pub(crate) crashed: Vec<UpstreamKey>,
    pub(crate) cleared: Vec<UpstreamKey>,
    /// Time since the last crash.
    pub(crate) since: Duration,
}

/// Requests under which upstreams crashed.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    kept: HashMap<RequestFingerprint, Kept>,
}

impl Crashes {
    /// Notes that an upstream crashed under a request that this daemon had sent there.
    pub(crate) fn note(&mut self, request: RequestFingerprint, life: UpstreamKey, now: Instant) {
        self.make_room(request, now);
        let kept = self.kept.entry(request).or_default();
        kept.is_witnessed = true;
        kept.forget_cleared();
        if kept.crashed.len() < LIVES_LIMIT && kept.crashed.insert(life) {
            kept.last = Some(now);
            kept.trial_until = None;
        }
    }

    /// Notes that a request is not at fault for the crashes so far; whether there were any.
    pub(crate) fn clear(&mut self, request: RequestFingerprint) -> bool {
        let Some(kept) = self.kept.get_mut(&request) else {
            return false;
        };
        let had_any = kept.crashes() > 0;
        kept.cleared.extend(&kept.crashed);
        kept.trial_until = None;
        had_any
    }

    /// Takes in what another daemon told of a request.
    pub(crate) fn merge(&mut self, request: RequestFingerprint, record: &Record, now: Instant) {
        self.make_room(request, now);
        let kept = self.kept.entry(request).or_default();
        kept.forget_cleared();
        let before = kept.crashed.len();
        let room = LIVES_LIMIT.saturating_sub(before);
        let unknown: Vec<UpstreamKey> = record
            .crashed
            .iter()
            .filter(|life| !kept.crashed.contains(life))
            .take(room)
            .copied()
            .collect();
        kept.crashed.extend(unknown);
        kept.cleared.extend(record.cleared.iter().take(LIVES_LIMIT));
        let at = now.checked_sub(record.since);
        kept.last = kept.last.max(at);
        if kept.crashed.len() > before {
            kept.trial_until = None;
        }
    }

    /// Whether a request was cleared here for crashes for which a teller still holds it at
    /// fault, so that it has missed news.
    pub(crate) fn has_cleared_more(&self, request: RequestFingerprint, record: &Record) -> bool {
        let is_unheard =
            |life: &UpstreamKey| record.crashed.contains(life) && !record.cleared.contains(life);
        let kept = self.kept.get(&request);
        kept.is_some_and(|kept| kept.cleared.iter().any(is_unheard))
    }

    /// Whether a request may be sent.
    pub(crate) fn quarantine_state(
        &self,
        request: RequestFingerprint,
        now: Instant,
    ) -> QuarantineState {
        let kept = self.kept.get(&request);
        kept.map_or(QuarantineState::Open { crashes: 0 }, |kept| {
            kept.quarantine_state(now)
        })
    }

    /// Keeps others from beginning a trial while this one runs.
    pub(crate) fn begin_trial(&mut self, request: RequestFingerprint, now: Instant) {
        if let Some(kept) = self.kept.get_mut(&request) {
            kept.trial_until = Some(now + TRIAL_TIME);
        }
    }

    /// What others have to hear of a request.
    pub(crate) fn record(&self, request: RequestFingerprint, now: Instant) -> Option<Record> {
        let kept = self.kept.get(&request)?;
        Some(Record {
            crashed: kept.crashed.iter().copied().collect(),
            cleared: kept.cleared.iter().copied().collect(),
            since: kept.since(now),
        })
    }

    /// The `count` requests with most crashes of which others may not have heard: those
    /// that this daemon has seen itself, or all.
    pub(crate) fn worst(&self, count: usize, only_witnessed: bool) -> Vec<RequestFingerprint> {
        let is_told = |kept: &&Kept| kept.crashes() > 0 && (kept.is_witnessed || !only_witnessed);
        let mut worst: Vec<(usize, RequestFingerprint)> = self
            .kept
            .iter()
            .filter(|(_, kept)| is_told(kept))
            .map(|(request, kept)| (kept.crashes(), *request))
            .collect();
        worst.sort_unstable_by(|one, other| other.cmp(one));
        worst.truncate(count);
        worst.into_iter().map(|(_, request)| request).collect()
    }

    /// Requests that are kept from upstreams, or were and are not cleared.
    pub(crate) fn status(&self, now: Instant) -> Vec<CrashStatus> {
        let of = |(request, kept): (&RequestFingerprint, &Kept)| CrashStatus {
            request: *request,
            crashes: kept.crashes(),
            quarantine: kept.quarantine_state(now),
        };
        let mut status: Vec<CrashStatus> = self.kept.iter().map(of).collect();
        status.retain(|one| one.crashes >= CRASHES_LIMIT);
        status.sort_by_key(|one| one.request);
        status
    }

    /// Forgets old requests, and where there are too many the one with fewest crashes.
    fn make_room(&mut self, request: RequestFingerprint, now: Instant) {
        if self.kept.len() < KEPT_LIMIT || self.kept.contains_key(&request) {
            return;
        }
        self.kept.retain(|_, kept| kept.since(now) < KEPT_FOR);
        if self.kept.len() < KEPT_LIMIT {
            return;
        }
        let least = self
            .kept
            .iter()
            .min_by_key(|(_, kept)| (kept.crashes(), std::cmp::Reverse(kept.since(now))));
        if let Some(request) = least.map(|(request, _)| *request) {
            self.kept.remove(&request);
        }
    }
}
