//! Relaying news, embedding nothing but this crate.
//!
//! The second relay of a zone holds what it was told, sees the first pass it on, and
//! has nothing left to do; what the first never passed on, it does itself.

use std::net::{IpAddr, Ipv4Addr};
use std::time::Instant;

use mangofront_dissemination::{Held, STANDBY_DELAY, Scope, Sequences, Teller, Telling, WINDOW};

/// Place among the relays of its zone; the first is 0.
const SECOND: usize = 1;

fn main() {
    let now = Instant::now();
    let mut sequences = Sequences::default();
    let mut held = Held::default();
    for sequence in [1, 2] {
        let telling = telling(sequence);
        if sequences.is_new(telling.teller.life(), sequence) {
            held.hold(telling, Scope::Fleet, SECOND, now);
        }
    }
    // The first relay passes on the first telling, and then fails.
    held.passed_on([(telling(1).teller.life(), 1)]);
    let due = held.take_due(now + WINDOW + STANDBY_DELAY);
    for (scope, telling) in &due {
        println!("passes on telling {} to {scope:?}", telling.sequence);
    }
    assert_eq!(due.len(), 1);
}

fn telling(sequence: u64) -> Telling<&'static str> {
    Telling {
        teller: Teller {
            daemon: 7,
            incarnation: 1,
            address: IpAddr::V4(Ipv4Addr::LOCALHOST),
            zone: "hall-a".to_owned(),
        },
        sequence,
        news: vec!["a request was placed"],
    }
}
