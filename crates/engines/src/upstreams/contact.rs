//! What is known of the reachability of availability zones, and upstreams to probe.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mangofront_routes::Upstream;
use mangofront_settings::ids::AvailabilityZone;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::Upstreams;
use crate::state::State;
use crate::upstream_state::UpstreamState;
use crate::work::UpstreamKey;

impl Upstreams {
    /// Records that an upstream sent data, so that its zone is reachable.
    pub fn received_from(&self, upstream: UpstreamKey) {
        let mut state = self.0.state.borrow_mut();
        self.record_zone_contact_of(&mut state, upstream);
    }

    /// Records that a zone is reachable.
    pub fn mark_zone_reachable(&self, zone: &str) {
        let now = self.now();
        let mut state = self.0.state.borrow_mut();
        state.record_zone_contact(zone, &self.0.availability_zone, now);
    }

    /// Zones that are excluded, as nothing was received from them.
    #[must_use]
    pub fn unreachable_zones(&self) -> Vec<AvailabilityZone> {
        let now = self.now();
        let state = self.0.state.borrow();
        let zones = state.zone_contacts.keys();
        zones
            .filter(|zone| state.is_zone_unreachable(zone, now))
            .cloned()
            .collect()
    }

    /// Other zones without contact for `silence`, each with one of its upstreams to probe.
    #[must_use]
    pub fn probe_targets(&self, silence: Duration) -> Vec<Upstream> {
        let now = self.now();
        let state = self.0.state.borrow();
        let needs_probe = |at: &Instant| now.saturating_duration_since(*at) >= silence;
        let zones = state.zone_contacts.iter().filter(|(_, at)| needs_probe(at));
        let next_in_zone = |zone: &AvailabilityZone| {
            let upstreams: Vec<&UpstreamState> = state
                .upstreams
                .iter()
                .filter(|entry| {
                    entry.registration.availability_zone == *zone && state.may_be_probed(entry, now)
                })
                .collect();
            let turn = state.next_work as usize;
            upstreams
                .get(turn % upstreams.len().max(1))
                .map(|entry| entry.registration.clone())
        };
        zones.filter_map(|(zone, _)| next_in_zone(zone)).collect()
    }

    pub(super) fn record_zone_contact_of(&self, state: &mut State, upstream: UpstreamKey) {
        let zone = state
            .upstream_mut(upstream)
            .map(|entry| entry.registration.availability_zone.clone());
        if let Some(zone) = zone {
            state.record_zone_contact(&zone, &self.0.availability_zone, self.now());
        }
    }

    /// Availability zones of all known upstreams.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<AvailabilityZone> {
        let state = self.0.state.borrow();
        let zones = state.upstreams.iter();
        zones
            .map(|entry| entry.registration.availability_zone.clone())
            .collect()
    }

    /// Up to `count` upstreams other than `except` that take work. Those that are neither ejected nor
    /// silent come first, and then those of the own zone.
    #[must_use]
    pub fn draw_others(&self, except: UpstreamKey, count: usize) -> Vec<Upstream> {
        self.draw(count, |entry| entry.key != except)
    }

    /// Like [`Self::draw_others`], of the service of `except` alone if that has others.
    #[must_use]
    pub fn draw_of_service(&self, except: UpstreamKey, count: usize) -> Vec<Upstream> {
        let service = self.registration(except).map(|upstream| upstream.service);
        let is_of_service = |entry: &UpstreamState| {
            entry.key != except && Some(&entry.registration.service) == service.as_ref()
        };
        let drawn = self.draw(count, is_of_service);
        match drawn.is_empty() {
            true => self.draw_others(except, count),
            false => drawn,
        }
    }

    fn draw(&self, count: usize, is_drawn: impl Fn(&UpstreamState) -> bool) -> Vec<Upstream> {
        let mut state = self.0.state.borrow_mut();
        let turn = state.next_work;
        state.next_work += 1;
        let now = self.now();
        let rank = |key: UpstreamKey| xxh3_64_with_seed(&key.to_le_bytes(), turn);
        let others = state.upstreams.iter();
        let mut others: Vec<&UpstreamState> = others
            .filter(|entry| is_drawn(entry) && state.may_be_probed(entry, now))
            .collect();
        let is_remote = |one: &Upstream| one.availability_zone != self.0.availability_zone;
        others.sort_by_key(|entry| {
            let is_avoided = entry.health.is_ejected(now) || entry.health.is_silent(now);
            (is_avoided, is_remote(&entry.registration), rank(entry.key))
        });
        let others = others.into_iter().take(count);
        others.map(|entry| entry.registration.clone()).collect()
    }
}
