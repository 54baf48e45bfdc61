//! The registrations of upstreams, and which upstreams are used by them.
//!
//! The source numbers its changes, so of two statements on one upstream the one with the
//! higher number holds, whoever tells it and in whatever order they come. Statements may be
//! lost, repeated and mixed: all daemons that have heard of the same last changes hold the
//! same. A removal is kept as a statement too, or an older one could undo it.
//!
//! A registration may be missing because its upstream has left, or only because it
//! lapsed while the source was out of reach. So an upstream may be used for a moment
//! longer than it is registered. That is a guess of this daemon and is kept apart from
//! what is published: other daemons are handed what is published only, as nothing would
//! ever tell them that a guess has ended.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use mangofront_routes::{Upstream, UpstreamId};

use crate::dialect::Position;

/// Removals that are remembered; the oldest half goes first.
///
/// Upstreams of a fleet of the target size that leave within minutes.
const REMOVALS_LIMIT: usize = 4_096;

/// What a registration changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegisterOutcome {
    /// The upstream is new, or something of it that matters is.
    Changed,
    /// Nothing that matters.
    Unchanged,
    /// Nothing: a later change of it is known.
    Outdated,
    /// Nothing: it was written by an earlier life than the one that is known.
    EarlierIncarnation,
}

/// What a missing registration led to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalOutcome {
    /// The upstream was not known, is kept already, or a later change of it is known.
    Unchanged,
    /// The upstream is used no more.
    Removed,
    /// The upstream is used on until then.
    InGrace(Instant),
}

/// Registrations as far as they are known.
#[derive(Debug, Default)]
pub struct Registrations {
    records: HashMap<UpstreamId, Record>,
    /// Upstreams that are no longer published and used nevertheless.
    kept: HashMap<UpstreamId, Kept>,
    removals: usize,
    /// Removals up to this position may be unknown here, or forgotten.
    removals_known_after: Position,
    /// Position of the last change of all.
    last_change: Position,
}

/// The last change of an upstream that is known.
#[derive(Debug, Clone)]
pub struct Record {
    /// Position of the change.
    pub position: Position,
    /// What has been published since.
    pub state: RegistrationState,
    /// When this daemon learned of it.
    pub learned_at: Instant,
    /// Time for which others had known it by then, as far as they told.
    pub delay: Duration,
}

/// What is published of an upstream.
#[derive(Debug, Clone)]
pub enum RegistrationState {
    /// This registration.
    Registered(Upstream),
    /// Nothing.
    Removed {
        /// Whether the upstream is known to have said before that it leaves.
        is_announced: bool,
    },
}

/// The end of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removal {
    /// Position from which on nothing is published of the upstream.
    pub position: Position,
    /// Whether the upstream is known to have said before that it leaves.
    pub is_announced: bool,
    /// Time for which others have known it, as far as they told.
    pub delay: Duration,
}

impl Removal {
    /// A removal that this daemon sees itself, of an upstream that it may know to leave.
    #[must_use]
    pub fn observed_at(position: Position) -> Self {
        Self {
            position,
            is_announced: false,
            delay: Duration::ZERO,
        }
    }
}

#[derive(Debug)]
struct Kept {
    upstream: Upstream,
    until: Instant,
}

impl Record {
    /// Time since somebody learned of it.
    #[must_use]
    pub fn known_for(&self) -> Duration {
        self.delay + self.learned_at.elapsed()
    }
}

impl RegistrationState {
    fn upstream(&self) -> Option<&Upstream> {
        match self {
            Self::Registered(upstream) => Some(upstream),
            Self::Removed { .. } => None,
        }
    }

    /// Whether the upstream is known to have said that it leaves.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        match self {
            Self::Registered(upstream) => upstream.leaving,
            Self::Removed { is_announced } => *is_announced,
        }
    }
}

impl Registrations {
    /// Takes in a registration, which others have known for `delay`.
    pub fn register(&mut self, upstream: Upstream, delay: Duration) -> RegisterOutcome {
        let id = upstream.id.clone();
        let record = self.records.get(&id);
        let position = upstream.registered_at;
        if record.is_some_and(|record| record.position > position) {
            return RegisterOutcome::Outdated;
        }
        let published = record.and_then(|record| record.state.upstream());
        if published.is_some_and(|published| published.registered_at == position) {
            return RegisterOutcome::Unchanged;
        }
        let before = published.or_else(|| self.kept.get(&id).map(|kept| &kept.upstream));
        if before.is_some_and(|before| before.started_at_ms > upstream.started_at_ms) {
            return RegisterOutcome::EarlierIncarnation;
        }
        let is_unchanged = before.is_some_and(|before| before.eq_except_registered_at(&upstream));
        self.kept.remove(&id);
        self.note(id, position, RegistrationState::Registered(upstream), delay);
        match is_unchanged {
            true => RegisterOutcome::Unchanged,
            false => RegisterOutcome::Changed,
        }
    }

    /// Notes that nothing is published of an upstream any more; it is kept until
    /// `keep_until`, if that is given and it had not said that it leaves.
    pub fn mark_missing(
        &mut self,
        id: &UpstreamId,
        removal: Removal,
        keep_until: Option<Instant>,
    ) -> RemovalOutcome {
        let Some(before) = self.replace(id, removal) else {
            return self.end_announced(id, removal);
        };
        match keep_until {
            Some(until) if !before.leaving && !removal.is_announced => {
                let kept = Kept {
                    upstream: before,
                    until,
                };
                self.kept.insert(id.clone(), kept);
                RemovalOutcome::InGrace(until)
            }
            _ => RemovalOutcome::Removed,
        }
    }

    /// Ends the use of an upstream that was kept, as it had said that it leaves.
    fn end_announced(&mut self, id: &UpstreamId, removal: Removal) -> RemovalOutcome {
        let is_last = |record: &Record| record.position <= removal.position;
        let ends = removal.is_announced && self.records.get(id).is_some_and(is_last);
        match ends && self.kept.remove(id).is_some() {
            true => RemovalOutcome::Removed,
            false => RemovalOutcome::Unchanged,
        }
    }

    /// Uses an upstream no more, at once; whether it was used.
    pub fn remove(&mut self, id: &UpstreamId, removal: Removal) -> bool {
        let is_outdated = |record: &Record| record.position > removal.position;
        if self.records.get(id).is_some_and(is_outdated) {
            return false;
        }
        let was_kept = self.kept.remove(id).is_some();
        let was_published = self.replace(id, removal).is_some();
        was_kept || was_published
    }

    /// Notes a removal; the registration that stood before, if it was published.
    fn replace(&mut self, id: &UpstreamId, removal: Removal) -> Option<Upstream> {
        let Some(record) = self.records.get_mut(id) else {
            self.note_removal(id, removal);
            return None;
        };
        if record.position > removal.position {
            return None;
        }
        let was_announced = match &record.state {
            RegistrationState::Registered(before) => before.leaving,
            // A later removal is one of a later life.
            RegistrationState::Removed { is_announced } => {
                *is_announced && record.position == removal.position
            }
        };
        let is_announced = removal.is_announced || was_announced;
        let Some(before) = record.state.upstream().cloned() else {
            record.position = removal.position;
            record.state = RegistrationState::Removed { is_announced };
            self.last_change = self.last_change.max(removal.position);
            return None;
        };
        let removal = Removal {
            is_announced,
            ..removal
        };
        self.note_removal(id, removal);
        Some(before)
    }

    fn note_removal(&mut self, id: &UpstreamId, removal: Removal) {
        let is_announced = removal.is_announced;
        let state = RegistrationState::Removed { is_announced };
        self.note(id.clone(), removal.position, state, removal.delay);
        self.forget_removals();
    }

    fn note(
        &mut self,
        id: UpstreamId,
        position: Position,
        state: RegistrationState,
        delay: Duration,
    ) {
        let is_removal = state.upstream().is_none();
        let record = Record {
            position,
            state,
            learned_at: Instant::now(),
            delay,
        };
        let before = self.records.insert(id, record);
        let was_removal = before.is_some_and(|before| before.state.upstream().is_none());
        self.removals += usize::from(is_removal);
        self.removals -= usize::from(was_removal);
        self.last_change = self.last_change.max(position);
    }

    /// Forgets the older half of the removals, when there are too many.
    fn forget_removals(&mut self) {
        if self.removals <= REMOVALS_LIMIT {
            return;
        }
        let removals = self.records.values();
        let removals = removals.filter(|record| record.state.upstream().is_none());
        let mut positions: Vec<Position> = removals.map(|record| record.position).collect();
        positions.sort_unstable();
        let last = positions[positions.len() / 2];
        self.records
            .retain(|_, record| record.state.upstream().is_some() || record.position > last);
        self.removals = positions
            .iter()
            .filter(|position| **position > last)
            .count();
        self.removals_known_after = self.removals_known_after.max(last);
    }

    /// Notes that all was taken over as of `position`, so that removals before it may have
    /// been missed.
    pub fn reloaded_at(&mut self, position: Position) {
        self.removals_known_after = self.removals_known_after.max(position);
    }

    /// Ends the use of an upstream that was kept until `now` or earlier; whether it was.
    pub fn end_grace(&mut self, id: &UpstreamId, now: Instant) -> bool {
        let is_over = self.kept.get(id).is_some_and(|kept| kept.until <= now);
        is_over && self.kept.remove(id).is_some()
    }

    /// Ends the use of all upstreams that are kept; their ids.
    pub fn end_all_grace(&mut self) -> Vec<UpstreamId> {
        self.kept.drain().map(|(id, _)| id).collect()
    }

    /// The last change of an upstream that is known.
    #[must_use]
    pub fn record(&self, id: &UpstreamId) -> Option<&Record> {
        self.records.get(id)
    }

    /// Whether a registration that somebody tells of may have been removed since, as all that
    /// stood later than it is known, but not it.
    #[must_use]
    pub fn may_be_removed(&self, upstream: &Upstream) -> bool {
        let is_unknown = !self.records.contains_key(&upstream.id);
        is_unknown && upstream.registered_at <= self.removals_known_after
    }

    /// All last changes after `position`; none if some of them may be forgotten.
    pub fn changes_after(
        &self,
        position: Position,
    ) -> Option<impl Iterator<Item = (&UpstreamId, &Record)>> {
        if position < self.removals_known_after {
            return None;
        }
        let has_any = self.last_change > position;
        let records = has_any.then(|| self.records.iter()).into_iter().flatten();
        Some(records.filter(move |(_, record)| record.position > position))
    }

    /// The registrations that are published, to be handed to others.
    pub fn published(&self) -> impl Iterator<Item = &Upstream> {
        let records = self.records.values();
        records.filter_map(|record| record.state.upstream())
    }

    /// The upstreams that are used.
    pub fn in_use(&self) -> impl Iterator<Item = &Upstream> {
        let kept = self.kept.values().map(|kept| &kept.upstream);
        self.published().chain(kept)
    }
}
