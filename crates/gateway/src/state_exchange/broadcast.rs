//! Broadcast of load updates to every daemon, directly or through relays.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::spawn;
use futures_channel::mpsc::UnboundedReceiver;
use futures_util::StreamExt;
use mangofront_dissemination::{Batch, RELAY_TIMEOUT, Scope, Topology};
use mangofront_engines::LoadUpdate;

use super::StateExchange;
use crate::datagram::{Message, split_into_datagrams};

/// Period with which all unfinished requests are broadcast again.
const REBROADCAST_PERIOD: Duration = Duration::from_secs(1);

impl StateExchange {
    /// Broadcasts the updates that arrive in `queue`, forever.
    pub async fn broadcast(self: Rc<Self>, mut queue: UnboundedReceiver<LoadUpdate>) {
        while let Some(first) = queue.next().await {
            let mut updates = vec![first];
            while let Ok(next) = queue.try_recv() {
                updates.push(next);
            }
            let topology = self.topology();
            if topology.uses_relays(self.relay_from_daemons) {
                self.broadcast_by_relays(updates, &topology).await;
            } else {
                self.broadcast_directly(updates, &topology).await;
            }
        }
    }

    async fn broadcast_directly(&self, updates: Vec<LoadUpdate>, topology: &Topology) {
        for part in split_into_datagrams(updates) {
            let message = Message::LoadUpdates(self.next_sequence(), part);
            self.send_all(message, &topology.peers).await;
        }
    }

    /// Sends updates to the relays of the zone; also broadcasts them directly while nothing
    /// has been received from a relay.
    async fn broadcast_by_relays(self: &Rc<Self>, updates: Vec<LoadUpdate>, topology: &Topology) {
        let is_recent = |at: Instant| at.elapsed() < RELAY_TIMEOUT;
        let Some(shard) = topology.shard(topology.shard_of(self.daemon_hash)) else {
            return self.broadcast_directly(updates, topology).await;
        };
        if shard.rank.is_none() && !self.last_relay_received.get().is_some_and(is_recent) {
            self.broadcast_directly(updates.clone(), topology).await;
        }
        for part in split_into_datagrams(updates) {
            let batch = Batch {
                origin: self.own_origin(),
                sequence: self.next_sequence(),
                updates: part,
            };
            if let Some(rank) = shard.rank {
                self.enqueue(batch.clone(), Scope::Fleet, rank);
            }
            let message = Message::Forward(Scope::Fleet, vec![batch]);
            self.send_all(message, &shard.relays).await;
        }
    }

    /// Queues a batch until it is forwarded.
    pub(super) fn enqueue(self: &Rc<Self>, batch: Batch<LoadUpdate>, scope: Scope, rank: usize) {
        let now = Instant::now();
        self.pending.borrow_mut().add(batch, scope, rank, now);
        if !self.is_forwarding.replace(true) {
            spawn(Rc::clone(self).forward_pending()).detach();
        }
    }

    /// Forwards pending batches until none is left.
    async fn forward_pending(self: Rc<Self>) {
        loop {
            let Some(due) = self.pending.borrow().next_due() else {
                self.is_forwarding.set(false);
                return;
            };
            compio::time::sleep_until(due).await;
            let due = self.pending.borrow_mut().take_due(Instant::now());
            let topology = self.topology();
            self.forward_to_other_zones(&due, &topology).await;
            let all = due.into_iter().map(|(_, batch)| batch).collect();
            for part in split_into_datagrams(all) {
                self.send_all(Message::Forwarded(part), &topology.zone_peers)
                    .await;
            }
        }
    }

    /// Forwards batches that have not left this zone to the relays of the other zones.
    async fn forward_to_other_zones(
        &self,
        due: &[(Scope, Batch<LoadUpdate>)],
        topology: &Topology,
    ) {
        let mut by_shard: BTreeMap<usize, Vec<Batch<LoadUpdate>>> = BTreeMap::new();
        let fleet_wide = due.iter().filter(|(scope, _)| *scope == Scope::Fleet);
        for (_, batch) in fleet_wide {
            let shard = topology.shard_of(batch.origin.daemon);
            by_shard.entry(shard).or_default().push(batch.clone());
        }
        for (shard, batches) in by_shard {
            let remote_relays = topology
                .shard(shard)
                .map(|shard| shard.remote_relays.as_slice());
            for part in split_into_datagrams(batches) {
                let message = Message::Forward(Scope::Zone, part);
                self.send_all(message, remote_relays.unwrap_or_default())
                    .await;
            }
        }
    }

    /// Broadcasts all unfinished requests once per second, forever.
    ///
    /// The phase depends on the daemon: daemons that started together would otherwise all
    /// send at once and be silent for the rest of the second.
    pub async fn rebroadcast_running(self: Rc<Self>) {
        let phase = self.daemon_hash as f64 / u64::MAX as f64;
        compio::time::sleep(REBROADCAST_PERIOD.mul_f64(phase)).await;
        loop {
            compio::time::sleep(REBROADCAST_PERIOD).await;
            self.upstreams.broadcast_running();
        }
    }

    /// Applies a batch; returns whether it was new.
    pub(super) async fn apply_batch(&self, batch: &Batch<LoadUpdate>) -> bool {
        let origin = &batch.origin;
        let from = SocketAddr::new(origin.address, self.own_address.port());
        if !self.record_sender(origin, from).await {
            return false;
        }
        let incarnation = origin.incarnation_id();
        let is_new = self
            .sequences
            .borrow_mut()
            .advance(incarnation, batch.sequence);
        if is_new {
            self.apply_updates(incarnation, batch.updates.clone(), from)
                .await;
        }
        is_new
    }
}
