//! Control traffic and members as metrics.
//!
//! The links and the connections count for themselves; this carries what they
//! counted since the last look over to the counters that only grow.

use std::time::Duration;

use mangofront_peers::MemberState;
use mangofront_telemetry::metrics::PeerState;

use crate::parts::Parts;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_secs(1);

/// Bytes for control since the start.
#[derive(Debug, Clone, Copy, Default)]
struct Total {
    sent_bytes: u64,
    received_bytes: u64,
}

/// Carries the counts over, for ever.
pub(crate) async fn follow(parts: Parts) {
    let mut last = Total::default();
    loop {
        let now = total(&parts);
        let metrics = &parts.metrics;
        metrics.control_sent(now.sent_bytes.saturating_sub(last.sent_bytes));
        metrics.control_received(now.received_bytes.saturating_sub(last.received_bytes));
        last = now;
        count_members(&parts);
        compio::time::sleep(INTERVAL).await;
    }
}

/// Links between daemons, and short calls to engines. What the platform serves
/// is not counted.
fn total(parts: &Parts) -> Total {
    let links = parts.peers.counters();
    let engines = parts.connections.control_traffic();
    Total {
        sent_bytes: links.gossip.bytes_sent + links.calls.bytes_sent + engines.bytes_sent,
        received_bytes: links.gossip.bytes_received
            + links.calls.bytes_received
            + engines.bytes_received,
    }
}

fn count_members(parts: &Parts) {
    let members = parts.peers.members();
    for state in [PeerState::Live, PeerState::Suspected, PeerState::Left] {
        let of_state = members
            .iter()
            .filter(|member| member.instance != parts.settings.instance)
            .filter(|member| peer_state(member.state) == state);
        parts.metrics.peers(state, of_state.count() as u64);
    }
}

fn peer_state(state: MemberState) -> PeerState {
    match state {
        MemberState::Alive => PeerState::Live,
        MemberState::Suspect => PeerState::Suspected,
        MemberState::Leaving | MemberState::Dead => PeerState::Left,
    }
}
