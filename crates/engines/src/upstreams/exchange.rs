//! What daemons tell each other of their requests, told and taken in.

use std::time::Duration;

use super::Upstreams;
use crate::crashes::Record;
use crate::news::{IncarnationId, LoadUpdate, crashes_news, part_of, placed_news};
use crate::shares::{Progress, RequestFingerprint, SizeClass};
use crate::state::{OWN, State};
use crate::work::{Work, WorkId};

/// Requests of whose crashes a daemon tells again each second, of those that it saw.
const REPEATED_CRASHES: usize = 16;

/// Requests of whose crashes a daemon tells one that has just started.
const INTRODUCED_CRASHES: usize = 8;

impl Upstreams {
    /// Takes in news of another daemon; whether it has requests that are not known
    /// here, so that it should introduce itself again.
    ///
    /// LoadUpdate are lost while a zone is cut off. Without those of the requests that
    /// were placed meanwhile, engines full of them would look idle afterwards.
    pub fn apply_update(&self, origin: IncarnationId, news: LoadUpdate) -> bool {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.heard.insert(origin, now);
        match news {
            LoadUpdate::Placed {
                work,
                parts,
                gap_ms,
                expected_in_ms,
                expires_in_ms,
            } => {
                let work_key = (origin, work);
                let heard = Work {
                    is_reading: parts.iter().any(|part| part.read_us > 0),
                    parts: parts.iter().map(part_of).collect(),
                    expected_at: now + Duration::from_millis(u64::from(expected_in_ms)),
                    gap_ms: f64::from(gap_ms),
                    known_since: now,
                    expires_at: now + Duration::from_millis(u64::from(expires_in_ms)),
                };
                if heard.is_reading && heard.parts.len() == 1 {
                    state.shorts_of_others.note(now);
                }
                state.add(work_key, heard, now);
            }
            LoadUpdate::FirstEvent { work } => state.mark_read(&(origin, work)),
            LoadUpdate::Ended { work } => {
                state.works.remove(&(origin, work));
            }
            LoadUpdate::Running { reading, writing } => {
                return state.set_running(origin, &reading, &writing, now);
            }
            LoadUpdate::Progress {
                request,
                size,
                progress,
            } => {
                state.shares.note(request, size, progress, now);
            }
            LoadUpdate::Crashes {
                request,
                crashed,
                cleared,
                since_ms,
            } => {
                let record = Record {
                    crashed,
                    cleared,
                    since: Duration::from_millis(u64::from(since_ms)),
                };
                state.crashes.merge(request, &record, now);
                if state.crashes.has_cleared_more(request, &record) {
                    self.tell_crashes(&state, request, now);
                }
            }
            LoadUpdate::Failed {
                upstream,
                ejected_ms,
            } => {
                let time = Duration::from_millis(u64::from(ejected_ms));
                let time = time.min(self.0.options.first_ejection());
                if let Some(known) = state.known_mut(upstream) {
                    known.health.leave_out(time, now);
                }
            }
        }
        false
    }

    /// Forgets the work of a daemon that is gone.
    pub fn remove_daemon(&self, origin: IncarnationId) {
        let mut state = self.0.state.borrow_mut();
        state.works.retain(|key, _| key.0 != origin);
        state.heard.remove(&origin);
    }

    /// All requests of this daemon that have not ended, as a daemon that has just
    /// started, or was out of reach, has to hear of them.
    #[must_use]
    pub fn load_snapshot(&self) -> Vec<LoadUpdate> {
        let now = self.now();
        let state = self.0.state.borrow();
        let own = state.works.iter().filter(|(key, _)| key.0 == OWN);
        let mut news = Vec::new();
        for ((_, id), work) in own {
            let expected = work.expected_at.saturating_duration_since(now);
            let left = work.expires_at.saturating_duration_since(now);
            news.push(placed_news(*id, work, expected, left));
            if !work.is_reading {
                news.push(LoadUpdate::FirstEvent { work: *id });
            }
        }
        let worst = state.crashes.worst(INTRODUCED_CRASHES, false).into_iter();
        let records = worst.filter_map(|request| {
            let record = state.crashes.record(request, now)?;
            Some(crashes_news(request, record))
        });
        news.extend(records);
        news
    }

    /// Tells the other daemons of all requests that have not ended.
    pub fn broadcast_running(&self) {
        let state = self.0.state.borrow();
        let own = || state.works.iter().filter(|(key, _)| key.0 == OWN);
        let now = self.now();
        for request in state.crashes.worst(REPEATED_CRASHES, true) {
            self.tell_crashes(&state, request, now);
        }
        let of = |is_reading| {
            own()
                .filter(move |(_, work)| work.is_reading == is_reading)
                .map(|(key, _)| key.1)
                .collect()
        };
        self.tell(LoadUpdate::Running {
            reading: of(true),
            writing: of(false),
        });
    }

    /// Notes that the first event of an own request came.
    pub(crate) fn note_read(&self, id: WorkId) {
        self.0.state.borrow_mut().mark_read(&(OWN, id));
        self.tell(LoadUpdate::FirstEvent { work: id });
    }

    /// Notes that an own request ended.
    pub(crate) fn note_ended(&self, id: WorkId) {
        self.0.state.borrow_mut().works.remove(&(OWN, id));
        self.tell(LoadUpdate::Ended { work: id });
    }

    /// Notes what became of an own request that is among the largest.
    pub(crate) fn note_end(
        &self,
        request: RequestFingerprint,
        size: SizeClass,
        progress: Progress,
    ) {
        let mut state = self.0.state.borrow_mut();
        self.note_progress(&mut state, request, size, progress);
    }

    pub(super) fn note_progress(
        &self,
        state: &mut State,
        request: RequestFingerprint,
        size: SizeClass,
        progress: Progress,
    ) {
        if state.shares.note(request, size, progress, self.now()) {
            self.tell(LoadUpdate::Progress {
                request,
                size,
                progress,
            });
        }
    }
}
