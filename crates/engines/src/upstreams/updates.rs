//! Updates exchanged with the other daemons.

use std::time::Duration;

use mangofront_quarantine::RequestFingerprint;

use super::{CRASH_EJECTION, Upstreams};
use crate::large_prompts::{Progress, SizeClass};
use crate::load_update::{IncarnationId, LoadUpdate, placed_update, share_load};
use crate::notices::Source;
use crate::state::{LOCAL, State};
use crate::work::{Work, WorkId};

/// Maximum number of suspects whose crashes, observed by this daemon, are broadcast again every
/// second.
const REBROADCAST_CRASHES: usize = 16;

/// Maximum number of suspects whose crashes are part of a snapshot.
const SNAPSHOT_CRASHES: usize = 8;

impl Upstreams {
    /// Applies an update of another daemon; returns whether that daemon has requests that are
    /// unknown here, so that it should send a snapshot again.
    ///
    /// Updates are lost while a zone is partitioned. Without those about requests placed meanwhile,
    /// engines full of them would look idle afterwards.
    pub fn apply_update(&self, origin: IncarnationId, update: LoadUpdate) -> bool {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.last_received.insert(origin, now);
        match update {
            LoadUpdate::Placed {
                work,
                shares,
                caller,
                gap_ms,
                expected_in_ms,
                expires_in_ms,
            } => {
                let work_key = (origin, work);
                let received = Work {
                    is_prefilling: shares.iter().any(|share| share.prefill_us > 0),
                    shares: shares.iter().map(share_load).collect(),
                    caller,
                    expected_at: now + Duration::from_millis(u64::from(expected_in_ms)),
                    gap_ms: f64::from(gap_ms),
                    known_since: now,
                    expires_at: now + Duration::from_millis(u64::from(expires_in_ms)),
                };
                if received.is_prefilling && received.shares.len() == 1 {
                    state.remote_short_arrivals.record(now);
                }
                state.add(work_key, received, now);
            }
            LoadUpdate::FirstEvent { work } => state.mark_first_event(&(origin, work)),
            LoadUpdate::Ended { work } => {
                state.work.remove(&(origin, work));
            }
            LoadUpdate::Running {
                prefilling,
                decoding,
            } => {
                return state.reconcile(origin, &prefilling, &decoding, now);
            }
            LoadUpdate::Progress {
                request,
                size,
                progress,
            } => {
                state.large_prompts.record(request, size, progress, now);
            }
            LoadUpdate::Crashes { suspect, record } => {
                state.crashes.merge(suspect, &record, now);
                if state.crashes.has_newer_clearing(suspect, &record) {
                    self.publish_crashes(&state, suspect, now);
                }
            }
            LoadUpdate::Failed {
                upstream,
                ejected_ms,
                has_crashed,
            } => {
                let limit = match has_crashed {
                    true => CRASH_EJECTION,
                    false => self.0.options.first_ejection(),
                };
                let time = Duration::from_millis(u64::from(ejected_ms)).min(limit);
                if let Some(entry) = state.upstream_mut(upstream) {
                    entry.health.eject_for(time, now);
                }
                if has_crashed {
                    state.forget_beginnings(upstream);
                }
            }
            LoadUpdate::Leaving { upstream } => {
                state.notices.record_leaving(upstream, Source::Daemon, now);
            }
            LoadUpdate::Prefilled {
                upstream,
                beginnings,
            } => state.record_read(upstream, &beginnings, now),
            // Limits are kept by `mangofront-limits`.
            LoadUpdate::RateLimit(_) | LoadUpdate::Cold(_) => {}
        }
        false
    }

    /// Drops the requests of a daemon that is gone.
    pub fn remove_daemon(&self, origin: IncarnationId) {
        let mut state = self.0.state.borrow_mut();
        state.work.retain(|key, _| key.0 != origin);
        state.last_received.remove(&origin);
    }

    /// All unfinished requests of this daemon, for a daemon that has just started or was
    /// unreachable.
    #[must_use]
    pub fn load_snapshot(&self) -> Vec<LoadUpdate> {
        let now = self.now();
        let state = self.0.state.borrow();
        let local = state.work.iter().filter(|(key, _)| key.0 == LOCAL);
        let mut updates = Vec::new();
        for ((_, id), work) in local {
            let expected = work.expected_at.saturating_duration_since(now);
            let remaining = work.expires_at.saturating_duration_since(now);
            updates.push(placed_update(*id, work, expected, remaining));
            if !work.is_prefilling {
                updates.push(LoadUpdate::FirstEvent { work: *id });
            }
        }
        let most_crashes = state
            .crashes
            .with_most_crashes(SNAPSHOT_CRASHES, false)
            .into_iter();
        let records = most_crashes.filter_map(|suspect| {
            let record = state.crashes.record(suspect, now)?;
            Some(LoadUpdate::Crashes { suspect, record })
        });
        updates.extend(records);
        updates
    }

    /// Broadcasts the list of unfinished requests to the other daemons.
    pub fn broadcast_running(&self) {
        let state = self.0.state.borrow();
        let local = || state.work.iter().filter(|(key, _)| key.0 == LOCAL);
        let now = self.now();
        for suspect in state.crashes.with_most_crashes(REBROADCAST_CRASHES, true) {
            self.publish_crashes(&state, suspect, now);
        }
        self.repeat_notices(&state, now);
        let ids = |is_prefilling| {
            local()
                .filter(move |(_, work)| work.is_prefilling == is_prefilling)
                .map(|(key, _)| key.1)
                .collect()
        };
        self.publish(LoadUpdate::Running {
            prefilling: ids(true),
            decoding: ids(false),
        });
    }

    /// Records the first event of a request of this daemon.
    pub(crate) fn record_first_event(&self, id: WorkId) {
        self.0.state.borrow_mut().mark_first_event(&(LOCAL, id));
        self.publish(LoadUpdate::FirstEvent { work: id });
    }

    /// Records the end of a request of this daemon.
    pub(crate) fn record_end(&self, id: WorkId) {
        self.0.state.borrow_mut().work.remove(&(LOCAL, id));
        self.publish(LoadUpdate::Ended { work: id });
    }

    /// Records the outcome of a request of this daemon that is one of the largest.
    pub(crate) fn record_outcome(
        &self,
        request: RequestFingerprint,
        size: SizeClass,
        progress: Progress,
    ) {
        let mut state = self.0.state.borrow_mut();
        self.record_progress(&mut state, request, size, progress);
    }

    pub(super) fn record_progress(
        &self,
        state: &mut State,
        request: RequestFingerprint,
        size: SizeClass,
        progress: Progress,
    ) {
        if state
            .large_prompts
            .record(request, size, progress, self.now())
        {
            self.publish(LoadUpdate::Progress {
                request,
                size,
                progress,
            });
        }
    }
}
