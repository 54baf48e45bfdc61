//! Incarnations of the other daemons; when one ends, the requests it reported end with it.

use std::net::SocketAddr;

use mangofront_dissemination::{Origin, incarnation_id};
use mangofront_settings::ids::{Incarnation, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

use super::StateExchange;

/// Relation of a message's incarnation to the one that is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum IncarnationStatus {
    New,
    Current,
    Ended,
}

impl StateExchange {
    /// Forgets the requests of a daemon that has left the fleet.
    pub fn remove_daemon(&self, instance: &InstanceId) {
        let daemon = xxh3_64(instance.as_bytes());
        if let Some(incarnation) = self.incarnations.borrow_mut().remove(&daemon) {
            self.forget_incarnation(daemon, incarnation);
        }
    }

    /// Forgets an incarnation that has ended, and its requests.
    fn forget_incarnation(&self, daemon: u64, incarnation: Incarnation) {
        let id = incarnation_id(daemon, incarnation);
        self.upstreams.remove_daemon(id);
        self.sequences.borrow_mut().forget(id);
    }

    /// Records the sender of a message, which was received from `from`; returns false if
    /// its incarnation has ended or it is this daemon itself.
    pub(super) async fn record_sender(&self, other: &Origin, from: SocketAddr) -> bool {
        if other.daemon == self.daemon_hash {
            return false;
        }
        let status = self.record_incarnation(other);
        if status == IncarnationStatus::Ended {
            return false;
        }
        self.upstreams.mark_zone_reachable(&other.zone);
        if status == IncarnationStatus::New {
            self.send_load_snapshot(from).await;
        }
        true
    }

    /// Records an incarnation of a daemon. The requests of an earlier incarnation ended
    /// with it and are forgotten.
    fn record_incarnation(&self, other: &Origin) -> IncarnationStatus {
        let mut incarnations = self.incarnations.borrow_mut();
        let before = incarnations.get(&other.daemon).copied();
        if before.is_some_and(|before| before > other.incarnation) {
            return IncarnationStatus::Ended;
        }
        if before == Some(other.incarnation) {
            return IncarnationStatus::Current;
        }
        incarnations.insert(other.daemon, other.incarnation);
        if let Some(before) = before {
            self.forget_incarnation(other.daemon, before);
        }
        IncarnationStatus::New
    }
}
