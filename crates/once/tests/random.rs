//! Random sequences of orders and faults with fixed seeds.
//!
//! The scripts are the same in each run; how their steps interleave depends on
//! the machine, so a run is one sample of what a seed may bring about.

mod fleet;
mod script;

use mangofront_once::Weakness;
use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};
use script::{Faults, Script, Tally, play_all};

const SCRIPTS_AT_ONCE: usize = 25;
const SIZE: usize = 50;
const BATCHES: u64 = 4;

/// Batches of scripts in a run; `ONCE_BATCHES` asks for a longer one.
fn batches() -> u64 {
    let wanted = std::env::var("ONCE_BATCHES").ok();
    wanted
        .and_then(|wanted| wanted.parse().ok())
        .unwrap_or(BATCHES)
}

/// Scripts that run side by side, for they mostly wait.
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

fn holds(batch: Batch, faults: Faults) -> TestResult {
    let tally = play_all(&batch.0, faults, Weakness::None);
    println!("{tally:?}");
    if tally.breaches.is_empty() {
        TestResult::from_bool(tally.answers > 0)
    } else {
        TestResult::error(tally.breaches.join("; "))
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
fn at_most_once_under_deaths_cuts_and_freezes() {
    check(1, |batch| holds(batch, Faults::FixedList));
}

#[test]
fn at_most_once_under_changing_lists() {
    check(2, |batch| holds(batch, Faults::ChangingList));
}

/// Plays batches until one breaks a promise.
fn weakened(seed: u64, faults: Faults, weakness: Weakness) -> Tally {
    let mut generator = Gen::from_size_and_seed(SIZE, seed);
    let mut tally = Tally::default();
    for _ in 0..6 {
        let Batch(scripts) = Batch::arbitrary(&mut generator);
        tally = play_all(&scripts, faults, weakness);
        if !tally.breaches.is_empty() {
            break;
        }
    }
    println!("{weakness:?}: {tally:?}");
    tally
}

#[test]
fn a_majority_of_one_runs_twice() {
    let tally = weakened(1, Faults::FixedList, Weakness::MajorityOfOne);
    assert!(!tally.breaches.is_empty());
}

#[test]
fn voters_that_do_not_synchronise_run_twice() {
    let tally = weakened(2, Faults::ChangingList, Weakness::NoSynchronisation);
    assert!(!tally.breaches.is_empty());
}
