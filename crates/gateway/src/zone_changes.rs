//! Evacuations of zones as they are published, and as other daemons tell of them.

use std::collections::BTreeSet;
use std::time::Duration;

use mangofront_settings::ids::AvailabilityZone;
use serde::Serialize;

use crate::copies::UpstreamsCopy;
use crate::datagram::{UpstreamChangeKind, saturating_ms};
use crate::dialect::{Entry, Position};
use crate::evacuations::{ZoneChange, ZoneOutcome, ZoneState};
use crate::provenance::Provenance;
use crate::published::Published;
use crate::trace;

/// An evacuated zone, for a status page.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct EvacuatedZone {
    /// The zone.
    pub zone: AvailabilityZone,
    /// Time since the first daemon learned of it, in milliseconds.
    pub known_for_ms: u32,
    /// The source, or the daemon that told this one.
    pub learned_from: String,
    /// Era of the source in which it was last told.
    pub era: u32,
    /// Number of the change in that era.
    pub revision: u64,
    /// Whether the source was restored since and has not told of it again.
    pub is_untold_since_restore: bool,
}

impl Published {
    /// The evacuated zones.
    #[must_use]
    pub fn evacuated_zones(&self) -> Vec<EvacuatedZone> {
        let evacuations = self.0.evacuations.borrow();
        let zone = evacuations.evacuated().map(|(zone, record)| {
            let Position { era, revision } = record.change.position;
            EvacuatedZone {
                zone: zone.clone(),
                known_for_ms: saturating_ms(record.known_for()),
                learned_from: record.learned_from.clone(),
                era,
                revision,
                is_untold_since_restore: self.era().is_some_and(|current| era < current),
            }
        });
        zone.collect()
    }

    /// Applies a statement of the source or of another daemon; returns whether the zone is
    /// evacuated now, or no longer.
    pub(crate) fn apply_zone_change(
        &self,
        zone: &str,
        change: ZoneChange,
        provenance: &Provenance,
    ) -> bool {
        let mut evacuations = self.0.evacuations.borrow_mut();
        let outcome = evacuations.apply(zone, change, &provenance.from);
        drop(evacuations);
        match outcome {
            ZoneOutcome::Changed => {
                trace::zone_evacuation(zone, change.state, change.delay, provenance);
                self.sync_evacuations();
                true
            }
            ZoneOutcome::Unchanged | ZoneOutcome::Outdated => false,
            ZoneOutcome::InvalidName => {
                trace::evacuation_ignored(zone, "the name is empty or too long", provenance);
                false
            }
            ZoneOutcome::TooMany => {
                trace::evacuation_refused(zone, provenance);
                false
            }
        }
    }

    /// Records that all values were replaced by those of `position`, of which `present` are the
    /// evacuated zones.
    pub(crate) fn reload_evacuations(
        &self,
        position: Position,
        present: &BTreeSet<AvailabilityZone>,
        provenance: &Provenance,
    ) {
        let mut evacuations = self.0.evacuations.borrow_mut();
        let outcome = evacuations.reload(position, present, &provenance.from);
        drop(evacuations);
        for zone in &outcome.ended {
            trace::zone_evacuation(zone, ZoneState::Open, Duration::ZERO, provenance);
        }
        for zone in &outcome.kept {
            trace::evacuation_kept(zone, provenance);
        }
        if !outcome.ended.is_empty() {
            self.sync_evacuations();
        }
    }

    /// Replaces the upstreams and evacuations by a copy of another daemon's.
    pub(crate) fn apply_upstreams_copy(
        &self,
        position: Position,
        copied: UpstreamsCopy,
        provenance: &Provenance,
    ) {
        let UpstreamsCopy { upstreams, zones } = copied;
        let mut entries: Vec<Entry> = upstreams.into_iter().map(Entry::Upstream).collect();
        for change in &zones {
            if let UpstreamChangeKind::ZoneEvacuated { zone, position } = &change.kind {
                entries.push(Entry::Evacuation {
                    zone: zone.clone(),
                    position: *position,
                });
            }
        }
        // First, as it tells how long each change has been known.
        self.apply_peer_changes(zones, provenance);
        self.apply_all(position, entries, provenance);
    }

    /// Passes the evacuated zones to the selection of upstreams.
    fn sync_evacuations(&self) {
        let evacuations = self.0.evacuations.borrow();
        let zones = evacuations.evacuated().map(|(zone, _)| zone.clone());
        self.0.upstreams.set_evacuated(zones.collect());
    }
}
