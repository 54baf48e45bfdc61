//! Reading what is published at the source.
//!
//! In each zone a few daemons watch the source. The others have what is in force
//! confirmed by other daemons (`confirm`) and call the source only where nobody answers who
//! is in touch with it, or what others tell of can't be had from them. While the source
//! fails, the daemons of a zone take turns in calling it, so that a large zone presses it
//! no more than a small one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join;
use xxhash_rust::xxh3::xxh3_64;

use crate::boot_clock::BootInstant;
use crate::datagram::{Relayed, UpstreamChange, UpstreamChangeKind, UpstreamChanges};
use crate::dialect::{Change, Changes, Entry, Position, Snapshot, Source, SourceError};
use crate::known_positions::KnownPositions;
use crate::provenance::Provenance;
use crate::published::Published;
use crate::registrations::Removal;
use crate::state_exchange::StateExchange;
use crate::trace;

/// Mean time between two calls of the daemons of a zone to a source that fails.
///
/// A return is noticed by the zone within a quarter of a second, as by a single daemon
/// that waits the longest pause, and a zone of forty makes 16 calls a second in place of
/// 80. Watchers call on their own beside it.
const ZONE_RETRY_PERIOD: Duration = Duration::from_millis(60);

impl Published {
    /// Follows `source`, for ever; other daemons confirm by `sharing`.
    pub async fn follow(self, source: Rc<dyn Source>, sharing: Rc<StateExchange>) {
        let reading = self.clone().follow_source(source, Rc::clone(&sharing));
        let confirming = self.keep_confirmed(sharing);
        join(reading, confirming).await;
    }

    async fn follow_source(self, source: Rc<dyn Source>, sharing: Rc<StateExchange>) {
        let options = self.options();
        let mut pause = options.first_retry_pause;
        loop {
            if !self.needs_source(&sharing) {
                self.0.source_needed.wait(options.query_period).await;
                continue;
            }
            let is_first = pause == options.first_retry_pause;
            match self.follow_once(source.as_ref(), &sharing, is_first).await {
                Ok(()) => {
                    if !is_first {
                        trace::dependency_regained("platform");
                    }
                    pause = options.first_retry_pause;
                    self.0.is_behind.set(false);
                }
                Err(SourceError::HistoryGone) => {
                    self.change_horizon(KnownPositions::reset);
                    compio::time::sleep(options.first_retry_pause).await;
                }
                Err(error) => {
                    if is_first {
                        trace::dependency_lost("platform", &error.to_string());
                    }
                    self.note_failure();
                    self.0.ask_soon.call();
                    self.wait_after_failure(pause, &sharing).await;
                    pause = (pause * 2).min(options.longest_retry_pause);
                }
            }
        }
    }

    /// Whether this daemon has to call the source itself.
    fn needs_source(&self, sharing: &StateExchange) -> bool {
        let is_fetching = self.0.is_fetching_upstreams.get();
        let knows_nothing = self.horizon().position().is_none() && !is_fetching;
        sharing.is_watcher() || knows_nothing || self.0.is_alone.get() || self.0.is_behind.get()
    }

    async fn follow_once(
        &self,
        source: &dyn Source,
        sharing: &StateExchange,
        has_answered: bool,
    ) -> Result<(), SourceError> {
        let Some(after) = self.horizon().position() else {
            return self.read(source).await;
        };
        // After a failure, what is in force is confirmed before anything is waited for, and
        // what others told of is not waited for either.
        let wait = match has_answered && !self.0.is_behind.get() {
            true => self.time_to_confirm(),
            false => Duration::ZERO,
        };
        self.watch(source, after, wait, sharing).await
    }

    /// Waits before the source is called again; ends early once other daemons have
    /// confirmed what is in force.
    async fn wait_after_failure(&self, pause: Duration, sharing: &StateExchange) {
        let pause = match sharing.is_watcher() {
            true => pause,
            false => pause.max(turn_pause(sharing)),
        };
        let until = Instant::now() + pause;
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            compio::time::sleep(left.min(self.options().query_period)).await;
            if !self.needs_source(sharing) {
                return;
            }
        }
    }

    async fn read(&self, source: &dyn Source) -> Result<(), SourceError> {
        let asked = BootInstant::now();
        let timeout = self.options().read_timeout;
        let called = Instant::now();
        // Later changes that others tell of while it is read are not undone by it.
        let known = self.horizon();
        let Snapshot { position, entries } = source.read(timeout).await?;
        self.note_answer(called);
        if !known.accepts(position) {
            let reason =
                format!("what was read is of position {position}, older than what is known");
            return Err(SourceError::Failed(reason));
        }
        let provenance = Provenance::read(position, asked.elapsed());
        self.take_all(position, entries, &provenance);
        self.0.lease.confirm(asked);
        self.change_horizon(|horizon| horizon.advance(position));
        Ok(())
    }

    async fn watch(
        &self,
        source: &dyn Source,
        after: Position,
        wait: Duration,
        sharing: &StateExchange,
    ) -> Result<(), SourceError> {
        let asked = BootInstant::now();
        let timeout = self.options().answer_timeout;
        let called = Instant::now();
        let answer = source.watch(after, wait, timeout).await;
        if matches!(answer, Ok(_) | Err(SourceError::HistoryGone)) {
            // What others are told of the changes says that the source was there.
            self.note_answer(called);
        }
        let Changes {
            position,
            changes,
            may_be_truncated,
        } = answer?;
        if changes.is_empty() {
            // It waited the whole time and nothing had changed by its end.
            self.change_horizon(|horizon| horizon.advance(position));
            self.0.lease.confirm(asked.after(wait.min(asked.elapsed())));
            return Ok(());
        }
        let relayed = self.relayed(after, position, &changes, may_be_truncated);
        self.take_changes(changes, &Provenance::watched(position, asked.elapsed()));
        self.change_horizon(|horizon| horizon.advance(position));
        if may_be_truncated {
            // What followed is not known, so nothing is confirmed; and reading
            // what is published now is sooner done than the rest of its history.
            trace::changes_may_be_cut(position);
            self.change_horizon(KnownPositions::reset);
        } else {
            self.0.lease.confirm(asked);
        }
        // Where nobody who watches is in touch, whoever gets through tells the others.
        if sharing.is_watcher() || self.0.is_alone.get() {
            for relayed in relayed {
                sharing.tell_changed(relayed).await;
            }
        }
        if !may_be_truncated {
            let pause = self
                .options()
                .min_watch_interval
                .min(self.time_to_confirm());
            compio::time::sleep(pause).await;
        }
        Ok(())
    }

    /// Time until what is in force has to be confirmed again.
    ///
    /// An answer with changes confirms what was in force when it was asked for, so the next
    /// one may not be waited for as long.
    fn time_to_confirm(&self) -> Duration {
        let age = self.0.lease.age().unwrap_or_default();
        self.options().watch_wait.saturating_sub(age)
    }

    /// What the other daemons of the zone are told of changes.
    fn relayed(
        &self,
        after: Position,
        position: Position,
        changes: &[Change],
        may_be_truncated: bool,
    ) -> Vec<Relayed> {
        let is_other = |change: &Change| {
            matches!(
                change,
                Change::Written(Entry::Configuration(_) | Entry::Malformed { .. })
            )
        };
        let has_others = may_be_truncated || changes.iter().any(is_other);
        let answered = self.answered();
        let upstreams: Vec<UpstreamChange> = changes
            .iter()
            .filter_map(|change| self.upstream_change(change))
            .collect();
        // Of changes that may be cut, those are known that are there.
        let last = upstreams.iter().map(UpstreamChange::position).max();
        let up_to = match may_be_truncated {
            true => last.unwrap_or(after),
            false => position,
        };
        let pages = UpstreamChanges::pages(after, up_to, upstreams).into_iter();
        let relayed = pages.map(|upstreams| Relayed {
            upstreams,
            has_others,
            answered,
        });
        relayed.collect()
    }

    /// Takes in changes that the source told of.
    fn take_changes(&self, changes: Vec<Change>, provenance: &Provenance) {
        for change in changes {
            match change {
                Change::Written(entry) => self.take_entry(entry, provenance),
                Change::UpstreamGone { id, position } => {
                    self.take_missing(id, Removal::observed_at(position), provenance);
                }
            }
        }
        self.pass_on_upstreams();
    }

    /// What the other daemons are told of a change, if it is one of an upstream.
    fn upstream_change(&self, change: &Change) -> Option<UpstreamChange> {
        let kind = match change {
            Change::Written(Entry::Upstream(upstream)) => {
                UpstreamChangeKind::Registered(upstream.clone())
            }
            Change::Written(Entry::UnusableUpstream { id, position, .. })
            | Change::UpstreamGone { id, position } => UpstreamChangeKind::Gone {
                id: id.clone(),
                position: *position,
                is_announced: self.is_announced(id),
            },
            Change::Written(Entry::Configuration(_) | Entry::Malformed { .. } | Entry::Other) => {
                return None;
            }
        };
        Some(UpstreamChange {
            kind,
            known_for_ms: 0,
        })
    }
}

/// Time until it is this daemon's turn again to call a source that fails.
///
/// Drawn anew each time from half to one and a half times the mean, so that the
/// daemons of a zone don't call at the same moment.
fn turn_pause(sharing: &StateExchange) -> Duration {
    let daemons = u32::try_from(sharing.zone_daemons()).unwrap_or(u32::MAX);
    let mean = ZONE_RETRY_PERIOD.saturating_mul(daemons);
    let drawn = xxh3_64(&sharing.next_draw().to_le_bytes());
    mean.mul_f64(0.5 + drawn as f64 / u64::MAX as f64)
}
