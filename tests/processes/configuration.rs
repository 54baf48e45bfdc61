//! An accepted configuration comes into force at every daemon and never reverts.

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetSpec, wait_until};
use crate::link::{LinkMode, ZONES};

/// Limit of 5 s on the time until an accepted revision is in force at every daemon, plus 5 s of
/// slack for a busy machine.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(5 + 5);

fn spec() -> FleetSpec {
    let mut spec = FleetSpec::zones(3);
    spec.engines.truncate(1);
    spec.services.truncate(1);
    spec
}

/// The configuration with another target for the class `review`.
fn configuration_with_target(fleet: &Fleet, time_to_first_token_ms: u64) -> Value {
    let mut configuration = fleet.configuration();
    configuration["classes"]["review"]["time_to_first_token_ms"] = json!(time_to_first_token_ms);
    configuration
}

fn revisions(fleet: &Fleet) -> Vec<u64> {
    (0..ZONES).map(|daemon| fleet.revision(daemon)).collect()
}

/// Waits until `revision` is in force at every daemon, which may take at most
/// [`IN_FORCE_LIMIT`].
fn wait_for_revision(fleet: &Fleet, revision: u64) {
    let started = std::time::Instant::now();
    wait_until("the revision is in force everywhere", || {
        revisions(fleet) == [revision; ZONES]
    });
    assert!(
        started.elapsed() < IN_FORCE_LIMIT,
        "{:?}",
        started.elapsed()
    );
}

/// Asserts for two seconds that `revision` stays in force at every daemon.
fn assert_revision_stays(fleet: &Fleet, revision: u64) {
    for _ in 0..20 {
        assert_eq!(revisions(fleet), [revision; ZONES]);
        thread::sleep(Duration::from_millis(100));
    }
}

#[test]
fn one_zone_has_a_stale_platform() {
    let mut fleet = Fleet::start(spec());
    fleet
        .platform_client(0)
        .post("/control", &json!({"stale": true}));
    fleet.publish("configuration", &configuration_with_target(&fleet, 9000));
    wait_for_revision(&fleet, 2);
    // The new process reads from the stale platform first.
    fleet.replace_daemon(0);
    fleet.wait_until_serving(0);
    wait_for_revision(&fleet, 2);
    assert_revision_stays(&fleet, 2);
}

#[test]
fn the_platform_is_down_at_the_start() {
    let mut fleet = Fleet::start(spec());
    fleet.publish("configuration", &configuration_with_target(&fleet, 9000));
    wait_for_revision(&fleet, 2);
    for zone in 0..ZONES {
        fleet
            .platform_client(zone)
            .post("/control", &json!({"down": true}));
    }
    fleet.replace_daemon(1);
    fleet.wait_until_serving(1);
    wait_for_revision(&fleet, 2);
    assert_revision_stays(&fleet, 2);
}

#[test]
fn watches_hang_everywhere() {
    let fleet = Fleet::start(spec());
    for zone in 0..ZONES {
        let hang = json!({"hang_watches": true});
        fleet.platform_client(zone).post("/control", &hang);
    }
    fleet.publish("configuration", &configuration_with_target(&fleet, 9000));
    wait_for_revision(&fleet, 2);
}

#[test]
fn invalid_and_lowered_revisions() {
    let mut fleet = Fleet::start(spec());
    fleet.publish("configuration", &configuration_with_target(&fleet, 9000));
    wait_for_revision(&fleet, 2);
    fleet.publish(
        "configuration",
        &json!({"classes": {"review": {"weight": 3}}}),
    );
    assert_revision_stays(&fleet, 2);
    for daemon in 0..ZONES {
        wait_until("the refusal is in the audit trail", || {
            let audit = fleet.admin_client(daemon).get("/audit?after=0").body;
            audit.contains("configuration_refused") || audit.contains("ConfigurationRefused")
        });
    }
    // The platforms restart at their first revision.
    for zone in 0..ZONES {
        fleet.platforms[zone].kill();
        fleet.platforms[zone] = fleet.start_platform(zone);
    }
    assert_revision_stays(&fleet, 2);
    fleet.publish("configuration", &configuration_with_target(&fleet, 8000));
    fleet.publish("configuration", &configuration_with_target(&fleet, 7000));
    wait_for_revision(&fleet, 3);
}

#[test]
fn fetch_from_a_peer_is_retried() {
    let fleet = Fleet::start(FleetSpec {
        daemons: 2,
        ..spec()
    });
    fleet
        .platform_client(1)
        .post("/control", &json!({"down": true}));
    // Daemon 1 is informed of the revision, but its own calls to the other zone stall.
    fleet.links().set_mode_one_way(1, 0, LinkMode::Stall);
    fleet.publish("configuration", &configuration_with_target(&fleet, 9000));
    wait_until("the first daemon has it", || fleet.revision(0) == 2);
    thread::sleep(Duration::from_secs(4));
    fleet.links().set_mode_one_way(1, 0, LinkMode::Forward);
    wait_until("the second daemon has it", || fleet.revision(1) == 2);
}
