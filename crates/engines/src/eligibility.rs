//! Whether an upstream may get work.
//!
//! The only place that answers this, for placement and for each sender right before it writes.
//! Load, failures and reachability are no part of it: they make an upstream a worse choice, while
//! an upstream that is not eligible gets nothing, whatever else is left.

use std::collections::{BTreeSet, HashMap};
use std::time::Instant;

use mangofront_routes::AllowedRegions;
use mangofront_settings::ids::{AvailabilityZone, Region};

use crate::choose::NoUpstream;
use crate::state::State;
use crate::upstream_state::UpstreamState;
use crate::upstreams::Upstreams;
use crate::work::UpstreamKey;

/// Whether an upstream may get work of a request; the first reason that applies.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Eligibility {
    /// It may.
    Eligible,
    /// This incarnation is not registered.
    Unknown,
    /// It is registered as leaving, or told this daemon so.
    Leaving,
    /// Its zone is in none of the regions in which the request may run.
    OutsideRegions,
    /// Its zone is evacuated.
    Evacuated,
    /// It asked this daemon for rest.
    Resting,
}

impl Eligibility {
    /// Whether the upstream may get work.
    #[must_use]
    pub fn is_eligible(self) -> bool {
        self == Self::Eligible
    }

    /// Whether it may get work now or after its rest.
    pub(crate) fn is_open(self) -> bool {
        matches!(self, Self::Eligible | Self::Resting)
    }
}

/// What is known of availability zones apart from their upstreams.
#[derive(Debug, Default)]
pub(crate) struct ZoneFacts {
    evacuated: BTreeSet<AvailabilityZone>,
    regions: HashMap<AvailabilityZone, Region>,
}

impl ZoneFacts {
    fn region(&self, zone: &str) -> Option<&str> {
        self.regions.get(zone).map(String::as_str)
    }
}

impl Upstreams {
    /// Whether an upstream may get work of a request that may run in the `allowed` regions.
    #[must_use]
    pub fn eligibility(&self, upstream: UpstreamKey, allowed: &AllowedRegions) -> Eligibility {
        let now = self.now();
        let state = self.state();
        let index = state
            .upstreams
            .binary_search_by_key(&upstream, |entry| entry.key);
        index.map_or(Eligibility::Unknown, |index| {
            state.eligibility(&state.upstreams[index], allowed, now)
        })
    }

    /// Whether an upstream may be sent a request that may run anywhere.
    #[must_use]
    pub fn accepts_work(&self, upstream: UpstreamKey) -> bool {
        self.eligibility(upstream, &AllowedRegions::Any)
            .is_eligible()
    }

    /// Replaces the evacuated zones.
    pub fn set_evacuated(&self, zones: BTreeSet<AvailabilityZone>) {
        self.state_mut().zones.evacuated = zones;
    }

    /// Sets the regions of the zones.
    pub fn set_zone_regions(&self, regions: HashMap<AvailabilityZone, Region>) {
        self.state_mut().zones.regions = regions;
    }

    /// Whether the body of a request that may run in the `allowed` regions may pass through a
    /// daemon in `zone`: one in an allowed region, or in that of this daemon.
    #[must_use]
    pub fn may_pass_through(&self, zone: &str, allowed: &AllowedRegions) -> bool {
        let state = self.state();
        let (own, region) = (self.availability_zone(), state.zones.region(zone));
        let is_own_region = region.is_some() && region == state.zones.region(own);
        allowed.allows(region) || zone == own || is_own_region
    }
}

impl State {
    /// Whether an upstream may get work of a request that may run in the `allowed` regions.
    pub(crate) fn eligibility(
        &self,
        entry: &UpstreamState,
        allowed: &AllowedRegions,
        now: Instant,
    ) -> Eligibility {
        let zone = &entry.registration.availability_zone;
        if self.is_leaving(entry) {
            Eligibility::Leaving
        } else if *allowed != AllowedRegions::Any && !allowed.allows(self.zones.region(zone)) {
            Eligibility::OutsideRegions
        } else if self.zones.evacuated.contains(zone) {
            Eligibility::Evacuated
        } else if self.notices.rest(entry.key, now).is_some() {
            Eligibility::Resting
        } else {
            Eligibility::Eligible
        }
    }

    /// Whether an upstream neither leaves nor rests, so that a probe does not disturb it.
    pub(crate) fn may_be_probed(&self, entry: &UpstreamState, now: Instant) -> bool {
        !self.is_leaving(entry) && self.notices.rest(entry.key, now).is_none()
    }
}

/// Why none of the upstreams of a service is open.
pub(crate) fn none_open(found: impl Iterator<Item = Eligibility>) -> NoUpstream {
    found.fold(NoUpstream::NoneKnown, |reason, one| match one {
        Eligibility::Evacuated => NoUpstream::Evacuated,
        Eligibility::OutsideRegions if reason != NoUpstream::Evacuated => {
            NoUpstream::OutsideRegions
        }
        _ => reason,
    })
}
