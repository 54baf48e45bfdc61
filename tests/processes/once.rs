//! Non-repeatable orders run at most once under faults.

use std::thread;
use std::time::Duration;

use serde_json::Value;

use crate::client::Answer;
use crate::fleet::{Fleet, FleetSpec, unix_ms, wait_until};
use crate::link::{LinkMode, ZONES};

/// Number of executions of `key` on all instances of the service.
fn executions(fleet: &Fleet, key: &str) -> u64 {
    fleet
        .executions_by_key()
        .get(key)
        .copied()
        .unwrap_or_default()
}

fn outcome(answer: &Answer) -> Value {
    answer.json()["error"]["outcome"].clone()
}

#[test]
fn one_key_at_all_daemons_at_once() {
    let fleet = Fleet::start(FleetSpec::zones(3));
    fleet.wait_until_orders_run();
    for round in 0..5 {
        let key = format!("meter-{round}");
        let answers: Vec<Answer> = thread::scope(|scope| {
            let sending = (0..2 * ZONES).map(|nth| {
                let (fleet, key) = (&fleet, &key);
                scope.spawn(move || fleet.order(nth % ZONES, key))
            });
            let sending: Vec<_> = sending.collect();
            sending
                .into_iter()
                .map(|order| order.join().expect("the order thread ends"))
                .collect()
        });
        assert_eq!(executions(&fleet, &key), 1, "{answers:?}");
        assert!(answers.iter().any(|answer| answer.status == 200));
    }
}

#[test]
fn one_key_on_both_sides_of_a_partition() {
    let fleet = Fleet::start(FleetSpec::zones(3));
    fleet.wait_until_orders_run();
    fleet.links().isolate(2, LinkMode::Stall);
    let (inside, outside) = thread::scope(|scope| {
        let inside = scope.spawn(|| fleet.order(2, "cut-1"));
        let outside = scope.spawn(|| fleet.order(0, "cut-1"));
        (
            inside.join().expect("the order thread ends"),
            outside.join().expect("the order thread ends"),
        )
    });
    assert_eq!(outside.status, 200, "{}", outside.body);
    assert_ne!(inside.status, 200, "{}", inside.body);
    assert_eq!(executions(&fleet, "cut-1"), 1);
    fleet.links().isolate(2, LinkMode::Forward);
    wait_until("the isolated zone replays the answer", || {
        let again = fleet.order(2, "cut-1");
        assert!(again.status == 200 || outcome(&again) != "failed");
        again.status == 200
    });
    assert_eq!(executions(&fleet, "cut-1"), 1);
}

#[test]
fn retry_after_the_executing_daemon_is_killed() {
    let mut fleet = Fleet::start(FleetSpec::zones(3));
    fleet.wait_until_orders_run();
    assert_eq!(fleet.order(0, "dead-1").status, 200);
    fleet.replace_daemon(0);
    fleet.wait_until_serving(0);
    for daemon in [1, 2, 0] {
        let again = fleet.order(daemon, "dead-1");
        let known = again.status == 200 || outcome(&again) == "unknown";
        assert!(known, "{}", again.body);
    }
    assert_eq!(executions(&fleet, "dead-1"), 1);
}

/// A UUID of version 7 with the current time.
fn time_stamped_key(number: u64) -> String {
    let minted = unix_ms();
    let (high, low) = (minted >> 16, minted & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{number:012x}")
}

#[test]
fn executing_daemon_freezes_and_resumes() {
    let fleet = Fleet::start(FleetSpec::zones(3));
    fleet.wait_until_orders_run();
    for service in 0..ZONES {
        let slow = serde_json::json!({"delay_ms": 500});
        fleet.service_client(service).post("/control", &slow);
    }
    thread::scope(|scope| {
        let first = scope.spawn(|| fleet.order(0, "frozen-1"));
        wait_until("the order runs", || executions(&fleet, "frozen-1") == 1);
        fleet.daemons[0].signal("STOP");
        let meanwhile = fleet.order(1, "frozen-1");
        assert_ne!(meanwhile.outcome().as_deref(), Some("not_run"));
        fleet.daemons[0].signal("CONT");
        let first = first.join().expect("the order thread ends");
        assert_ne!(first.outcome().as_deref(), Some("not_run"), "{first:?}");
    });
    wait_until("every daemon replays the answer", || {
        (0..ZONES).all(|daemon| fleet.order(daemon, "frozen-1").status == 200)
    });
    assert_eq!(executions(&fleet, "frozen-1"), 1);
}

#[test]
fn whole_fleet_is_killed_and_restarted() {
    let mut fleet = Fleet::start(FleetSpec::zones(3));
    fleet.wait_until_orders_run();
    assert_eq!(fleet.order(0, "before-1").status, 200);
    (0..ZONES).for_each(|daemon| fleet.daemons[daemon].kill());
    for daemon in 0..ZONES {
        fleet.daemons[daemon] = fleet.start_daemon(daemon);
    }
    (0..ZONES).for_each(|daemon| fleet.wait_until_serving(daemon));
    let mut number = 0;
    while number < 200 {
        number += 1;
        let key = time_stamped_key(number);
        let answer = fleet.order(0, &key);
        assert!(executions(&fleet, &key) <= 1);
        if answer.status == 200 {
            break;
        }
        assert_eq!(executions(&fleet, &key), 0, "{answer:?}");
        thread::sleep(Duration::from_millis(100));
    }
    assert!(number < 200, "a key minted after the start runs");
    for daemon in 0..ZONES {
        let again = fleet.order(daemon, "before-1");
        assert_eq!(again.outcome().as_deref(), Some("unknown"), "{again:?}");
    }
    assert_eq!(executions(&fleet, "before-1"), 1);
}
