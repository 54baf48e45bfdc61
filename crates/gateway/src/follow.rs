//! Reading and watching the published values at the source.
//!
//! In each zone a few daemons, the watchers, watch the source. The others have their values
//! confirmed by other daemons (`confirm`) and call the source only if no daemon replies
//! that is in touch with it, or if newer values of another daemon could not be fetched.
//! While the source fails, the daemons of a zone take turns in calling it, so that a large
//! zone causes no more calls than a small one.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::join3;
use xxhash_rust::xxh3::xxh3_64;

use crate::boot_clock::BootInstant;
use crate::datagram::{Relayed, UpstreamChange, UpstreamChangeKind, UpstreamChanges};
use crate::dialect::{Change, Changes, Entry, Position, Snapshot, Source, SourceError};
use crate::evacuations::{ZoneChange, ZoneState};
use crate::known_positions::KnownPositions;
use crate::provenance::Provenance;
use crate::published::Published;
use crate::registrations::Removal;
use crate::state_exchange::StateExchange;
use crate::trace;

/// Mean time between two calls of the daemons of a zone to a failing source.
///
/// The zone then notices a recovery within a quarter of a second, as does a single daemon
/// with the longest retry pause, and a zone of forty makes 16 calls per second instead of
/// 80. Calls of the watchers come on top.
const ZONE_RETRY_PERIOD: Duration = Duration::from_millis(60);

/// Failed calls in a row of which one is logged after the first.
const FAILURES_PER_LINE: u32 = 4;

/// Time by which a watch may be late before the source is asked whether it answers at all.
const LATE_WATCH: Duration = Duration::from_millis(150);

/// Time for the source to tell its position.
const POSITION_TIMEOUT: Duration = Duration::from_millis(400);

/// Time in which a late watch may still bring a change that the source is known to have.
const LATE_CHANGE_TIME: Duration = Duration::from_millis(350);

/// What the source tells without a watch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SourceCheck {
    /// Nothing changed after the known position.
    Unchanged,
    /// Something changed, or the source numbers its changes anew.
    Changed,
}

impl Published {
    /// Follows `source` and has the values confirmed through `exchange`, forever.
    pub async fn follow(self, source: Rc<dyn Source>, exchange: Rc<StateExchange>) {
        let following = self.clone().follow_source(source, Rc::clone(&exchange));
        let introducing = self.clone().introduce(Rc::clone(&exchange));
        let confirming = self.keep_confirmed(exchange);
        join3(following, introducing, confirming).await;
    }

    async fn follow_source(self, source: Rc<dyn Source>, exchange: Rc<StateExchange>) {
        let options = self.options();
        let mut pause = options.first_retry_pause;
        let mut failures = 0;
        loop {
            if !self.needs_source(&exchange) {
                self.0.source_needed.wait(options.query_period).await;
                continue;
            }
            let is_first = pause == options.first_retry_pause;
            match self
                .read_or_watch(source.as_ref(), &exchange, is_first)
                .await
            {
                Ok(()) => {
                    if !is_first {
                        trace::dependency_regained("platform");
                    }
                    pause = options.first_retry_pause;
                    failures = 0;
                    self.0.has_failed_copy.set(false);
                }
                Err(SourceError::HistoryGone) => {
                    self.update_positions(KnownPositions::reset);
                    self.0.query_soon.raise();
                    let pause = match exchange.is_watcher() {
                        true => options.first_retry_pause,
                        false => options.query_period * 2,
                    };
                    self.wait_for_copy(pause, &exchange).await;
                }
                Err(error) => {
                    failures += 1;
                    if is_first {
                        trace::dependency_lost("platform", &error.to_string());
                    } else if failures % FAILURES_PER_LINE == 0 {
                        trace::dependency_still_lost("platform", failures, &error.to_string());
                    }
                    self.record_source_failure();
                    self.0.query_soon.raise();
                    self.wait_after_failure(pause, &exchange).await;
                    pause = (pause * 2).min(options.longest_retry_pause);
                }
            }
        }
    }

    /// Whether this daemon has to call the source itself.
    fn needs_source(&self, exchange: &StateExchange) -> bool {
        let is_fetching = self.0.is_fetching_upstreams.get();
        let has_no_position = self.positions().position().is_none() && !is_fetching;
        exchange.is_watcher()
            || has_no_position
            || self.0.is_isolated.get()
            || self.0.has_failed_copy.get()
    }

    async fn read_or_watch(
        &self,
        source: &dyn Source,
        exchange: &StateExchange,
        has_answered: bool,
    ) -> Result<(), SourceError> {
        let Some(after) = self.positions().position() else {
            return self.read_all(source).await;
        };
        // After a failure the values in force are confirmed first, without waiting for a
        // change; the same holds if newer values of another daemon could not be fetched.
        let wait = match has_answered && !self.0.has_failed_copy.get() {
            true => self.time_to_confirm(),
            false => Duration::ZERO,
        };
        self.watch(source, after, wait, exchange).await
    }

    /// Waits before the source is called again; returns early once other daemons have
    /// confirmed the values in force.
    async fn wait_after_failure(&self, pause: Duration, exchange: &StateExchange) {
        let pause = match exchange.is_watcher() {
            true => pause,
            false => pause.max(zone_retry_pause(exchange)),
        };
        self.wait_for_copy(pause, exchange).await;
    }

    /// Waits until this daemon has a copy of the current values, for at most `pause`.
    async fn wait_for_copy(&self, pause: Duration, exchange: &StateExchange) {
        let until = Instant::now() + pause;
        while let Some(left) = until.checked_duration_since(Instant::now()) {
            compio::time::sleep(left.min(self.options().query_period)).await;
            if !self.needs_source(exchange) {
                return;
            }
        }
    }

    async fn read_all(&self, source: &dyn Source) -> Result<(), SourceError> {
        let called_at = BootInstant::now();
        let timeout = self.options().read_timeout;
        let call_instant = Instant::now();
        // Taken before the call, so that later changes received from other daemons in the
        // meantime are not undone.
        let known = self.positions();
        let Snapshot { position, entries } = source.read(timeout).await?;
        self.record_source_answer(call_instant);
        if !known.accepts(position) {
            trace::read_rejected(position, known.furthest().unwrap_or_default());
            let reason =
                format!("the values read are of position {position}, older than the known ones");
            return Err(SourceError::Failed(reason));
        }
        let provenance = Provenance::read(position, called_at.elapsed());
        self.apply_all(position, entries, &provenance);
        self.0.lease.confirm(called_at);
        self.update_positions(|positions| positions.advance(position));
        Ok(())
    }

    async fn watch(
        &self,
        source: &dyn Source,
        after: Position,
        wait: Duration,
        exchange: &StateExchange,
    ) -> Result<(), SourceError> {
        let called_at = BootInstant::now();
        let call_instant = Instant::now();
        let answer = self.watch_or_check(source, after, wait).await;
        if matches!(answer, Ok(_) | Err(SourceError::HistoryGone)) {
            // Recorded first, since the relayed changes carry the period in which the
            // source answered.
            self.record_source_answer(call_instant);
        }
        let Changes {
            position,
            changes,
            may_be_truncated,
        } = answer?;
        if changes.is_empty() {
            // The call waited the whole time, and nothing had changed by its end.
            self.update_positions(|positions| positions.advance(position));
            self.0
                .lease
                .confirm(called_at.after(wait.min(called_at.elapsed())));
            return Ok(());
        }
        let relayed = self.relayed(after, position, &changes, may_be_truncated);
        self.apply_changes(changes, &Provenance::watched(position, called_at.elapsed()));
        self.update_positions(|positions| positions.advance(position));
        if may_be_truncated {
            // The changes may be followed by others, so nothing is confirmed; reading the
            // current values is faster than reading the rest of the history.
            trace::changes_may_be_truncated(position);
            self.update_positions(KnownPositions::reset);
        } else {
            self.0.lease.confirm(called_at);
        }
        // If no watcher is in touch with the source, any daemon that reaches it relays the
        // changes.
        if exchange.is_watcher() || self.0.is_isolated.get() {
            for relayed in relayed {
                exchange.relay_changes(relayed).await;
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

    /// Waits for changes after a position; if the answer is late or the call fails, the source is
    /// asked for its position.
    ///
    /// A watch that brings nothing is no sign of an outage by itself: the source may answer all
    /// other calls.
    async fn watch_or_check(
        &self,
        source: &dyn Source,
        after: Position,
        wait: Duration,
    ) -> Result<Changes, SourceError> {
        let mut watch = source.watch(after, wait, self.options().answer_timeout);
        let in_time = compio::time::timeout(wait + LATE_WATCH, &mut watch).await;
        let answer = match in_time {
            // A call that doesn't wait for a change is how a failing source is asked.
            Ok(answer) if wait.is_zero() => return answer,
            Ok(answer) => answer,
            Err(_elapsed) => match self.check_source(source, after).await {
                Ok(SourceCheck::Changed) => {
                    let late = compio::time::timeout(LATE_CHANGE_TIME, watch).await;
                    late.unwrap_or(Err(SourceError::HistoryGone))
                }
                Ok(SourceCheck::Unchanged) | Err(_) => watch.await,
            },
        };
        let Err(failed @ SourceError::Failed(_)) = answer else {
            return answer;
        };
        match self.check_source(source, after).await {
            Ok(SourceCheck::Changed) => Err(SourceError::HistoryGone),
            Ok(SourceCheck::Unchanged) => Ok(Changes {
                position: after,
                changes: Vec::new(),
                may_be_truncated: false,
            }),
            Err(_) => Err(failed),
        }
    }

    /// Asks the source whether anything changed after a position.
    async fn check_source(
        &self,
        source: &dyn Source,
        after: Position,
    ) -> Result<SourceCheck, SourceError> {
        let (called_at, call_instant) = (BootInstant::now(), Instant::now());
        let position = source.position(POSITION_TIMEOUT).await?;
        self.record_source_answer(call_instant);
        if position != after {
            return Ok(SourceCheck::Changed);
        }
        self.0.lease.confirm(called_at);
        Ok(SourceCheck::Unchanged)
    }

    /// Time until the values in force have to be confirmed again.
    ///
    /// An answer with changes confirms the values as of the moment of the call, so the next
    /// call may wait less.
    fn time_to_confirm(&self) -> Duration {
        let age = self.0.lease.age().unwrap_or_default();
        self.options().watch_wait.saturating_sub(age)
    }

    /// The changes in the form in which the other daemons of the zone receive them.
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
        // Of changes that may be truncated only those received are known.
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

    /// Applies changes that the source reported.
    fn apply_changes(&self, changes: Vec<Change>, provenance: &Provenance) {
        for change in changes {
            match change {
                Change::Written(entry) => self.apply_entry(entry, provenance),
                Change::UpstreamGone { id, position } => {
                    self.apply_removal(id, Removal::observed_at(position), provenance);
                }
                Change::EvacuationEnded { zone, position } => {
                    let change = ZoneChange {
                        state: ZoneState::Open,
                        position,
                        delay: Duration::ZERO,
                    };
                    self.apply_zone_change(&zone, change, provenance);
                }
            }
        }
        self.sync_upstreams();
    }

    /// A change in the form in which the other daemons receive it, if it concerns an
    /// upstream or a zone.
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
            Change::Written(Entry::Evacuation { zone, position }) => {
                UpstreamChangeKind::ZoneEvacuated {
                    zone: zone.clone(),
                    position: *position,
                }
            }
            Change::EvacuationEnded { zone, position } => UpstreamChangeKind::EvacuationEnded {
                zone: zone.clone(),
                position: *position,
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

/// Time until this daemon calls a failing source again.
///
/// Drawn anew each time between half and one and a half times the mean, so that the daemons
/// of a zone don't call at the same moment.
fn zone_retry_pause(exchange: &StateExchange) -> Duration {
    let daemons = u32::try_from(exchange.zone_daemon_count()).unwrap_or(u32::MAX);
    let mean = ZONE_RETRY_PERIOD.saturating_mul(daemons);
    let drawn = xxh3_64(&exchange.next_nonce().to_le_bytes());
    mean.mul_f64(0.5 + drawn as f64 / u64::MAX as f64)
}
