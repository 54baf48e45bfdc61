//! The registrations of upstreams, and which upstreams are in use because of them.
//!
//! The source numbers its changes. Of two statements about one upstream the one with the
//! higher position wins, whichever daemon sent it and in whatever order they arrive.
//! Statements may be lost, repeated or reordered: daemons that know the same last changes
//! hold the same state. Removals are kept as records as well, since an older registration
//! could otherwise undo one.
//!
//! A source that was restored from an earlier state begins another era and may tell again what was
//! true before. A later era wins, except over what a daemon knows of the end of an incarnation: an
//! upstream that has announced its shutdown takes no new work again.
//!
//! A registration may be missing because its upstream has left, or because it lapsed while
//! the source was unreachable. An upstream whose registration may have lapsed therefore
//! stays in use for a grace period. That is a guess of this daemon and is kept apart from
//! the published state: other daemons receive published registrations only, since no
//! message would tell them that the guess has ended.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use mangofront_routes::{Upstream, UpstreamId};

use crate::dialect::Position;

/// Removals that are remembered; above this limit the older half is dropped.
///
/// It covers the upstreams that leave a fleet of the target size within minutes.
const REMOVALS_LIMIT: usize = 4_096;

/// Effect of applying a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegisterOutcome {
    /// The upstream is new, or a relevant property of it changed.
    Changed,
    /// No relevant property changed.
    Unchanged,
    /// Ignored: a later change of the upstream is known.
    Outdated,
    /// Ignored: an earlier incarnation of the upstream wrote it.
    EarlierIncarnation,
}

/// Effect of a missing registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RemovalOutcome {
    /// The upstream was unknown or already in its grace period, or a later change is known.
    Unchanged,
    /// The upstream is no longer in use.
    Removed,
    /// The upstream stays in use until this moment.
    InGrace(Instant),
}

/// The registrations that this daemon knows.
#[derive(Debug, Default)]
pub struct Registrations {
    records: HashMap<UpstreamId, Record>,
    /// Upstreams that are no longer published but still in use.
    in_grace: HashMap<UpstreamId, GracePeriod>,
    /// Upstreams that have announced their shutdown though a restored source does not say so.
    announced_before_restore: HashSet<UpstreamId>,
    /// Upstreams whose removal was known before the source was restored, and that were not written
    /// since.
    revived: HashSet<UpstreamId>,
    removals: usize,
    /// Removals up to this position may be missing from `records`.
    removals_known_after: Position,
    /// Highest position of any change.
    last_change: Position,
}

/// The last known change of an upstream.
#[derive(Debug, Clone)]
pub struct Record {
    /// Position of the change.
    pub position: Position,
    /// State of the registration since then.
    pub state: RegistrationState,
    /// When this daemon learned of the change.
    pub learned_at: Instant,
    /// Propagation delay: how long other daemons had known the change at that moment, as
    /// far as they reported it.
    pub delay: Duration,
}

/// What the source publishes about an upstream.
#[derive(Debug, Clone)]
pub enum RegistrationState {
    /// The upstream is registered.
    Registered(Upstream),
    /// The upstream is not registered.
    Removed {
        /// Whether the upstream is known to have announced its shutdown.
        is_announced: bool,
        /// Start of its last known incarnation, in Unix milliseconds of its own clock.
        started_at_ms: Option<u64>,
    },
}

/// Removal of a registration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Removal {
    /// Position from which the upstream is no longer published.
    pub position: Position,
    /// Whether the upstream is known to have announced its shutdown.
    pub is_announced: bool,
    /// Propagation delay: how long other daemons have known the removal, as far as they
    /// reported it.
    pub delay: Duration,
}

impl Removal {
    /// A removal that this daemon observed at the source itself. Whether the upstream had
    /// announced its shutdown is taken from its record.
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
struct GracePeriod {
    upstream: Upstream,
    until: Instant,
}

impl Record {
    /// Whether the announced shutdown that is recorded stands, though a restored source publishes
    /// `upstream` as it was before.
    fn binds_after_restore(&self, upstream: &Upstream) -> bool {
        self.position.era < upstream.registered_at.era
            && self.state.started_at_ms() == Some(upstream.started_at_ms)
            && self.state.is_announced()
    }

    /// Whether `upstream`, as it was told in an earlier era, announced the shutdown of the recorded
    /// incarnation.
    fn lacks_announcement(&self, upstream: &Upstream) -> bool {
        let published = self.state.upstream();
        upstream.leaving
            && upstream.registered_at.era < self.position.era
            && published.is_some_and(|published| {
                !published.leaving && published.started_at_ms == upstream.started_at_ms
            })
    }

    /// Whether `upstream` may be published only because a restored source forgot its removal.
    fn is_revived_by_restore(&self, upstream: &Upstream) -> bool {
        self.position.era < upstream.registered_at.era && self.state.upstream().is_none()
    }

    /// Time since the first daemon learned of the change.
    #[must_use]
    pub fn known_for(&self) -> Duration {
        self.delay + self.learned_at.elapsed()
    }
}

impl RegistrationState {
    /// Start of the last known incarnation, in Unix milliseconds of the upstream's own clock.
    fn started_at_ms(&self) -> Option<u64> {
        match self {
            Self::Registered(upstream) => Some(upstream.started_at_ms),
            Self::Removed { started_at_ms, .. } => *started_at_ms,
        }
    }

    fn upstream(&self) -> Option<&Upstream> {
        match self {
            Self::Registered(upstream) => Some(upstream),
            Self::Removed { .. } => None,
        }
    }

    /// Whether the upstream is known to have announced its shutdown.
    #[must_use]
    pub fn is_announced(&self) -> bool {
        match self {
            Self::Registered(upstream) => upstream.leaving,
            Self::Removed { is_announced, .. } => *is_announced,
        }
    }
}

impl Registrations {
    /// Applies a registration that other daemons have known for `delay`.
    pub fn register(&mut self, mut upstream: Upstream, delay: Duration) -> RegisterOutcome {
        let id = upstream.id.clone();
        let record = self.records.get(&id);
        let position = upstream.registered_at;
        if let Some(record) = record.filter(|record| record.position > position) {
            return match record.lacks_announcement(&upstream) {
                true => self.bind_announcement(&id),
                false => RegisterOutcome::Outdated,
            };
        }
        let is_bound = record.is_some_and(|record| record.binds_after_restore(&upstream));
        let was_bound =
            self.announced_before_restore.contains(&id) && published_at(record) == Some(position);
        // A copy of another daemon's values may have it bound already.
        let is_untold = is_bound || was_bound;
        upstream.leaving |= is_untold;
        let published = record.and_then(|record| record.state.upstream());
        if published.is_some_and(|published| {
            published.registered_at == position && published.leaving >= upstream.leaving
        }) {
            return RegisterOutcome::Unchanged;
        }
        // Another daemon knows of the announcement.
        let is_untold = is_untold || published_at(record) == Some(position);
        let before = published.or_else(|| self.in_grace.get(&id).map(|grace| &grace.upstream));
        if before.is_some_and(|before| before.started_at_ms > upstream.started_at_ms) {
            return RegisterOutcome::EarlierIncarnation;
        }
        let is_unchanged = before.is_some_and(|before| before.eq_except_registered_at(&upstream));
        let is_revived = record.is_some_and(|record| record.is_revived_by_restore(&upstream));
        self.in_grace.remove(&id);
        match is_untold {
            true => self.announced_before_restore.insert(id.clone()),
            false => self.announced_before_restore.remove(&id),
        };
        match is_revived {
            true => self.revived.insert(id.clone()),
            false => self.revived.remove(&id),
        };
        self.insert(id, position, RegistrationState::Registered(upstream), delay);
        match is_unchanged {
            true => RegisterOutcome::Unchanged,
            false => RegisterOutcome::Changed,
        }
    }

    /// Has an announced shutdown stand that was told in an earlier era than the registration.
    fn bind_announcement(&mut self, id: &UpstreamId) -> RegisterOutcome {
        if let Some(record) = self.records.get_mut(id)
            && let RegistrationState::Registered(upstream) = &mut record.state
        {
            upstream.leaving = true;
        }
        self.announced_before_restore.insert(id.clone());
        RegisterOutcome::Changed
    }

    /// Records that an upstream is no longer published. It stays in use until
    /// `grace_until`, if that is given and the upstream had not announced its shutdown.
    pub fn mark_missing(
        &mut self,
        id: &UpstreamId,
        removal: Removal,
        grace_until: Option<Instant>,
    ) -> RemovalOutcome {
        let Some(before) = self.replace_registration(id, removal) else {
            return self.end_announced(id, removal);
        };
        let grace_until = grace_until.filter(|_| !self.revived.remove(id));
        match grace_until {
            Some(until) if !before.leaving && !removal.is_announced => {
                let grace = GracePeriod {
                    upstream: before,
                    until,
                };
                self.in_grace.insert(id.clone(), grace);
                RemovalOutcome::InGrace(until)
            }
            _ => RemovalOutcome::Removed,
        }
    }

    /// Ends the grace period of an upstream that turns out to have announced its shutdown.
    fn end_announced(&mut self, id: &UpstreamId, removal: Removal) -> RemovalOutcome {
        let is_last = |record: &Record| record.position <= removal.position;
        let ends = removal.is_announced && self.records.get(id).is_some_and(is_last);
        match ends && self.in_grace.remove(id).is_some() {
            true => RemovalOutcome::Removed,
            false => RemovalOutcome::Unchanged,
        }
    }

    /// Stops using an upstream immediately; returns whether it was in use.
    pub fn remove(&mut self, id: &UpstreamId, removal: Removal) -> bool {
        let is_outdated = |record: &Record| record.position > removal.position;
        if self.records.get(id).is_some_and(is_outdated) {
            return false;
        }
        let was_in_grace = self.in_grace.remove(id).is_some();
        self.revived.remove(id);
        let was_published = self.replace_registration(id, removal).is_some();
        was_in_grace || was_published
    }

    /// Records a removal; returns the registration that it replaces, if one was published.
    fn replace_registration(&mut self, id: &UpstreamId, removal: Removal) -> Option<Upstream> {
        let Some(record) = self.records.get_mut(id) else {
            self.insert_removal(id, removal);
            return None;
        };
        if record.position > removal.position {
            return None;
        }
        let was_announced = match &record.state {
            RegistrationState::Registered(before) => before.leaving,
            // A removal at a higher position belongs to a later incarnation.
            RegistrationState::Removed { is_announced, .. } => {
                *is_announced && record.position == removal.position
            }
        };
        let is_announced = removal.is_announced || was_announced;
        self.announced_before_restore.remove(id);
        let Some(before) = record.state.upstream().cloned() else {
            record.position = removal.position;
            record.state = RegistrationState::Removed {
                is_announced,
                started_at_ms: record.state.started_at_ms(),
            };
            self.last_change = self.last_change.max(removal.position);
            return None;
        };
        let removal = Removal {
            is_announced,
            ..removal
        };
        self.insert_removal(id, removal);
        Some(before)
    }

    fn insert_removal(&mut self, id: &UpstreamId, removal: Removal) {
        let before = self.records.get(id);
        let state = RegistrationState::Removed {
            is_announced: removal.is_announced,
            started_at_ms: before.and_then(|record| record.state.started_at_ms()),
        };
        self.insert(id.clone(), removal.position, state, removal.delay);
        self.forget_removals();
    }

    fn insert(
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

    /// Drops the older half of the removals when there are too many.
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

    /// Records that all registrations were replaced by those of `position`, so that earlier
    /// removals may have been missed.
    pub fn reloaded_at(&mut self, position: Position) {
        self.removals_known_after = self.removals_known_after.max(position);
    }

    /// Stops using an upstream whose grace period has ended at `now`; returns whether it
    /// did.
    pub fn end_grace(&mut self, id: &UpstreamId, now: Instant) -> bool {
        let is_over = self
            .in_grace
            .get(id)
            .is_some_and(|grace| grace.until <= now);
        is_over && self.in_grace.remove(id).is_some()
    }

    /// Ends all grace periods; returns the ids of the upstreams.
    pub fn end_all_grace(&mut self) -> Vec<UpstreamId> {
        self.in_grace.drain().map(|(id, _)| id).collect()
    }

    /// The last known change of an upstream.
    #[must_use]
    pub fn record(&self, id: &UpstreamId) -> Option<&Record> {
        self.records.get(id)
    }

    /// Whether a registration that another daemon sent may have been removed since: this
    /// daemon does not know the upstream, but knows everything published at that position.
    #[must_use]
    pub fn may_be_removed(&self, upstream: &Upstream) -> bool {
        let is_unknown = !self.records.contains_key(&upstream.id);
        is_unknown && upstream.registered_at <= self.removals_known_after
    }

    /// All last changes after `position`, and the announcements of shutdown that a restored source
    /// does not tell; `None` if some of them may have been dropped.
    pub fn changes_after(
        &self,
        position: Position,
    ) -> Option<impl Iterator<Item = (&UpstreamId, &Record)>> {
        if position < self.removals_known_after {
            return None;
        }
        let untold = &self.announced_before_restore;
        let is_of_later_era = position.era > self.last_change.era;
        let has_any = self.last_change > position || !untold.is_empty() || is_of_later_era;
        let records = has_any.then(|| self.records.iter()).into_iter().flatten();
        Some(records.filter(move |(id, record)| {
            let is_announced = record.state.upstream().is_some_and(|one| one.leaving);
            record.position > position || untold.contains(*id) || is_of_later_era && is_announced
        }))
    }

    /// The published registrations, which other daemons may receive.
    pub fn published(&self) -> impl Iterator<Item = &Upstream> {
        let records = self.records.values();
        records.filter_map(|record| record.state.upstream())
    }

    /// Whether an upstream is in use without a reliable registration.
    #[must_use]
    pub fn is_unconfirmed(&self, id: &UpstreamId) -> bool {
        self.in_grace.contains_key(id) || self.revived.contains(id)
    }

    /// The upstreams in use: the published ones and those in their grace period.
    pub fn in_use(&self) -> impl Iterator<Item = &Upstream> {
        let in_grace = self.in_grace.values().map(|grace| &grace.upstream);
        self.published().chain(in_grace)
    }
}

/// Position at which a record holds a registration.
fn published_at(record: Option<&Record>) -> Option<Position> {
    let upstream = record?.state.upstream()?;
    Some(upstream.registered_at)
}
