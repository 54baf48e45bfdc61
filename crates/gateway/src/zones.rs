//! Probes availability zones from which nothing has been received for a while.
//!
//! Each request that is sent to an unreachable zone, or has a part of its prompt prefilled
//! there, costs a timeout. While requests run and daemons exchange state, every zone
//! continually proves to be reachable; a quiet one is probed by opening a connection to one
//! of its upstreams. A probe costs the upstream something, so zones are probed only while
//! this daemon has requests to place.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use mangofront_engines::{Upstreams, key_of};
use mangofront_routes::Upstream;
use mangofront_settings::ids::AvailabilityZone;
use mangofront_upstream::{Connections, Target};

use crate::trace;

/// Silence after which a zone is probed.
const PROBE_AFTER_QUIET: Duration = Duration::from_millis(500);

/// Time between two checks for quiet zones.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Time since its last request for which a daemon counts as active.
///
/// Without this condition 195 daemons that waited 14 s for their first request opened
/// 14,000 connections for probes, as many as for the requests of the following 17 s.
const ACTIVE_WINDOW: Duration = Duration::from_secs(2);

/// Time to open a connection to another zone: many round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Probes quiet zones, forever.
pub(crate) async fn probe_quiet_zones(upstreams: Upstreams, connections: Connections) {
    let mut silent = BTreeSet::new();
    loop {
        compio::time::sleep(CHECK_PERIOD).await;
        let now_silent: BTreeSet<AvailabilityZone> =
            upstreams.unreachable_zones().into_iter().collect();
        for zone in now_silent.symmetric_difference(&silent) {
            trace::zone_changed(zone, silent.contains(zone));
        }
        silent = now_silent;
        if !upstreams.placed_within(ACTIVE_WINDOW) {
            continue;
        }
        for upstream in upstreams.probe_targets(PROBE_AFTER_QUIET) {
            spawn(probe(upstream, upstreams.clone(), connections.clone())).detach();
        }
    }
}

async fn probe(upstream: Upstream, upstreams: Upstreams, connections: Connections) {
    let target = Target {
        instance: upstream.id.clone(),
        address: upstream.address,
    };
    let opened = connections
        .open(&target, Instant::now() + CONNECT_TIMEOUT)
        .await;
    match opened {
        Ok(_connection) => upstreams.received_from(key_of(&upstream)),
        Err(error) => log::debug!(
            "gateway: probe of zone {} failed: {error}",
            upstream.availability_zone
        ),
    }
}
