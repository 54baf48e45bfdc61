//! Whatever happens in whatever order, nothing stays behind.

mod support;

use std::time::Duration;

use mangofront_placement::{EngineOutcome, PlacedRequest};
use quickcheck::{Arbitrary, Gen, QuickCheck};
use support::{engines, fleet, report};

#[derive(Debug, Clone)]
enum Step {
    Place(u64),
    FirstToken(usize),
    Drop(usize),
    Report(usize, u64, u64),
    Outcome(usize, EngineOutcome),
    List(usize),
    Peer(Vec<u8>),
    Wait(u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let index = usize::arbitrary(g) % 8;
        let length_tokens = 1_u64 << (u64::arbitrary(g) % 21);
        let outcomes = [
            EngineOutcome::Success,
            EngineOutcome::Error,
            EngineOutcome::Timeout,
            EngineOutcome::Busy,
            EngineOutcome::Leaving,
            EngineOutcome::Loading,
        ];
        match u8::arbitrary(g) % 12 {
            0..=4 => Step::Place(length_tokens),
            5 => Step::FirstToken(index),
            6 => Step::Drop(index),
            7 => Step::Report(index, u64::arbitrary(g) % 10_000, length_tokens),
            8 => Step::Outcome(index, *g.choose(&outcomes).expect("some")),
            9 => Step::List(index),
            10 => Step::Peer(Vec::arbitrary(g)),
            _ => Step::Wait(u64::arbitrary(g) % 20_000),
        }
    }
}

fn counters_return_to_zero(steps: Vec<Step>) -> bool {
    let fleet = fleet(6);
    let mut held: Vec<PlacedRequest> = Vec::new();
    for (number, step) in steps.into_iter().enumerate() {
        match step {
            Step::Place(length_tokens) => {
                held.extend(fleet.placement.place(&fleet.patient(length_tokens), &[]));
            }
            Step::FirstToken(index) => {
                held.get_mut(index).map(PlacedRequest::record_first_token);
            }
            Step::Drop(index) if index < held.len() => drop(held.swap_remove(index)),
            Step::Drop(_) => {}
            Step::Report(index, age_ms, waiting_prefill_tokens) => {
                let mut report = report(number as u64 + 2);
                report.age_ms = age_ms;
                report.waiting_prefill_tokens = waiting_prefill_tokens;
                fleet
                    .placement
                    .apply_load_report(&format!("engine-{index}"), report);
            }
            Step::Outcome(index, outcome) => {
                fleet
                    .placement
                    .record_outcome(&format!("engine-{index}"), outcome);
            }
            Step::List(count) => fleet.placement.set_engines(engines(count)),
            Step::Peer(view) => {
                let peer = "entry-2".to_owned();
                fleet
                    .placement
                    .apply_peer_view(&peer, number as u64, view.into());
            }
            Step::Wait(wait_ms) => fleet.clock.advance(Duration::from_millis(wait_ms)),
        }
        let status = fleet.placement.status();
        let counted = status
            .engines
            .iter()
            .map(|engine| engine.outstanding as usize);
        let members = held
            .iter()
            .map(|placed| placed.group.as_ref().map_or(1, Vec::len));
        if counted.sum::<usize>() != members.sum::<usize>() {
            return false;
        }
        if fleet.placement.own_view().len() > 2_048 {
            return false;
        }
    }
    held.clear();
    let engines = fleet.placement.status().engines;
    engines.iter().all(|engine| {
        (
            engine.outstanding,
            engine.waiting_tokens,
            engine.since_report_tokens,
        ) == (0, 0, 0)
    })
}

#[test]
fn outstanding_counters_return_to_zero() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, 4))
        .tests(300)
        .quickcheck(counters_return_to_zero as fn(Vec<Step>) -> bool);
}
