//! The availability zones that operators evacuate.
//!
//! Of each zone the last known change is kept, also when it ended an evacuation: an older
//! statement could otherwise begin it again. Of two statements about one zone the one with the
//! higher position wins, whichever daemon sent it and in whatever order they arrive.
//!
//! A source that was restored from an earlier state may have forgotten an evacuation, or its end. A
//! zone that was evacuated stays so until the restored source tells of it: work that is sent there
//! does more harm than a zone that idles until an operator ends its evacuation again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use mangofront_settings::ids::AvailabilityZone;

use crate::dialect::Position;

/// Zones that are remembered; many times those of a fleet of the target size.
const ZONES_LIMIT: usize = 1_024;

/// Longest name of a zone, in bytes.
const NAME_LIMIT_BYTES: usize = 128;

/// Whether upstreams of a zone get new work.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneState {
    /// They get none.
    Evacuated,
    /// They get it again.
    Open,
}

/// A statement about a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneChange {
    /// State of the zone since then.
    pub state: ZoneState,
    /// Position of the change.
    pub position: Position,
    /// How long other daemons have known it, as far as they reported it.
    pub delay: Duration,
}

/// The last known change of a zone.
#[derive(Debug, Clone)]
pub struct ZoneRecord {
    /// The change, as it was learned.
    pub change: ZoneChange,
    /// When this daemon learned of it.
    pub learned_at: Instant,
    /// The source, or the daemon that told of it.
    pub learned_from: String,
}

impl ZoneRecord {
    /// Time since the first daemon learned of the change.
    #[must_use]
    pub fn known_for(&self) -> Duration {
        self.change.delay + self.learned_at.elapsed()
    }

    fn is_evacuated(&self) -> bool {
        self.change.state == ZoneState::Evacuated
    }
}

/// Effect of a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ZoneOutcome {
    /// The zone is evacuated now, or no longer.
    Changed,
    /// The state of the zone is the same.
    Unchanged,
    /// Ignored: a later change is known, or its end may have been.
    Outdated,
    /// Ignored: the name is empty or too long.
    InvalidName,
    /// Ignored: too many zones are evacuated.
    TooMany,
}

/// Effect of values that replaced all others.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReloadOutcome {
    /// Zones whose evacuation has ended.
    pub ended: Vec<AvailabilityZone>,
    /// Zones of whose evacuation a restored source does not tell, when it was read first.
    pub kept: Vec<AvailabilityZone>,
}

/// What this daemon knows of evacuations.
#[derive(Debug, Default)]
pub struct Evacuations {
    records: BTreeMap<AvailabilityZone, ZoneRecord>,
    /// Position at which all values were last replaced.
    reloaded_at: Position,
    /// Ends of evacuations up to this position may be missing.
    ends_known_after: Position,
}

impl Evacuations {
    /// Applies a statement about a zone, learned from `from`.
    pub fn apply(&mut self, zone: &str, change: ZoneChange, from: &str) -> ZoneOutcome {
        if zone.is_empty() || zone.len() > NAME_LIMIT_BYTES {
            return ZoneOutcome::InvalidName;
        }
        let before = self.records.get(zone).map(|record| record.change);
        match before {
            Some(before) if before.position >= change.position => return ZoneOutcome::Outdated,
            Some(before) if before.state == change.state => {
                if let Some(record) = self.records.get_mut(zone) {
                    record.change.position = change.position;
                }
                return ZoneOutcome::Unchanged;
            }
            Some(_) => {}
            None if self.may_have_ended(&change) => return ZoneOutcome::Outdated,
            None if !self.make_room() => return ZoneOutcome::TooMany,
            None => {}
        }
        self.insert(zone, change, from);
        match before.is_some() || change.state == ZoneState::Evacuated {
            true => ZoneOutcome::Changed,
            false => ZoneOutcome::Unchanged,
        }
    }

    /// Whether the evacuation of an unknown zone has ended, as far as this daemon can tell: it knew
    /// all values at that position or later, and the zone was not among them.
    fn may_have_ended(&self, change: &ZoneChange) -> bool {
        let is_covered = |known: Position| known.includes(change.position);
        change.state == ZoneState::Evacuated
            && (is_covered(self.reloaded_at) || is_covered(self.ends_known_after))
    }

    /// Records that all values were replaced by those of `position`, of which `present` are the
    /// evacuated zones.
    pub fn reload(
        &mut self,
        position: Position,
        present: &BTreeSet<AvailabilityZone>,
        from: &str,
    ) -> ReloadOutcome {
        let is_first_of_era = self.reloaded_at.era < position.era;
        let mut outcome = ReloadOutcome::default();
        let missing = self.records.iter().filter(|(zone, record)| {
            let is_told_later = record.change.position > position;
            record.is_evacuated() && !is_told_later && !present.contains(*zone)
        });
        for (zone, record) in missing {
            match record.change.position.era == position.era {
                true => outcome.ended.push(zone.clone()),
                false if is_first_of_era => outcome.kept.push(zone.clone()),
                false => {}
            }
        }
        for zone in &outcome.ended {
            let change = ZoneChange {
                state: ZoneState::Open,
                position,
                delay: Duration::ZERO,
            };
            self.insert(zone, change, from);
        }
        self.reloaded_at = self.reloaded_at.max(position);
        outcome
    }

    /// All last changes after `position`, and those of earlier eras, which a restored source does
    /// not tell; `None` if some of them may have been dropped.
    pub fn changes_after(
        &self,
        position: Position,
    ) -> Option<impl Iterator<Item = (&AvailabilityZone, &ZoneRecord)>> {
        if position < self.ends_known_after {
            return None;
        }
        let is_told = move |record: &ZoneRecord| {
            let of_change = record.change.position;
            of_change > position || of_change.era < position.era
        };
        let records = self.records.iter();
        Some(records.filter(move |(_, record)| is_told(record)))
    }

    /// All last changes.
    pub fn records(&self) -> impl Iterator<Item = (&AvailabilityZone, &ZoneRecord)> {
        self.records.iter()
    }

    /// The evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = (&AvailabilityZone, &ZoneRecord)> {
        let records = self.records.iter();
        records.filter(|(_, record)| record.is_evacuated())
    }

    fn insert(&mut self, zone: &str, change: ZoneChange, from: &str) {
        let record = ZoneRecord {
            change,
            learned_at: Instant::now(),
            learned_from: from.to_owned(),
        };
        self.records.insert(zone.to_owned(), record);
    }

    /// Makes room for another zone by forgetting the oldest end of an evacuation; returns whether
    /// there is room.
    fn make_room(&mut self) -> bool {
        if self.records.len() < ZONES_LIMIT {
            return true;
        }
        let ended = self.records.iter().filter(|(_, one)| !one.is_evacuated());
        let oldest = ended.min_by_key(|(_, one)| one.change.position);
        let Some((zone, position)) = oldest.map(|(zone, one)| (zone.clone(), one.change.position))
        else {
            return false;
        };
        self.records.remove(&zone);
        self.ends_known_after = self.ends_known_after.max(position);
        true
    }
}
