//! An upstream published as leaving gets no new work after three seconds.

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::fleet::{Fleet, FleetSpec};
use crate::requests::{COMPLETIONS, completion_body};

/// Time within which daemons stop sending work to an upstream that is published as leaving.
const LEAVING_DEADLINE: Duration = Duration::from_secs(3);

const SERVICE_PATH: &str = "/v1/services/fleet-ops/readings";

fn spec() -> FleetSpec {
    FleetSpec {
        daemons: 2,
        services: vec![json!({"delay_ms": 5}); 2],
        ..FleetSpec::default()
    }
}

/// Sends concurrent requests to a daemon and runs `meanwhile` once they are under way. The daemon
/// may be frozen until then.
fn send_work(fleet: &Fleet, daemon: usize, meanwhile: impl FnOnce()) {
    thread::scope(|scope| {
        for nth in 0..10 {
            scope.spawn(move || {
                let body = completion_body(&nth.to_string(), 5, false);
                let answer = fleet.caller_client(daemon).post(COMPLETIONS, &body);
                assert!(answer.is_complete(), "{answer:?}");
                let call = fleet.caller_client(daemon).post(SERVICE_PATH, &json!({}));
                assert_eq!(call.status, 200, "{call:?}");
            });
        }
        meanwhile();
    });
}

/// Number of requests that the first engine and the first service instance have received.
fn work_of_first_upstreams(fleet: &Fleet) -> (u64, u64) {
    (fleet.engine_counter(0, "started"), fleet.service_total(0))
}

#[test]
fn upstreams_listed_as_leaving_get_no_new_work() {
    let fleet = Fleet::start(spec());
    send_work(&fleet, 0, || {});
    let list = fleet.instances_with_leaving(&["engine-0", "service-0"]);
    fleet.publish("instances", &list);
    thread::sleep(LEAVING_DEADLINE);
    let before = work_of_first_upstreams(&fleet);
    (0..2).for_each(|daemon| send_work(&fleet, daemon, || {}));
    assert_eq!(work_of_first_upstreams(&fleet), before);
}

#[test]
fn resumed_daemon_with_an_outdated_list_sends_no_work() {
    let fleet = Fleet::start(spec());
    send_work(&fleet, 0, || {});
    for _ in 0..3 {
        fleet.publish("instances", &fleet.instances_with_leaving(&[]));
        send_work(&fleet, 0, || {});
        fleet.daemons[0].signal("STOP");
        let list = fleet.instances_with_leaving(&["engine-0", "service-0"]);
        fleet.publish("instances", &list);
        thread::sleep(LEAVING_DEADLINE);
        let before = work_of_first_upstreams(&fleet);
        // The requests have arrived before the daemon resumes.
        send_work(&fleet, 0, || {
            thread::sleep(Duration::from_millis(200));
            fleet.daemons[0].signal("CONT");
        });
        assert_eq!(work_of_first_upstreams(&fleet), before);
    }
}
