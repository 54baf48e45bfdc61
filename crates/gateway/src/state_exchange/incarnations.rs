//! Lives of the other daemons: the work of one ends with it.

use std::net::SocketAddr;

use mangofront_dissemination::{Teller, life_of};
use mangofront_settings::ids::{Incarnation, InstanceId};
use xxhash_rust::xxh3::xxh3_64;

use super::StateExchange;

/// Which life of a daemon something is of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Known {
    New,
    Before,
    Ended,
}

impl StateExchange {
    /// Forgets the work of a daemon that is gone.
    pub fn remove_daemon(&self, instance: &InstanceId) {
        let daemon = xxh3_64(instance.as_bytes());
        if let Some(incarnation) = self.lives.borrow_mut().remove(&daemon) {
            self.forget(daemon, incarnation);
        }
    }

    /// Forgets a life that has ended, and its work.
    fn forget(&self, daemon: u64, incarnation: Incarnation) {
        let life = life_of(daemon, incarnation);
        self.upstreams.forget(life);
        self.sequences.borrow_mut().forget(life);
    }

    /// Notes that a daemon at `from` lives; false if this life of it has ended, or it
    /// is this one.
    pub(super) async fn meet(&self, other: &Teller, from: SocketAddr) -> bool {
        if other.daemon == self.daemon {
            return false;
        }
        let known = self.know(other);
        if known == Known::Ended {
            return false;
        }
        self.upstreams.heard_zone(&other.zone);
        if known == Known::New {
            self.introduce(from).await;
        }
        true
    }

    /// Whether this life of a daemon is known; work of an earlier one ended with it
    /// and is forgotten.
    fn know(&self, other: &Teller) -> Known {
        let mut lives = self.lives.borrow_mut();
        let before = lives.get(&other.daemon).copied();
        if before.is_some_and(|before| before > other.incarnation) {
            return Known::Ended;
        }
        if before == Some(other.incarnation) {
            return Known::Before;
        }
        lives.insert(other.daemon, other.incarnation);
        if let Some(before) = before {
            self.forget(other.daemon, before);
        }
        Known::New
    }
}
