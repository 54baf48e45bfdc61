//! Heartbeats of whole availability zones.
//!
//! Only neighbours hear each other, so that traffic doesn't grow with the
//! fleet. What is known of a far member is therefore: nothing ill was said of
//! it, and its zone still beats. A zone's beat is a count that each of its
//! members raises by one when nobody else did for a period, and that all
//! daemons merge by the greatest value. When it stands still, the zone is cut
//! off or gone, and its members are suspected and then dead in this view only;
//! when it moves again they are back, without a word having to be exchanged
//! about each of them.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use xxhash_rust::xxh3::xxh3_64;

use crate::wire::Pulse;

/// Other zones' beats in one message; the rest take their turn in the next.
const FAR_PULSES: usize = 6;

/// Short name of a zone in messages.
pub(crate) type ZoneKey = u32;

/// Beats of all zones.
#[derive(Debug)]
pub(crate) struct Pulses {
    own: ZoneKey,
    /// Count of the own zone at this daemon's last beat.
    own_seen: u32,
    zones: BTreeMap<ZoneKey, Beat>,
    /// Zone after which the next message's turn begins.
    turn: ZoneKey,
}

#[derive(Debug)]
struct Beat {
    count: u32,
    moved: Instant,
}

/// Short name of a zone.
pub(crate) fn zone_key(region: &str, availability_zone: &str) -> ZoneKey {
    let hash = xxh3_64(format!("{region}\0{availability_zone}").as_bytes());
    (hash & u64::from(u32::MAX)) as u32
}

impl Pulses {
    /// Only the own zone.
    pub(crate) fn new(own: ZoneKey, now: Instant) -> Self {
        let beat = Beat {
            count: 1,
            moved: now,
        };
        Self {
            own,
            own_seen: 0,
            zones: BTreeMap::from([(own, beat)]),
            turn: own,
        }
    }

    /// Makes a zone known; only known zones are merged, so that messages can't fill memory.
    pub(crate) fn know(&mut self, zone: ZoneKey, now: Instant) {
        self.zones.entry(zone).or_insert(Beat {
            count: 0,
            moved: now,
        });
    }

    /// Raises the own zone's count unless another member did since the last call.
    pub(crate) fn beat(&mut self, now: Instant) {
        let Some(beat) = self.zones.get_mut(&self.own) else {
            return;
        };
        if beat.count == self.own_seen {
            beat.count = beat.count.saturating_add(1);
            beat.moved = now;
        }
        self.own_seen = beat.count;
    }

    /// Takes the greater counts.
    pub(crate) fn merge(&mut self, pulses: &[Pulse], now: Instant) {
        for pulse in pulses {
            match self.zones.get_mut(&pulse.zone) {
                Some(beat) if pulse.count > beat.count => {
                    beat.count = pulse.count;
                    beat.moved = now;
                }
                _ => {}
            }
        }
    }

    /// The own zone's beat and the next few others'.
    pub(crate) fn compose(&mut self) -> Vec<Pulse> {
        let after = self.zones.range(self.turn.saturating_add(1)..);
        let before = self.zones.range(..=self.turn);
        let far: Vec<Pulse> = after
            .chain(before)
            .filter(|(zone, _)| **zone != self.own)
            .take(FAR_PULSES)
            .map(|(zone, beat)| Pulse {
                zone: *zone,
                count: beat.count,
            })
            .collect();
        if let Some(last) = far.last() {
            self.turn = last.zone;
        }
        let own = self.zones.get(&self.own).map(|beat| Pulse {
            zone: self.own,
            count: beat.count,
        });
        own.into_iter().chain(far).collect()
    }

    /// How long a zone has been silent; the own one never is.
    pub(crate) fn silent_for(&self, zone: ZoneKey, now: Instant) -> Duration {
        match self.zones.get(&zone) {
            Some(beat) if zone != self.own => now.saturating_duration_since(beat.moved),
            _ => Duration::ZERO,
        }
    }

    /// Starts every silence anew: the time was not ours.
    pub(crate) fn restart_silences(&mut self, now: Instant) {
        for beat in self.zones.values_mut() {
            beat.moved = now;
        }
    }
}
