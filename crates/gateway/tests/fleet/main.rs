//! Fleets in one process that follow a scripted store.
//!
//! Each daemon has its own membership and socket on its own loopback address.
//! `MANGOFRONT_FLEET_SEEDS` sets the seeds, as a range or a list: `1..40` or `3,17`.

mod daemon;
mod evacuation_check;
mod run;
mod script;
mod store;

use compio::runtime::Runtime;

use crate::run::play;
use crate::script::{Family, Script};

/// Guards against requests to an upstream that has left, sent by daemons that the store
/// rejects while it serves others.
#[test]
fn daemons_that_are_turned_away_learn_of_departures_in_time() {
    check(Family::TurnedAway, &[1, 2]);
}

/// Guards against daemons whose queries keep missing the only daemon that is in touch with
/// the store.
#[test]
fn daemons_learn_of_departures_in_time_from_the_only_one_that_is_served() {
    check(Family::OneServed, &[1, 2]);
}

/// Guards against a departure that waits behind a large configuration.
#[test]
fn departures_do_not_wait_for_a_large_configuration() {
    check(Family::Narrow, &[1, 2]);
}

/// Guards against an outage of the store that takes live upstreams out of use, or keeps
/// those that do not register again.
#[test]
fn an_outage_keeps_the_upstreams_that_return() {
    check(Family::Outage, &[1, 2, 3]);
}

/// Guards against requests in a zone that operators work on, and against one that idles after.
///
/// `MANGOFRONT_EVACUATION_SEEDS` sets the seeds.
#[test]
fn evacuation_seeds() {
    let seeds = set_seeds("MANGOFRONT_EVACUATION_SEEDS").unwrap_or_else(|| vec![1, 3, 4, 5]);
    play_seeds(Family::Evacuation, &seeds);
}

/// Guards against the same where the store serves two daemons of 27.
#[test]
fn evacuations_are_learned_in_time_from_the_few_that_are_served() {
    play_seeds(Family::Evacuation, &[2]);
}

/// Guards against evacuations that are missing from the copies that daemons hand to each other.
#[test]
fn evacuations_are_part_of_copies() {
    play_seeds(Family::EvacuationAfterRestore, &[1, 2]);
}

/// Plays the script of each seed, or of those that the environment sets.
fn check(family: Family, seeds: &[u64]) {
    let seeds = set_seeds("MANGOFRONT_FLEET_SEEDS").unwrap_or_else(|| seeds.to_vec());
    play_seeds(family, &seeds);
}

fn play_seeds(family: Family, seeds: &[u64]) {
    let mut failed = Vec::new();
    for seed in seeds.iter().copied() {
        let runtime = Runtime::new().expect("a runtime starts");
        let report = runtime.block_on(play(Script::draw(family, seed)));
        print!("{family:?} seed {seed}: {report}");
        if !report.faults.is_empty() {
            failed.push(seed);
        }
    }
    assert!(failed.is_empty(), "{family:?} failed with seeds {failed:?}");
}

/// The seeds that the environment sets.
fn set_seeds(variable: &str) -> Option<Vec<u64>> {
    let set = std::env::var(variable).ok()?;
    let number = |text: &str| text.trim().parse::<u64>().expect("a seed is a number");
    let seeds = match set.split_once("..") {
        Some((first, end)) => (number(first)..number(end)).collect(),
        None => set.split(',').map(number).collect(),
    };
    Some(seeds)
}
