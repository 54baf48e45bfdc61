//! Crash histories of requests, and their quarantine.
//!
//! A request may crash every upstream that runs it, and may arrive again at any daemon. Whatever
//! else was running crashes with it, so the request at fault stands out only by being present at
//! several crashes. For each request this module records the upstream incarnations that ended while
//! they ran it, and those for which it was cleared later by a complete answer. Both sets only grow,
//! so records from other daemons merge in any order, duplicated or late, and each incarnation
//! counts once.
//!
//! A request with [`QUARANTINE_CRASHES`] crashes is quarantined for a time that doubles with each
//! further crash. After that one daemon may try it again, so that it is served once the upstreams
//! can run it.

use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

use crate::large_prompts::RequestFingerprint;
use crate::work::UpstreamKey;

/// Crashes under one request at which it is quarantined.
pub(crate) const QUARANTINE_CRASHES: usize = 3;

/// Duration of the first quarantine: long compared to the seconds in which a caller retries, short
/// compared to the time in which upstreams are repaired.
const FIRST_QUARANTINE: Duration = Duration::from_secs(60);

/// Longest quarantine.
const LONGEST_QUARANTINE: Duration = Duration::from_secs(3_600);

/// Time allowed for a trial; no other trial begins before it is over.
const TRIAL_TIME: Duration = Duration::from_secs(20);

/// Time for which the crashes under a request are retained.
const RETENTION: Duration = Duration::from_secs(2 * 3_600);

/// Maximum number of requests with a crash history.
const MAX_REQUESTS: usize = 1_024;

/// Maximum number of crashes stored per request; further ones would not prolong its quarantine.
const MAX_CRASHES: usize = 32;

/// Whether a request may be sent to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineState {
    /// Upstreams may run it.
    Open {
        /// Upstreams that crashed under it.
        crashes: usize,
    },
    /// It must not be sent to any upstream.
    Quarantined {
        /// Time until it may be tried again.
        remaining: Duration,
    },
    /// One daemon may try it again.
    TrialAllowed,
}

/// Crash status of a request, for a status page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CrashStatus {
    /// The request.
    pub request: RequestFingerprint,
    /// Upstreams that crashed under it.
    pub crashes: usize,
    /// Whether it may be sent.
    pub quarantine: QuarantineState,
}

/// Crash history of one request.
#[derive(Debug, Clone, Default)]
struct CrashHistory {
    crashed: BTreeSet<UpstreamKey>,
    cleared: BTreeSet<UpstreamKey>,
    /// When the last upstream crashed under it.
    last_crash: Option<Instant>,
    /// End of a running trial; no other trial begins before.
    trial_until: Option<Instant>,
    /// Whether an upstream crashed under an attempt of this daemon.
    is_observed_here: bool,
}

impl CrashHistory {
    fn crashes(&self) -> usize {
        self.crashed.difference(&self.cleared).count()
    }

    /// Drops the incarnations for which the request was cleared, once there are many: updates about
    /// them that still arrive are outdated.
    fn compact(&mut self) {
        if self.crashed.len() >= MAX_CRASHES && self.crashes() == 0 {
            self.crashed.clear();
            self.cleared.clear();
        }
    }

    fn time_since_crash(&self, now: Instant) -> Duration {
        let last_crash = self.last_crash;
        last_crash.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    fn quarantine_state(&self, now: Instant) -> QuarantineState {
        let crashes = self.crashes();
        let Some(doublings) = crashes.checked_sub(QUARANTINE_CRASHES) else {
            return QuarantineState::Open { crashes };
        };
        let doublings = u32::try_from(doublings).unwrap_or(u32::MAX);
        let factor = 2_u32.saturating_pow(doublings);
        let duration = FIRST_QUARANTINE.saturating_mul(factor);
        let remaining = duration
            .min(LONGEST_QUARANTINE)
            .saturating_sub(self.time_since_crash(now));
        let trial_remaining = self
            .trial_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        match remaining.max(trial_remaining) {
            Duration::ZERO => QuarantineState::TrialAllowed,
            remaining => QuarantineState::Quarantined { remaining },
        }
    }
}

/// Crash history of one request as daemons exchange it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct CrashRecord {
    pub(crate) crashed: Vec<UpstreamKey>,
    pub(crate) cleared: Vec<UpstreamKey>,
    /// Time since the last crash.
    pub(crate) since: Duration,
}

/// Crash histories by request.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    histories: HashMap<RequestFingerprint, CrashHistory>,
}

impl Crashes {
    /// Records that an upstream crashed while it ran a request of this daemon.
    pub(crate) fn record_crash(
        &mut self,
        request: RequestFingerprint,
        incarnation: UpstreamKey,
        now: Instant,
    ) {
        self.evict(request, now);
        let history = self.histories.entry(request).or_default();
        history.is_observed_here = true;
        history.compact();
        if history.crashed.len() < MAX_CRASHES && history.crashed.insert(incarnation) {
            history.last_crash = Some(now);
            history.trial_until = None;
        }
    }

    /// Clears a request of its crashes so far; returns whether there were any.
    pub(crate) fn clear(&mut self, request: RequestFingerprint) -> bool {
        let Some(history) = self.histories.get_mut(&request) else {
            return false;
        };
        let had_any = history.crashes() > 0;
        history.cleared.extend(&history.crashed);
        history.trial_until = None;
        had_any
    }

    /// Merges a record received from another daemon.
    pub(crate) fn merge(
        &mut self,
        request: RequestFingerprint,
        record: &CrashRecord,
        now: Instant,
    ) {
        self.evict(request, now);
        let history = self.histories.entry(request).or_default();
        history.compact();
        let before = history.crashed.len();
        let room = MAX_CRASHES.saturating_sub(before);
        let unknown: Vec<UpstreamKey> = record
            .crashed
            .iter()
            .filter(|incarnation| !history.crashed.contains(incarnation))
            .take(room)
            .copied()
            .collect();
        history.crashed.extend(unknown);
        history
            .cleared
            .extend(record.cleared.iter().take(MAX_CRASHES));
        let at = now.checked_sub(record.since);
        history.last_crash = history.last_crash.max(at);
        if history.crashed.len() > before {
            history.trial_until = None;
        }
    }

    /// Whether the request was cleared here of crashes that the sender of `record` still counts,
    /// which means that the sender missed an update.
    pub(crate) fn has_newer_clearing(
        &self,
        request: RequestFingerprint,
        record: &CrashRecord,
    ) -> bool {
        let is_missing_there = |incarnation: &UpstreamKey| {
            record.crashed.contains(incarnation) && !record.cleared.contains(incarnation)
        };
        let history = self.histories.get(&request);
        history.is_some_and(|history| history.cleared.iter().any(is_missing_there))
    }

    /// Whether a request may be sent.
    pub(crate) fn quarantine_state(
        &self,
        request: RequestFingerprint,
        now: Instant,
    ) -> QuarantineState {
        let history = self.histories.get(&request);
        history.map_or(QuarantineState::Open { crashes: 0 }, |history| {
            history.quarantine_state(now)
        })
    }

    /// Prevents further trials while this one runs.
    pub(crate) fn begin_trial(&mut self, request: RequestFingerprint, now: Instant) {
        if let Some(history) = self.histories.get_mut(&request) {
            history.trial_until = Some(now + TRIAL_TIME);
        }
    }

    /// The record of a request to send to other daemons.
    pub(crate) fn record(&self, request: RequestFingerprint, now: Instant) -> Option<CrashRecord> {
        let history = self.histories.get(&request)?;
        Some(CrashRecord {
            crashed: history.crashed.iter().copied().collect(),
            cleared: history.cleared.iter().copied().collect(),
            since: history.time_since_crash(now),
        })
    }

    /// The `count` requests with the most crashes: those observed by this daemon only, or all of
    /// them.
    pub(crate) fn with_most_crashes(
        &self,
        count: usize,
        only_observed_here: bool,
    ) -> Vec<RequestFingerprint> {
        let is_listed = |history: &&CrashHistory| {
            history.crashes() > 0 && (history.is_observed_here || !only_observed_here)
        };
        let mut ranked: Vec<(usize, RequestFingerprint)> = self
            .histories
            .iter()
            .filter(|(_, history)| is_listed(history))
            .map(|(request, history)| (history.crashes(), *request))
            .collect();
        ranked.sort_unstable_by(|one, other| other.cmp(one));
        ranked.truncate(count);
        ranked.into_iter().map(|(_, request)| request).collect()
    }

    /// Requests in quarantine, and those released but not cleared.
    pub(crate) fn status(&self, now: Instant) -> Vec<CrashStatus> {
        let of = |(request, history): (&RequestFingerprint, &CrashHistory)| CrashStatus {
            request: *request,
            crashes: history.crashes(),
            quarantine: history.quarantine_state(now),
        };
        let mut status: Vec<CrashStatus> = self.histories.iter().map(of).collect();
        status.retain(|one| one.crashes >= QUARANTINE_CRASHES);
        status.sort_by_key(|one| one.request);
        status
    }

    /// Makes room for a request: removes outdated histories, and if that is not enough the one with
    /// the fewest crashes.
    fn evict(&mut self, request: RequestFingerprint, now: Instant) {
        if self.histories.len() < MAX_REQUESTS || self.histories.contains_key(&request) {
            return;
        }
        self.histories
            .retain(|_, history| history.time_since_crash(now) < RETENTION);
        if self.histories.len() < MAX_REQUESTS {
            return;
        }
        let fewest = self.histories.iter().min_by_key(|(_, history)| {
            (
                history.crashes(),
                std::cmp::Reverse(history.time_since_crash(now)),
            )
        });
        if let Some(request) = fewest.map(|(request, _)| *request) {
            self.histories.remove(&request);
        }
    }
}
