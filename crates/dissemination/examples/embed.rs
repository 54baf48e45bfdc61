//! Relaying news, embedding nothing but this crate.
//!
//! The second relay of a zone holds what it was told, sees the first pass it on, and
//! has nothing left to do; what the first never passed on, it does itself.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use mangofront_dissemination::{
    Batch, COALESCING_WINDOW, LatestSequences, Origin, PendingBatches, STANDBY_DELAY, Scope,
};

/// Place among the relays of its zone; the first is 0.
const SECOND: usize = 1;

fn main() {
    let now = Instant::now();
    let mut sequences = LatestSequences::default();
    let mut held = PendingBatches::default();
    for sequence in [1, 2] {
        let telling = telling(sequence);
        if sequences.advance(telling.origin.incarnation_id(), sequence) {
            held.add(telling, Scope::Fleet, SECOND, now);
        }
    }
    // The first relay passes on the first telling, and then fails.
    held.remove_forwarded([(telling(1).origin.incarnation_id(), 1)]);
    let due = held.take_due(now + COALESCING_WINDOW + STANDBY_DELAY);
    for (scope, telling) in &due {
        println!("passes on telling {} to {scope:?}", telling.sequence);
    }
    assert_eq!(due.len(), 1);
}

fn telling(sequence: u64) -> Batch<&'static str> {
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
