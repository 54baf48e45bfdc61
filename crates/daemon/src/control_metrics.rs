//! Exports control traffic and membership as metrics.
//!
//! The links and the connections keep totals of their own; this task adds the
//! growth of these totals since its last run to the metrics.

use std::time::Duration;

use mangofront_peers::MemberState;
use mangofront_telemetry::metrics::PeerState;

use crate::components::Components;

/// Interval between two updates of the metrics.
const UPDATE_INTERVAL: Duration = Duration::from_secs(1);

/// Bytes of control traffic since the start.
#[derive(Debug, Clone, Copy, Default)]
struct ControlTraffic {
    sent_bytes: u64,
    received_bytes: u64,
}

/// Updates the metrics at a fixed interval; never returns.
pub(crate) async fn record(components: Components) {
    let mut last = ControlTraffic::default();
    loop {
        let now = control_traffic(&components);
        let metrics = &components.metrics;
        metrics.control_sent(now.sent_bytes.saturating_sub(last.sent_bytes));
        metrics.control_received(now.received_bytes.saturating_sub(last.received_bytes));
        last = now;
        record_members(&components);
        compio::time::sleep(UPDATE_INTERVAL).await;
    }
}

/// Traffic of the links between daemons and of short calls to engines. Traffic with
/// the platform is not counted.
fn control_traffic(components: &Components) -> ControlTraffic {
    let links = components.peers.counters();
    let engines = components.connections.control_traffic();
    ControlTraffic {
        sent_bytes: links.gossip.bytes_sent + links.calls.bytes_sent + engines.bytes_sent,
        received_bytes: links.gossip.bytes_received
            + links.calls.bytes_received
            + engines.bytes_received,
    }
}

fn record_members(components: &Components) {
    let members = components.peers.members();
    for state in [PeerState::Live, PeerState::Suspected, PeerState::Left] {
        let in_state = members
            .iter()
            .filter(|member| member.instance != components.settings.instance)
            .filter(|member| peer_state(member.state) == state);
        components.metrics.peers(state, in_state.count() as u64);
    }
}

fn peer_state(state: MemberState) -> PeerState {
    match state {
        MemberState::Alive => PeerState::Live,
        MemberState::Suspect => PeerState::Suspected,
        MemberState::Leaving | MemberState::Dead => PeerState::Left,
    }
}
