//! Short prompts that arrive in numbers beside long ones.

use mangofront_engines::{Demand, Placement, key_of};

use crate::support::{Fleet, SERVICE, demand, short_request};

/// Places a request on engine `number`.
fn place_on(fleet: &Fleet, number: usize, demand: &Demand) -> Placement {
    let mut others = fleet.upstreams.keys();
    others.retain(|key| *key != key_of(&fleet.listed[number]));
    let placed = fleet.upstreams.place(SERVICE, demand, &others);
    placed.expect("it has a slot")
}

/// Guards against a short prompt that finds no memory joining a full engine though one with memory
/// has a slot.
#[test]
fn an_engine_with_memory_and_a_slot_goes_before_a_full_one() {
    let fleet = Fleet::with_fixed_clock(3);
    let large_answer = Demand {
        answer_limit_tokens: 215_000,
        ..short_request()
    };
    let mut without_memory = place_on(&fleet, 0, &large_answer);
    without_memory.record_first_event();
    let mut full: Vec<Placement> = (0..17)
        .map(|_| place_on(&fleet, 1, &short_request()))
        .collect();
    full.iter_mut().for_each(Placement::record_first_event);
    let _busy = place_on(&fleet, 2, &demand(90_000, 1_000, 2_500));
    let placed = fleet.place(&short_request()).expect("one has a slot");
    assert_eq!(placed.answering().id, "i-2");
}
