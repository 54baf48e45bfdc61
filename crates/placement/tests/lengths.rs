//! Separation of short and long prompts, and intervals that follow the demand.

mod support;

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use mangofront_placement::{Clock, Policy};
use support::{Fleet, daemon, fleet};

/// Mean position of `count` prompts in the order, from 0 (short end) to 1 (long
/// end). Each prompt is dropped at once.
fn mean_position(fleet: &Fleet, length_tokens: u64, count: usize) -> f64 {
    let order = fleet.order();
    let mut sum = 0;
    for _ in 0..count {
        let placed = fleet
            .placement
            .place(&fleet.patient_request(length_tokens), &[])
            .expect("place");
        sum += order
            .iter()
            .position(|engine| *engine == placed.instance)
            .expect("place");
    }
    sum as f64 / (count * (order.len() - 1)) as f64
}

#[test]
fn short_and_long_prompts_use_opposite_ends_of_the_order() {
    let fleet = fleet(25);
    let order = fleet.order();
    let position = |instance: &String| order.iter().position(|other| other == instance).unwrap();
    let (mut short, mut long) = (Vec::new(), Vec::new());
    let mut active = Vec::new();
    for round in 0..200 {
        let is_long = round % 20 == 0;
        let length_tokens = if is_long { 200_000 } else { 1_000 };
        let request = fleet.patient_request(length_tokens);
        let mut placed = fleet.placement.place(&request, &[]).unwrap();
        // A short prompt completes its prefill before the next one arrives; a long
        // one doesn't.
        fleet.clock.advance(Duration::from_millis(100));
        if is_long {
            long.push(position(&placed.instance));
            active.push(placed);
        } else {
            assert!(
                !long.contains(&position(&placed.instance)),
                "placed on an engine with a long prompt"
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
fn intervals_follow_demand() {
    let fleet = fleet(25);
    // Prompts of medium length move away from the end with more demand.
    let _ = mean_position(&fleet, 200_000, 40);
    let after_long_demand = mean_position(&fleet, 4_000, 1);
    fleet.clock.advance(Duration::from_secs(600));
    let _ = mean_position(&fleet, 1_000, 8_000);
    let after_short_demand = mean_position(&fleet, 4_000, 1);
    assert!(
        after_short_demand > after_long_demand + 0.3,
        "{after_long_demand} to {after_short_demand}"
    );
}

#[test]
fn intervals_follow_the_demand_of_peers() {
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
fn short_prompts_use_all_engines_under_load() {
    let fleet = fleet(5);
    let mut used = BTreeSet::new();
    let mut active = Vec::new();
    for _ in 0..200 {
        let placed = fleet.placement.place(&fleet.request(1_000), &[]).unwrap();
        used.insert(placed.instance.clone());
        active.push(placed);
    }
    assert_eq!(used.len(), 5, "{used:?}");
}

#[test]
fn engines_of_the_own_zone_are_preferred_at_equal_cost() {
    let fleet = fleet(25);
    let mut compared = 0;
    for length_tokens in [1_000, 2_000, 4_000, 8_000, 16_000, 32_000] {
        let explanation = fleet
            .placement
            .explain(&fleet.patient_request(length_tokens));
        let chosen = explanation.chosen.unwrap();
        let has_local_candidate = explanation
            .considered
            .iter()
            .any(|engine| engine.availability_zone == "hall-a" && engine.border_distance == 0.0);
        if has_local_candidate {
            compared += 1;
            assert_eq!(fleet.status(&chosen).availability_zone, "hall-a");
        }
    }
    assert!(compared >= 3, "{compared}");
    let own: Vec<_> = (0..25)
        .step_by(3)
        .map(|index| format!("engine-{index}"))
        .collect();
    let elsewhere = fleet.placement.place(&fleet.request(1_000), &own).unwrap();
    assert_ne!(
        fleet.status(&elsewhere.instance).availability_zone,
        "hall-a"
    );
}

#[test]
fn priority_depends_on_length_and_remaining_time() {
    let fleet = fleet(4);
    let priority = |length_tokens: u64, remaining: Duration| {
        let mut request = fleet.patient_request(length_tokens);
        request.deadline = fleet.clock.now() + remaining;
        fleet.placement.place(&request, &[]).unwrap().priority
    };
    let ample_time = Duration::from_secs(600);
    let short = priority(1_000, ample_time);
    let long = priority(200_000, ample_time);
    let urgent = priority(200_000, Duration::from_secs(22));
    assert!(short < long, "{short} and {long}");
    assert!(urgent < long, "{urgent} and {long}");
    // Even without slack it ranks behind a prompt of less than a 64th of its
    // length.
    assert!(short < urgent, "{short} and {urgent}");
}

#[test]
fn overtaking_is_bounded() {
    let fleet = fleet(2);
    let mut request = fleet.patient_request(100_000);
    // Ten seconds of prefill and two of decode leave about eight seconds of slack.
    request.deadline = fleet.clock.now() + Duration::from_secs(20);
    let long = fleet.placement.place(&request, &[]).unwrap();
    let mut overtaken_tokens = 0;
    let mut active = Vec::new();
    for _ in 0..40 {
        let placed = fleet
            .placement
            .place(&fleet.patient_request(5_000), &[])
            .unwrap();
        if placed.instance == long.instance {
            overtaken_tokens += 5_000;
        }
        active.push(placed);
    }
    assert!(overtaken_tokens <= 90_000, "{overtaken_tokens}");
}
