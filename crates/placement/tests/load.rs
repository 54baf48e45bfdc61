//! Lagging reports, own placements and peers' views.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mangofront_placement::{Clock, PlacedRequest, Policy};
use support::{Fleet, daemon, fleet, report};

fn place(fleet: &Fleet, count: usize) -> Vec<PlacedRequest> {
    let demand = fleet.demand(8_000);
    (0..count)
        .map(|_| fleet.placement.place(&demand, &[]).expect("place"))
        .collect()
}

fn most_on_one(placed: &[PlacedRequest]) -> usize {
    let mut counts = BTreeMap::new();
    for placed in placed {
        *counts.entry(placed.instance.clone()).or_insert(0) += 1;
    }
    counts.values().copied().max().unwrap_or(0)
}

#[test]
fn lagging_reports_do_not_herd() {
    let fleet = fleet(8);
    for index in 1..8 {
        let mut busy = report(2);
        busy.waiting_prefill_tokens = 10_000;
        fleet
            .placement
            .apply_load_report(&format!("engine-{index}"), busy);
    }
    // The report of engine-0 says "idle" all the while.
    let held = place(&fleet, 24);
    assert!(most_on_one(&held) <= 8, "{}", most_on_one(&held));
}

#[test]
fn a_report_replaces_the_placements_that_it_includes() {
    let fleet = fleet(1);
    let held = place(&fleet, 3);
    assert_eq!(fleet.status("engine-0").since_report_tokens, 24_000);
    fleet.clock.advance(Duration::from_secs(3));
    let mut lagging = report(2);
    lagging.age_ms = 1_000;
    lagging.waiting_prefill_tokens = 4_000;
    fleet
        .placement
        .apply_load_report(&"engine-0".to_owned(), lagging);
    assert_eq!(fleet.status("engine-0").since_report_tokens, 0);
    // 4,000 tokens a second ago are nothing now, so only the new prompt counts.
    let queue = fleet
        .placement
        .estimate(&fleet.demand(1_000))
        .unwrap()
        .queue;
    assert_eq!(queue, Duration::ZERO);
    drop(held);
}

#[test]
fn the_queue_is_what_others_left_and_what_was_placed_since() {
    let fleet = fleet(1);
    let mut busy = report(2);
    busy.waiting_prefill_tokens = 50_000;
    fleet
        .placement
        .apply_load_report(&"engine-0".to_owned(), busy);
    let held = place(&fleet, 1);
    let queue = || {
        fleet
            .placement
            .estimate(&fleet.demand(8_000))
            .unwrap()
            .queue
    };
    assert_eq!(queue().as_millis(), 5_800);
    // The engine makes headway between two reports.
    fleet.clock.advance(Duration::from_secs(1));
    assert_eq!(queue().as_millis(), 4_800);
    drop(held);
    assert_eq!(queue().as_millis(), 4_000);
}

#[test]
fn what_a_report_and_a_peer_both_tell_counts_once() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let held = place(&one, 5);
    let queue = || {
        other
            .placement
            .estimate(&other.demand(8_000))
            .unwrap()
            .queue
    };
    other
        .placement
        .apply_peer_view(&"entry-1".to_owned(), 1, one.placement.own_view());
    assert_eq!(queue().as_millis(), 4_000, "told by the peer");
    clock.advance(Duration::from_millis(1));
    let mut busy = report(2);
    busy.waiting_prefill_tokens = 40_000;
    for daemon in [&one, &other] {
        daemon
            .placement
            .apply_load_report(&"engine-0".to_owned(), busy.clone());
    }
    other
        .placement
        .apply_peer_view(&"entry-1".to_owned(), 1, one.placement.own_view());
    assert_eq!(queue().as_millis(), 4_000, "told by both");
    drop(held);
}

#[test]
fn what_a_peer_told_fades_at_the_engines_rate() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let held = place(&one, 5);
    other
        .placement
        .apply_peer_view(&"entry-1".to_owned(), 1, one.placement.own_view());
    clock.advance(Duration::from_secs(1));
    let queue = other
        .placement
        .estimate(&other.demand(8_000))
        .unwrap()
        .queue;
    assert_eq!(queue.as_millis(), 3_000);
    drop(held);
}

#[test]
fn headway_is_not_made_on_what_came_after_the_report() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let long = other.placement.place(&other.patient(100_000), &[]).unwrap();
    clock.advance(Duration::from_secs(10));
    let mut busy = report(2);
    busy.waiting_prefill_tokens = 60_000;
    for daemon in [&one, &other] {
        daemon
            .placement
            .apply_load_report(&"engine-0".to_owned(), busy.clone());
    }
    let peers = place(&one, 5);
    other
        .placement
        .apply_peer_view(&"entry-1".to_owned(), 1, one.placement.own_view());
    // 60,000 of the long prompt and 40,000 of the peer's are left.
    let queue = |demand| other.placement.estimate(&demand).unwrap().queue.as_millis();
    assert_eq!(queue(other.patient(100_000)), 10_000);
    let short = other.placement.place(&other.demand(1_000), &[]).unwrap();
    assert_eq!(queue(other.demand(1_000)), 100);
    drop((long, peers, short));
}

#[test]
fn memory_is_waited_for_behind_less_urgent_work() {
    let fleet = fleet(1);
    let long = fleet.placement.place(&fleet.patient(300_000), &[]).unwrap();
    let queue = |demand| fleet.placement.estimate(&demand).unwrap().queue;
    assert_eq!(queue(fleet.patient(50_000)), Duration::ZERO);
    assert!(queue(fleet.patient(150_000)) >= Duration::from_secs(30));
    drop(long);
    assert_eq!(queue(fleet.patient(150_000)), Duration::ZERO);
}

#[test]
fn interference_by_long_work_is_learned() {
    let fleet = fleet(1);
    let first_token_ms = || {
        let estimate = fleet.placement.estimate(&fleet.demand(1_000)).unwrap();
        estimate.time_to_first_token.as_millis()
    };
    assert_eq!(first_token_ms(), 100);
    let long = fleet.placement.place(&fleet.patient(300_000), &[]).unwrap();
    assert!(
        (150..=152).contains(&first_token_ms()),
        "{}",
        first_token_ms()
    );
    for _ in 0..20 {
        let mut placed = fleet.placement.place(&fleet.demand(1_000), &[]).unwrap();
        fleet.clock.advance(Duration::from_millis(300));
        placed.record_first_token();
    }
    assert!(
        (290..=310).contains(&first_token_ms()),
        "{}",
        first_token_ms()
    );
    drop(long);
}

#[test]
fn peers_views_avoid_herding() {
    let clock = Clock::manual(Instant::now());
    let daemons: Vec<_> = (0..6)
        .map(|index| {
            let name = format!("entry-{index}");
            daemon(&name, 6, clock.clone(), Policy::LengthAware)
        })
        .collect();
    let mut held = Vec::new();
    for (index, one) in daemons.iter().enumerate() {
        held.extend(place(one, 2));
        for other in &daemons {
            let name = format!("entry-{index}");
            other
                .placement
                .apply_peer_view(&name, 1, one.placement.own_view());
        }
    }
    assert!(most_on_one(&held) <= 3, "{}", most_on_one(&held));
}

#[test]
fn a_peer_that_falls_silent_or_comes_back_is_forgotten() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let peer = "entry-1".to_owned();
    let held = place(&one, 2);
    let first = one.placement.own_view();
    other.placement.apply_peer_view(&peer, 7, first.clone());
    assert_eq!(other.status("engine-0").peers_waiting_tokens, 16_000);
    drop(held);
    other
        .placement
        .apply_peer_view(&peer, 7, one.placement.own_view());
    other.placement.apply_peer_view(&peer, 7, first.clone());
    assert_eq!(other.status("engine-0").peers_waiting_tokens, 0, "old view");
    other.placement.apply_peer_view(&peer, 8, first);
    assert_eq!(other.status("engine-0").peers_outstanding, 2, "later life");
    clock.advance(Duration::from_secs(11));
    let _ = other.placement.estimate(&other.demand(1_000));
    assert_eq!(other.status("engine-0").peers_outstanding, 0, "silent");
}

#[test]
fn views_are_bounded_and_nonsense_is_refused() {
    let fleet = fleet(500);
    let held: Vec<_> = (0..500)
        .map(|_| fleet.placement.place(&fleet.demand(30_000), &[]).unwrap())
        .collect();
    assert!(fleet.placement.own_view().len() <= 2_048);
    let nonsense = vec![0xFF; 600].into();
    fleet
        .placement
        .apply_peer_view(&"entry-9".to_owned(), 1, nonsense);
    assert_eq!(fleet.placement.status().peers, 0);
    drop(held);
}

#[test]
fn nonsense_reports_change_little() {
    let fleet = fleet(4);
    for (sequence, value) in [(2, f64::NAN), (3, -1.0), (4, f64::INFINITY), (5, 1e-300)] {
        let mut nonsense = report(sequence);
        nonsense.prefill_tokens_per_s = value;
        nonsense.decode_step_ms = value;
        nonsense.waiting_prefill_tokens = u64::MAX;
        nonsense.kv_used_tokens = u64::MAX;
        nonsense.kv_total_tokens = u64::MAX;
        nonsense.age_ms = u64::MAX;
        nonsense.waiting = u32::MAX;
        fleet
            .placement
            .apply_load_report(&"engine-0".to_owned(), nonsense);
        let estimate = fleet.placement.estimate(&fleet.demand(1_000)).unwrap();
        assert!(estimate.time_to_first_token < Duration::from_secs(1));
    }
    // Its claim of endless memory does not make it take what needs a group.
    let placed = fleet.placement.place(&fleet.patient(1_000_000), &[]);
    let placed = placed.unwrap();
    assert!(placed.group.is_some() || placed.instance == "engine-0");
}

#[test]
fn rates_are_learned_from_first_tokens() {
    let fleet = fleet(4);
    for _ in 0..40 {
        for length_tokens in [1_000, 60_000] {
            let mut placed = fleet
                .placement
                .place(&fleet.patient(length_tokens), &[])
                .unwrap();
            // 50 ms and 4,000 tokens a second.
            let taken = Duration::from_millis(50 + length_tokens / 4);
            fleet.clock.advance(taken);
            placed.record_first_token();
        }
    }
    let short = fleet.placement.estimate(&fleet.patient(1_000)).unwrap();
    let long = fleet.placement.estimate(&fleet.patient(60_000)).unwrap();
    let short_ms = short.time_to_first_token.as_millis();
    let long_ms = long.time_to_first_token.as_millis();
    assert!((250..=350).contains(&short_ms), "{short_ms}");
    assert!((13_500..=16_500).contains(&long_ms), "{long_ms}");
}

#[test]
fn a_view_is_new_only_when_it_says_something_new_or_would_expire() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let peer = "entry-1".to_owned();
    let idle = one.placement.own_view();
    clock.advance(Duration::from_secs(60));
    assert_eq!(one.placement.own_view(), idle, "idle");
    let held = place(&one, 2);
    let mut views = vec![one.placement.own_view()];
    assert_ne!(views[0], idle, "busy");
    // Demand fades all the while, so that only a still clock shows it.
    assert_eq!(one.placement.own_view(), views[0], "still busy");
    for _ in 0..30 {
        clock.advance(Duration::from_secs(1));
        let view = one.placement.own_view();
        if views.last() != Some(&view) {
            views.push(view.clone());
        }
        other.placement.apply_peer_view(&peer, 1, view);
        assert_eq!(other.status("engine-0").peers_outstanding, 2, "kept");
    }
    assert!(views.len() >= 10, "refreshed {} times", views.len());
    drop(held);
}
