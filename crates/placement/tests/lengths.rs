//! Short and long prompts keep apart, and the border moves with the demand.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mangofront_placement::{Clock, Policy};
use support::{Fleet, daemon, fleet};

/// Mean position (0 short end, 1 long end) over `count` prompts, held for good.
fn mean_position(fleet: &Fleet, length_tokens: u64, count: usize) -> f64 {
    let order = fleet.order();
    let mut sum = 0;
    for _ in 0..count {
        let placed = fleet
            .placement
            .place(&fleet.patient(length_tokens), &[])
            .expect("place");
        sum += order
            .iter()
            .position(|engine| *engine == placed.instance)
            .expect("place");
    }
    sum as f64 / (count * (order.len() - 1)) as f64
}

#[test]
fn short_and_long_prompts_use_opposite_ends() {
    let fleet = fleet(25);
    let order = fleet.order();
    let position = |instance: &String| order.iter().position(|other| other == instance).unwrap();
    let (mut short, mut long) = (Vec::new(), Vec::new());
    let mut held = Vec::new();
    for round in 0..200 {
        let is_long = round % 20 == 0;
        let length_tokens = if is_long { 200_000 } else { 1_000 };
        let demand = fleet.patient(length_tokens);
        let mut placed = fleet.placement.place(&demand, &[]).unwrap();
        // A short prompt is through when the next one comes, a long one is not.
        fleet.clock.advance(Duration::from_millis(100));
        if is_long {
            long.push(position(&placed.instance));
            held.push(placed);
        } else {
            assert!(
                !long.contains(&position(&placed.instance)),
                "met a long one"
            );
            short.push(position(&placed.instance));
            placed.record_first_token();
        }
    }
    long.sort_unstable();
    assert_eq!(long, (15..25).collect::<Vec<_>>());
    assert!(short.iter().all(|at| *at < 15), "{short:?}");
}

#[test]
fn border_moves_with_demand() {
    let fleet = fleet(25);
    // Middle-length prompts give way to whichever end has more to do.
    let _ = mean_position(&fleet, 200_000, 40);
    let pressed_down = mean_position(&fleet, 4_000, 1);
    fleet.clock.advance(Duration::from_secs(600));
    let _ = mean_position(&fleet, 1_000, 8_000);
    let pressed_up = mean_position(&fleet, 4_000, 1);
    assert!(
        pressed_up > pressed_down + 0.3,
        "{pressed_down} to {pressed_up}"
    );
}

#[test]
fn peers_demand_moves_the_border_too() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 25, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 25, clock, Policy::LengthAware);
    let before = mean_position(&other, 4_000, 1);
    let _ = mean_position(&one, 200_000, 40);
    other
        .placement
        .apply_peer_view(&"entry-1".to_owned(), 1, one.placement.own_view());
    let after = mean_position(&other, 4_000, 1);
    assert!(after < before - 0.1, "{before} to {after}");
}

#[test]
fn a_full_end_spills_over() {
    let fleet = fleet(5);
    let mut used = BTreeSet::new();
    let mut held = Vec::new();
    for _ in 0..200 {
        let placed = fleet.placement.place(&fleet.demand(1_000), &[]).unwrap();
        used.insert(placed.instance.clone());
        held.push(placed);
    }
    assert_eq!(used.len(), 5, "{used:?}");
}

#[test]
fn own_zone_comes_first_at_equal_cost() {
    let fleet = fleet(25);
    let mut compared = 0;
    for length_tokens in [1_000, 2_000, 4_000, 8_000, 16_000, 32_000] {
        let explanation = fleet.placement.explain(&fleet.patient(length_tokens));
        let chosen = explanation.chosen.unwrap();
        let is_at_hand = explanation
            .considered
            .iter()
            .any(|engine| engine.availability_zone == "hall-a" && engine.border_distance == 0.0);
        if is_at_hand {
            compared += 1;
            assert_eq!(fleet.status(&chosen).availability_zone, "hall-a");
        }
    }
    assert!(compared >= 3, "{compared}");
    let own: Vec<_> = (0..25)
        .step_by(3)
        .map(|index| format!("engine-{index}"))
        .collect();
    let elsewhere = fleet.placement.place(&fleet.demand(1_000), &own).unwrap();
    assert_ne!(
        fleet.status(&elsewhere.instance).availability_zone,
        "hall-a"
    );
}

#[test]
fn priorities_put_short_before_long_and_age() {
    let fleet = fleet(4);
    let priority = |length_tokens: u64, left: Duration| {
        let mut demand = fleet.patient(length_tokens);
        demand.deadline = fleet.clock.now() + left;
        fleet.placement.place(&demand, &[]).unwrap().priority
    };
    let patient = Duration::from_secs(600);
    let short = priority(1_000, patient);
    let long = priority(200_000, patient);
    let aged = priority(200_000, Duration::from_secs(22));
    assert!(short < long, "{short} and {long}");
    assert!(aged < long, "{aged} and {long}");
    // Even then it never goes before a prompt of less than a 64th.
    assert!(short < aged, "{short} and {aged}");
}

#[test]
fn overtaking_is_bounded() {
    let fleet = fleet(2);
    let mut demand = fleet.patient(100_000);
    // Ten seconds of prefill and two of answer leave about eight to spare.
    demand.deadline = fleet.clock.now() + Duration::from_secs(20);
    let long = fleet.placement.place(&demand, &[]).unwrap();
    let mut overtaken_tokens = 0;
    let mut held = Vec::new();
    for _ in 0..40 {
        let placed = fleet.placement.place(&fleet.patient(5_000), &[]).unwrap();
        if placed.instance == long.instance {
            overtaken_tokens += 5_000;
        }
        held.push(placed);
    }
    assert!(overtaken_tokens <= 90_000, "{overtaken_tokens}");
}
