//! Random sequences of orders and faults with fixed seeds.
//!
//! The scripts are the same in each run, but the interleaving of their steps
//! depends on the machine, so a run is only one sample for its seed.

mod fleet;
mod script;

use mangofront_once::DisabledSafeguard;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use script::{Faults, Script, Tally, run_all};

const SCRIPTS_AT_ONCE: usize = 25;
const SIZE: usize = 50;
const BATCHES: u64 = 4;

/// Number of batches of scripts in a run; `ONCE_BATCHES` overrides the default.
fn batches() -> u64 {
    let requested = std::env::var("ONCE_BATCHES").ok();
    requested
        .and_then(|requested| requested.parse().ok())
        .unwrap_or(BATCHES)
}

/// Scripts that run concurrently, as each mostly waits.
#[derive(Debug, Clone)]
struct Batch(Vec<Script>);

impl Arbitrary for Batch {
    fn arbitrary(generator: &mut Gen) -> Self {
        Self(
            (0..SCRIPTS_AT_ONCE)
                .map(|_| Script::arbitrary(generator))
                .collect(),
        )
    }
}

fn check_batch(batch: Batch, faults: Faults) -> TestResult {
    let tally = run_all(&batch.0, faults, DisabledSafeguard::None);
    println!("{tally:?}");
    if tally.violations.is_empty() {
        TestResult::from_bool(tally.answers > 0)
    } else {
        TestResult::error(tally.violations.join("; "))
    }
}

fn check(seed: u64, property: fn(Batch) -> TestResult) {
    let generator = Gen::from_size_and_seed(SIZE, seed);
    QuickCheck::new()
        .rng(generator)
        .tests(batches())
        .quickcheck(property);
}

#[test]
fn at_most_once_under_crashes_partitions_and_freezes() {
    check(1, |batch| check_batch(batch, Faults::FixedList));
}

#[test]
fn at_most_once_under_changing_lists() {
    check(2, |batch| check_batch(batch, Faults::ChangingList));
}

/// Runs batches until one violates a guarantee.
fn run_until_violation(seed: u64, faults: Faults, disabled: DisabledSafeguard) -> Tally {
    let mut generator = Gen::from_size_and_seed(SIZE, seed);
    let mut tally = Tally::default();
    for _ in 0..6 {
        let Batch(scripts) = Batch::arbitrary(&mut generator);
        tally = run_all(&scripts, faults, disabled);
        if !tally.violations.is_empty() {
            break;
        }
    }
    println!("{disabled:?}: {tally:?}");
    tally
}

#[test]
fn keys_run_twice_when_one_grant_is_enough() {
    let tally = run_until_violation(1, Faults::FixedList, DisabledSafeguard::Majority);
    assert!(!tally.violations.is_empty());
}

#[test]
fn keys_run_twice_when_voters_do_not_synchronise() {
    let tally = run_until_violation(2, Faults::ChangingList, DisabledSafeguard::Synchronisation);
    assert!(!tally.violations.is_empty());
}
