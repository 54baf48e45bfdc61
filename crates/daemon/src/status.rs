//! Status of a daemon for `GET /status`.

use mangofront_admission::AdmissionStatus;
use mangofront_build_info::Build;
use mangofront_configuration::PlatformHealth;
use mangofront_orders::OrdersStatus;
use mangofront_peers::Traffic;
use mangofront_placement::PlacementStatus;
use mangofront_upstream::ControlTraffic;
use serde::Serialize;

use crate::components::Components;

/// Response body of `GET /status`.
#[derive(Debug, Serialize)]
pub(crate) struct Status {
    daemon: DaemonStatus,
    platform: PlatformHealth,
    admission: AdmissionStatus,
    placement: PlacementStatus,
    orders: OrdersStatus,
    peers: PeersStatus,
    engine_calls: TrafficStatus,
}

#[derive(Debug, Serialize)]
struct DaemonStatus {
    instance: String,
    region: String,
    availability_zone: String,
    version: &'static str,
    commit: &'static str,
    sources: &'static str,
    target: &'static str,
    uptime_s: u64,
    requests_in_progress: usize,
}

/// Members and traffic of the links to other daemons.
#[derive(Debug, Serialize)]
struct PeersStatus {
    members: usize,
    alive: usize,
    gossip: TrafficStatus,
    calls: TrafficStatus,
    heartbeats_missed: u64,
    resyncs: u64,
}

/// Number of messages or calls, and their bytes, since the start.
#[derive(Debug, Serialize)]
struct TrafficStatus {
    messages: u64,
    bytes_sent: u64,
    bytes_received: u64,
}

impl From<Traffic> for TrafficStatus {
    fn from(traffic: Traffic) -> Self {
        Self {
            messages: traffic.messages_sent + traffic.messages_received,
            bytes_sent: traffic.bytes_sent,
            bytes_received: traffic.bytes_received,
        }
    }
}

impl From<ControlTraffic> for TrafficStatus {
    fn from(traffic: ControlTraffic) -> Self {
        Self {
            messages: traffic.calls,
            bytes_sent: traffic.bytes_sent,
            bytes_received: traffic.bytes_received,
        }
    }
}

/// Current status of the daemon.
pub(crate) fn status(components: &Components) -> Status {
    let build = Build::current();
    Status {
        daemon: DaemonStatus {
            instance: components.settings.instance.clone(),
            region: components.settings.region.clone(),
            availability_zone: components.settings.availability_zone.clone(),
            version: build.version,
            commit: build.commit.id(),
            sources: build.commit.state(),
            target: build.target,
            uptime_s: components.started.elapsed().as_secs(),
            requests_in_progress: components.entry.in_progress(),
        },
        platform: components.platform.health(),
        admission: components.admission.status(),
        placement: components.placement.status(),
        orders: components.orders.status(),
        peers: peers_status(components),
        engine_calls: components.connections.control_traffic().into(),
    }
}

fn peers_status(components: &Components) -> PeersStatus {
    let members = components.peers.members();
    let alive = members.iter().filter(|member| member.state.is_responsive());
    let counters = components.peers.counters();
    PeersStatus {
        members: members.len(),
        alive: alive.count(),
        gossip: counters.gossip.into(),
        calls: counters.calls.into(),
        heartbeats_missed: counters.heartbeats_missed,
        resyncs: counters.resyncs,
    }
}
