//! Calls to services whose instances fail.

use serde_json::json;

use crate::fleet::{Fleet, FleetSpec};

#[test]
fn calls_avoid_a_frozen_instance() {
    let fleet = Fleet::start(FleetSpec {
        services: vec![json!({}), json!({})],
        ..FleetSpec::default()
    });
    // The first instance is in the daemon's own availability zone.
    fleet.services[0].signal("STOP");
    for _ in 0..4 {
        let answer = fleet
            .caller_client(0)
            .get("/v1/services/fleet-ops/meters/7");
        assert_eq!(answer.status, 200, "{}", answer.body);
    }
    assert_eq!(fleet.service_total(1), 4);
    fleet.services[0].signal("CONT");
}

#[test]
fn the_only_instance_stays_in_use_after_a_failure() {
    let fleet = Fleet::start(FleetSpec::default());
    let caller = fleet.caller_client(0);
    fleet
        .service_client(0)
        .post("/control", &json!({"break_before_run": true}));
    let broken = caller.post("/v1/services/fleet-ops/meters/7", &json!({}));
    assert_eq!(broken.status, 502, "{}", broken.body);
    fleet
        .service_client(0)
        .post("/control", &json!({"break_before_run": false}));
    let answer = caller.post("/v1/services/fleet-ops/meters/7", &json!({}));
    assert_eq!(answer.status, 200, "{}", answer.body);
}
