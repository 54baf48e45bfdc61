//! Load estimates from lagging reports, own placements and peers' views.

mod support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mangofront_placement::{Clock, PlacedRequest, Policy};
use support::{Fleet, daemon, fleet, report};

fn place(fleet: &Fleet, count: usize) -> Vec<PlacedRequest> {
    let request = fleet.request(8_000);
    (0..count)
        .map(|_| fleet.placement.place(&request, &[]).expect("place"))
        .collect()
}

fn max_on_one_engine(placed: &[PlacedRequest]) -> usize {
    let mut counts = BTreeMap::new();
    for placed in placed {
        *counts.entry(placed.instance.clone()).or_insert(0) += 1;
    }
    counts.values().copied().max().unwrap_or(0)
}

#[test]
fn lagging_reports_cause_no_herding() {
    let fleet = fleet(8);
    for index in 1..8 {
        let mut busy = report(2);
        busy.waiting_prefill_tokens = 10_000;
        fleet
            .placement
            .apply_load_report(&format!("engine-{index}"), busy);
    }
    // The report of engine-0 stays idle throughout.
    let active = place(&fleet, 24);
    assert!(
        max_on_one_engine(&active) <= 8,
        "{}",
        max_on_one_engine(&active)
    );
}

#[test]
fn a_report_replaces_the_placements_before_its_measurement() {
    let fleet = fleet(1);
    let active = place(&fleet, 3);
    assert_eq!(fleet.status("engine-0").since_report_tokens, 24_000);
    fleet.clock.advance(Duration::from_secs(3));
    let mut lagging = report(2);
    lagging.age_ms = 1_000;
    lagging.waiting_prefill_tokens = 4_000;
    fleet
        .placement
        .apply_load_report(&"engine-0".to_owned(), lagging);
    assert_eq!(fleet.status("engine-0").since_report_tokens, 0);
    // The 4,000 tokens measured a second ago have been computed by now.
    let queue = fleet
        .placement
        .estimate(&fleet.request(1_000))
        .unwrap()
        .queue;
    assert_eq!(queue, Duration::ZERO);
    drop(active);
}

#[test]
fn the_queue_is_the_reported_work_and_later_placements() {
    let fleet = fleet(1);
    let mut busy = report(2);
    busy.waiting_prefill_tokens = 50_000;
    fleet
        .placement
        .apply_load_report(&"engine-0".to_owned(), busy);
    let active = place(&fleet, 1);
    let queue = || {
        fleet
            .placement
            .estimate(&fleet.request(8_000))
            .unwrap()
            .queue
    };
    assert_eq!(queue().as_millis(), 5_800);
    // The engine completes work between two reports.
    fleet.clock.advance(Duration::from_secs(1));
    assert_eq!(queue().as_millis(), 4_800);
    drop(active);
    assert_eq!(queue().as_millis(), 4_000);
}

#[test]
fn work_in_both_a_report_and_a_peer_view_counts_once() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let active = place(&one, 5);
    let queue = || {
        other
            .placement
            .estimate(&other.request(8_000))
            .unwrap()
            .queue
    };
    other
        .placement
        .apply_peer_view(&"entry-1".to_owned(), 1, one.placement.own_view());
    assert_eq!(queue().as_millis(), 4_000, "from the peer's view");
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
    assert_eq!(queue().as_millis(), 4_000, "from the report and the view");
    drop(active);
}

#[test]
fn peer_work_decreases_at_the_prefill_rate() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let active = place(&one, 5);
    other
        .placement
        .apply_peer_view(&"entry-1".to_owned(), 1, one.placement.own_view());
    clock.advance(Duration::from_secs(1));
    let queue = other
        .placement
        .estimate(&other.request(8_000))
        .unwrap()
        .queue;
    assert_eq!(queue.as_millis(), 3_000);
    drop(active);
}

#[test]
fn completed_work_excludes_placements_after_the_report() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let long = other
        .placement
        .place(&other.patient_request(100_000), &[])
        .unwrap();
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
    // 60,000 tokens of the long prompt and 40,000 of the peer remain.
    let queue = |request| {
        other
            .placement
            .estimate(&request)
            .unwrap()
            .queue
            .as_millis()
    };
    assert_eq!(queue(other.patient_request(100_000)), 10_000);
    let short = other.placement.place(&other.request(1_000), &[]).unwrap();
    assert_eq!(queue(other.request(1_000)), 100);
    drop((long, peers, short));
}

#[test]
fn memory_is_waited_for_behind_less_urgent_work() {
    let fleet = fleet(1);
    let long = fleet
        .placement
        .place(&fleet.patient_request(300_000), &[])
        .unwrap();
    let queue = |request| fleet.placement.estimate(&request).unwrap().queue;
    assert_eq!(queue(fleet.patient_request(50_000)), Duration::ZERO);
    assert!(queue(fleet.patient_request(150_000)) >= Duration::from_secs(30));
    drop(long);
    assert_eq!(queue(fleet.patient_request(150_000)), Duration::ZERO);
}

#[test]
fn interference_by_long_work_is_learned() {
    let fleet = fleet(1);
    let first_token_ms = || {
        let estimate = fleet.placement.estimate(&fleet.request(1_000)).unwrap();
        estimate.time_to_first_token.as_millis()
    };
    assert_eq!(first_token_ms(), 100);
    let long = fleet
        .placement
        .place(&fleet.patient_request(300_000), &[])
        .unwrap();
    assert!(
        (150..=152).contains(&first_token_ms()),
        "{}",
        first_token_ms()
    );
    for _ in 0..20 {
        let mut placed = fleet.placement.place(&fleet.request(1_000), &[]).unwrap();
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
fn peer_views_prevent_herding() {
    let clock = Clock::manual(Instant::now());
    let daemons: Vec<_> = (0..6)
        .map(|index| {
            let name = format!("entry-{index}");
            daemon(&name, 6, clock.clone(), Policy::LengthAware)
        })
        .collect();
    let mut active = Vec::new();
    for (index, one) in daemons.iter().enumerate() {
        active.extend(place(one, 2));
        for other in &daemons {
            let name = format!("entry-{index}");
            other
                .placement
                .apply_peer_view(&name, 1, one.placement.own_view());
        }
    }
    assert!(
        max_on_one_engine(&active) <= 3,
        "{}",
        max_on_one_engine(&active)
    );
}

#[test]
fn peer_views_expire_and_are_replaced_by_newer_ones() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let peer = "entry-1".to_owned();
    let active = place(&one, 2);
    let first = one.placement.own_view();
    other.placement.apply_peer_view(&peer, 7, first.clone());
    assert_eq!(other.status("engine-0").peers_waiting_tokens, 16_000);
    drop(active);
    other
        .placement
        .apply_peer_view(&peer, 7, one.placement.own_view());
    other.placement.apply_peer_view(&peer, 7, first.clone());
    assert_eq!(
        other.status("engine-0").peers_waiting_tokens,
        0,
        "older view"
    );
    other.placement.apply_peer_view(&peer, 8, first);
    assert_eq!(
        other.status("engine-0").peers_outstanding,
        2,
        "later incarnation"
    );
    clock.advance(Duration::from_secs(11));
    let _ = other.placement.estimate(&other.request(1_000));
    assert_eq!(other.status("engine-0").peers_outstanding, 0, "expired");
}

#[test]
fn views_are_limited_in_size_and_malformed_ones_are_refused() {
    let fleet = fleet(500);
    let active: Vec<_> = (0..500)
        .map(|_| fleet.placement.place(&fleet.request(30_000), &[]).unwrap())
        .collect();
    assert!(fleet.placement.own_view().len() <= 2_048);
    let malformed = vec![0xFF; 600].into();
    fleet
        .placement
        .apply_peer_view(&"entry-9".to_owned(), 1, malformed);
    assert_eq!(fleet.placement.status().peers, 0);
    drop(active);
}

#[test]
fn implausible_reports_have_little_effect() {
    let fleet = fleet(4);
    for (sequence, value) in [(2, f64::NAN), (3, -1.0), (4, f64::INFINITY), (5, 1e-300)] {
        let mut implausible = report(sequence);
        implausible.prefill_tokens_per_s = value;
        implausible.decode_step_ms = value;
        implausible.waiting_prefill_tokens = u64::MAX;
        implausible.kv_used_tokens = u64::MAX;
        implausible.kv_total_tokens = u64::MAX;
        implausible.age_ms = u64::MAX;
        implausible.waiting = u32::MAX;
        fleet
            .placement
            .apply_load_report(&"engine-0".to_owned(), implausible);
        let estimate = fleet.placement.estimate(&fleet.request(1_000)).unwrap();
        assert!(estimate.time_to_first_token < Duration::from_secs(1));
    }
    // Its reported unlimited memory is not trusted for a prompt that needs a group.
    let placed = fleet
        .placement
        .place(&fleet.patient_request(1_000_000), &[]);
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
                .place(&fleet.patient_request(length_tokens), &[])
                .unwrap();
            // A fixed part of 50 ms and 4,000 tokens per second.
            let first_token_time = Duration::from_millis(50 + length_tokens / 4);
            fleet.clock.advance(first_token_time);
            placed.record_first_token();
        }
    }
    let short = fleet
        .placement
        .estimate(&fleet.patient_request(1_000))
        .unwrap();
    let long = fleet
        .placement
        .estimate(&fleet.patient_request(60_000))
        .unwrap();
    let short_ms = short.time_to_first_token.as_millis();
    let long_ms = long.time_to_first_token.as_millis();
    assert!((250..=350).contains(&short_ms), "{short_ms}");
    assert!((13_500..=16_500).contains(&long_ms), "{long_ms}");
}

#[test]
fn a_view_changes_only_with_its_content_or_to_be_refreshed() {
    let clock = Clock::manual(Instant::now());
    let one = daemon("entry-1", 1, clock.clone(), Policy::LengthAware);
    let other = daemon("entry-2", 1, clock.clone(), Policy::LengthAware);
    let peer = "entry-1".to_owned();
    let idle = one.placement.own_view();
    clock.advance(Duration::from_secs(60));
    assert_eq!(one.placement.own_view(), idle, "idle");
    let active = place(&one, 2);
    let mut views = vec![one.placement.own_view()];
    assert_ne!(views[0], idle, "busy");
    // Recorded demand decays with time, so the view is unchanged only at the same
    // instant.
    assert_eq!(one.placement.own_view(), views[0], "still busy");
    for _ in 0..30 {
        clock.advance(Duration::from_secs(1));
        let view = one.placement.own_view();
        if views.last() != Some(&view) {
            views.push(view.clone());
        }
        other.placement.apply_peer_view(&peer, 1, view);
        assert_eq!(other.status("engine-0").peers_outstanding, 2, "not expired");
    }
    assert!(views.len() >= 10, "refreshed {} times", views.len());
    drop(active);
}
