//! Uses this crate alone to forward batches as a relay.
//!
//! The second relay of a zone keeps two batches pending. The first relay forwards one of
//! them and fails; the second relay forwards the other.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use mangofront_dissemination::{
    Batch, COALESCING_WINDOW, LatestSequences, Origin, PendingBatches, STANDBY_DELAY, Scope,
};

/// Rank among the relays of the zone; the first is 0.
const SECOND: usize = 1;

fn main() {
    let now = Instant::now();
    let mut sequences = LatestSequences::default();
    let mut pending = PendingBatches::default();
    for sequence in [1, 2] {
        let batch = batch(sequence);
        if sequences.advance(batch.origin.incarnation_id(), sequence) {
            pending.add(batch, Scope::Fleet, SECOND, now);
        }
    }
    // The first relay forwards the first batch and then fails.
    pending.remove_forwarded([(batch(1).origin.incarnation_id(), 1)]);
    let due = pending.take_due(now + COALESCING_WINDOW + STANDBY_DELAY);
    for (scope, batch) in &due {
        println!("forwards batch {} to {scope:?}", batch.sequence);
    }
    assert_eq!(due.len(), 1);
}

fn batch(sequence: u64) -> Batch<&'static str> {
    Batch {
        origin: Origin {
            daemon: 7,
            incarnation: 1,
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            zone: "hall-a".to_owned(),
        },
        sequence,
        updates: vec!["a request was placed"],
    }
}
