//! Upstreams that are cold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mangofront_engines::{Placement, key_of};

use crate::support::{Fleet, SERVICE, demand, upstream};

const LONG: Duration = Duration::from_secs(10);

/// Short prompts are due after 300 ms.
const TARGET_MS: u64 = 300;

fn set_cold(fleet: &Fleet, numbers: std::ops::Range<usize>, left: Duration) {
    for number in numbers {
        fleet
            .upstreams
            .set_cold(key_of(&fleet.listed[number]), left);
    }
}

fn number_of(fleet: &Fleet, placement: &Placement) -> usize {
    let id = &placement.shares[0].upstream.id;
    let position = fleet.listed.iter().position(|one| &one.id == id);
    position.expect("a listed upstream")
}

/// Places short prompts that are answered until the end; returns how many went to each upstream.
fn place_short(fleet: &Fleet, count: usize) -> (BTreeMap<usize, usize>, Vec<Placement>) {
    let mut counts = BTreeMap::new();
    let mut running = Vec::new();
    for _ in 0..count {
        let Ok(placement) = fleet.place(&demand(5_000, 200, TARGET_MS)) else {
            continue;
        };
        *counts.entry(number_of(fleet, &placement)).or_default() += 1;
        running.push(placement);
    }
    (counts, running)
}

/// Guards against idle cold engines taking work that warm ones do in time, and against refusals
/// while only cold ones have room.
#[test]
fn warm_engines_are_preferred_while_they_are_in_time() {
    let fleet = Fleet::with_fixed_clock(12);
    set_cold(&fleet, 0..8, LONG);
    let (few, running) = place_short(&fleet, 8);
    assert!(few.keys().all(|number| *number >= 8), "{few:?}");
    let (many, _running) = place_short(&fleet, 40);
    let cold: usize = (0..8).filter_map(|number| many.get(&number)).sum();
    let all: usize = many.values().sum();
    assert!(cold > 0 && all > 30, "{many:?}");
    drop(running);
}

/// Guards against a daemon that sends the short prompts of a returned zone to the first engines of
/// the shared order.
#[test]
fn short_prompts_are_spread_over_a_zone_that_returns() {
    let fleet = Fleet::with_fixed_clock(20);
    set_cold(&fleet, 0..20, LONG);
    let mut used = BTreeSet::new();
    let mut fullest = 0;
    // Each placement ends before the next, so load doesn't spread them.
    for _ in 0..100 {
        let placement = fleet.place(&demand(5_000, 200, TARGET_MS));
        used.insert(number_of(&fleet, &placement.expect("it is placed")));
    }
    let (counts, _running) = place_short(&fleet, 40);
    fullest = fullest.max(counts.values().copied().max().unwrap_or_default());
    assert!(used.len() >= 18, "{used:?}");
    assert!(fullest <= 6, "{counts:?}");
}

/// Guards against an upstream that stays avoided after its warm-up, and against cold upstreams of
/// one service that change another.
#[test]
fn a_warm_up_ends_and_concerns_one_service() {
    let fleet = Fleet::with_fixed_clock(4);
    let placed = |fleet: &Fleet| {
        let placements: Vec<_> = (0..4)
            .map(|_| fleet.place(&demand(5_000, 200, TARGET_MS)).expect("placed"))
            .collect();
        let numbers = placements.iter().map(|one| number_of(fleet, one));
        numbers.collect::<Vec<usize>>()
    };
    let before = placed(&Fleet::with_fixed_clock(4));
    fleet.upstreams.set_cold(99, LONG);
    set_cold(&fleet, 0..4, LONG);
    set_cold(&fleet, 0..4, Duration::ZERO);
    assert_eq!(placed(&fleet), before);
}

/// Guards against requests of a plain service that queue at its warm upstream while cold ones
/// stand idle.
#[test]
fn plain_services_use_cold_upstreams_when_the_warm_ones_are_full() {
    let listed = (0..3).map(|number| upstream(number, "plain", "hall-a"));
    let fleet = Fleet::of(listed.collect());
    set_cold(&fleet, 1..3, LONG);
    let mut order = Vec::new();
    let mut running = Vec::new();
    for _ in 0..10 {
        let placement = fleet.upstreams.place("plain", &demand(0, 0, 120), &[]);
        let placement = placement.expect("it is placed");
        order.push(number_of(&fleet, &placement));
        running.push(placement);
    }
    assert_eq!(order[..6], [0; 6], "{order:?}");
    assert!(order[6..].iter().all(|number| *number > 0), "{order:?}");
    assert_ne!(SERVICE, "plain");
}
