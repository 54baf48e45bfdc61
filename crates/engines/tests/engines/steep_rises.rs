//! Short prompts that arrive in numbers beside long ones.

use std::cell::Cell;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

use mangofront_engines::{Demand, Placement, key_of};

use crate::profile::engine_profile;
use crate::support::{Fleet, SERVICE, demand, long_request, short_request};

thread_local! {
    static VIRTUAL_TIME: Cell<Duration> = const { Cell::new(Duration::ZERO) };
}

fn clock() -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now) + VIRTUAL_TIME.get()
}

/// Guards against short prompts that queue at full engines while others stand idle, as a single
/// late prompt makes each engine that reads a part of it look late.
#[test]
fn a_late_prompt_does_not_send_short_ones_to_full_engines() {
    let fleet = Fleet::with_clock(24, clock);
    let long = fleet.place(&long_request(200_000)).expect("all are idle");
    let reads_long = |id: &String| long.shares.iter().any(|share| share.upstream.id == *id);
    VIRTUAL_TIME.set(long.expected_first_event + Duration::from_secs(1));
    let mut running = Vec::new();
    for number in 0..24 {
        if !reads_long(&fleet.listed[number].id) {
            let slots = engine_profile().slots as usize;
            running.extend((0..slots).map(|_| place_on(&fleet, number, &short_request())));
        }
    }
    running.iter_mut().for_each(Placement::record_first_event);
    for _ in 0..20 {
        let placed = fleet
            .place(&short_request())
            .expect("the engines have slots");
        assert!(reads_long(&placed.answering().id), "a full engine");
        running.push(placed);
    }
}

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
