//! Tries zones of which nothing has come for a while.
//!
//! A zone that is cut off costs each request that is sent there, or reads a part
//! of its prompt there, a timeout. While requests run and daemons talk, each zone
//! shows all the time that it can be reached; one that falls quiet is tried by
//! opening a connection to one of its upstreams. That costs the upstream something,
//! so it is done only while this daemon has requests to place.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use mangofront_engines::{Upstreams, key_of};
use mangofront_routes::Upstream;
use mangofront_settings::ids::AvailabilityZone;
use mangofront_upstream::{Connections, Target};

use crate::trace;

/// Silence after which a zone is tried.
const QUIET_AFTER: Duration = Duration::from_millis(500);

/// Time between two looks for quiet zones.
const LOOK_PERIOD: Duration = Duration::from_millis(250);

/// Time since its last request for which a daemon counts as in use.
///
/// Of 14 s in which 195 daemons awaited their first request, trying zones made 14,000
/// connections, as many as the requests of the 17 s after that.
const IN_USE_FOR: Duration = Duration::from_secs(2);

/// Time for a connection to another zone: many round trips.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(350);

/// Tries quiet zones, for ever.
pub(crate) async fn watch(upstreams: Upstreams, connections: Connections) {
    let mut silent = BTreeSet::new();
    loop {
        compio::time::sleep(LOOK_PERIOD).await;
        let now_silent: BTreeSet<AvailabilityZone> =
            upstreams.unreachable_zones().into_iter().collect();
        for zone in now_silent.symmetric_difference(&silent) {
            trace::zone_changed(zone, silent.contains(zone));
        }
        silent = now_silent;
        if !upstreams.placed_within(IN_USE_FOR) {
            continue;
        }
        for upstream in upstreams.probe_targets(QUIET_AFTER) {
            spawn(try_one(upstream, upstreams.clone(), connections.clone())).detach();
        }
    }
}

async fn try_one(upstream: Upstream, upstreams: Upstreams, connections: Connections) {
    let target = Target {
        instance: upstream.id.clone(),
        address: upstream.address,
    };
    let opened = connections
        .open(&target, Instant::now() + CONNECT_TIMEOUT)
        .await;
    match opened {
        Ok(_opened) => upstreams.received_from(key_of(&upstream)),
        Err(error) => log::debug!(
            "gateway: zone {} can't be reached: {error}",
            upstream.availability_zone
        ),
    }
}
