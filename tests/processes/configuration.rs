//! A configuration that was accepted is in force everywhere and never reverts.

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{Fleet, Plan, wait_until};
use crate::link::{Mode, ZONES};

/// Time in which an accepted revision must be in force everywhere, with
/// what a busy machine adds.
const IN_FORCE: Duration = Duration::from_secs(5 + 5);

fn plan() -> Plan {
    let mut plan = Plan::zones(3);
    plan.engines.truncate(1);
    plan.services.truncate(1);
    plan
}

/// The configuration with another target, so that it differs.
fn changed(fleet: &Fleet, time_to_first_token_ms: u64) -> Value {
    let mut configuration = fleet.configuration();
    configuration["classes"]["review"]["time_to_first_token_ms"] = json!(time_to_first_token_ms);
    configuration
}

fn revisions(fleet: &Fleet) -> Vec<u64> {
    (0..ZONES).map(|daemon| fleet.revision(daemon)).collect()
}

/// Waits until every daemon has `revision`; it may not take longer than allowed.
fn wait_for(fleet: &Fleet, revision: u64) {
    let started = std::time::Instant::now();
    wait_until("the revision is in force everywhere", || {
        revisions(fleet) == [revision; ZONES]
    });
    assert!(started.elapsed() < IN_FORCE, "{:?}", started.elapsed());
}

/// Watches for a while that no daemon leaves `revision`.
fn stays(fleet: &Fleet, revision: u64) {
    for _ in 0..20 {
        assert_eq!(revisions(fleet), [revision; ZONES]);
        thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn one_zone_has_a_stale_platform() {
    let mut fleet = Fleet::start(plan());
    fleet.platform(0).post("/control", &json!({"stale": true}));
    fleet.publish("configuration", &changed(&fleet, 9000));
    wait_for(&fleet, 2);
    // A fresh process meets the stale service first.
    fleet.replace_daemon(0);
    fleet.wait_until_serving(0);
    wait_for(&fleet, 2);
    stays(&fleet, 2);
}

#[test]
fn the_platform_is_down_at_the_start() {
    let mut fleet = Fleet::start(plan());
    fleet.publish("configuration", &changed(&fleet, 9000));
    wait_for(&fleet, 2);
    for zone in 0..ZONES {
        fleet
            .platform(zone)
            .post("/control", &json!({"down": true}));
    }
    fleet.replace_daemon(1);
    fleet.wait_until_serving(1);
    wait_for(&fleet, 2);
    stays(&fleet, 2);
}

#[test]
fn watches_hang_everywhere() {
    let fleet = Fleet::start(plan());
    for zone in 0..ZONES {
        let hang = json!({"hang_watches": true});
        fleet.platform(zone).post("/control", &hang);
    }
    fleet.publish("configuration", &changed(&fleet, 9000));
    wait_for(&fleet, 2);
}

#[test]
fn invalid_and_lowered_revisions() {
    let mut fleet = Fleet::start(plan());
    fleet.publish("configuration", &changed(&fleet, 9000));
    wait_for(&fleet, 2);
    fleet.publish(
        "configuration",
        &json!({"classes": {"review": {"weight": 3}}}),
    );
    stays(&fleet, 2);
    for daemon in 0..ZONES {
        wait_until("the refusal is told", || {
            let audit = fleet.operator(daemon).get("/audit?after=0").body;
            audit.contains("configuration_refused") || audit.contains("ConfigurationRefused")
        });
    }
    // The platform itself begins anew, at its first revision.
    for zone in 0..ZONES {
        fleet.platforms[zone].kill();
        fleet.platforms[zone] = fleet.start_platform(zone);
    }
    stays(&fleet, 2);
    fleet.publish("configuration", &changed(&fleet, 8000));
    fleet.publish("configuration", &changed(&fleet, 7000));
    wait_for(&fleet, 3);
}

#[test]
fn a_fetch_from_a_peer_fails_once() {
    let fleet = Fleet::start(Plan {
        daemons: 2,
        ..plan()
    });
    fleet.platform(1).post("/control", &json!({"down": true}));
    // Daemon 1 is told of the revision, but its own calls don't get through.
    fleet.links().set_one_way(1, 0, Mode::Hold);
    fleet.publish("configuration", &changed(&fleet, 9000));
    wait_until("the first daemon has it", || fleet.revision(0) == 2);
    thread::sleep(Duration::from_secs(4));
    fleet.links().set_one_way(1, 0, Mode::Pass);
    wait_until("the second daemon has it", || fleet.revision(1) == 2);
}
