//! A leaving upstream gets no new work after three seconds.

use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::fleet::{Fleet, Plan};
use crate::requests::{COMPLETIONS, question};

/// Time after which an upstream that is published as leaving gets no work.
const NO_WORK_AFTER: Duration = Duration::from_secs(3);

const CALL: &str = "/v1/services/fleet-ops/readings";

fn plan() -> Plan {
    Plan {
        daemons: 2,
        services: vec![json!({"delay_ms": 5}); 2],
        ..Plan::default()
    }
}

/// Sends work at a daemon at once, while it may still be stopped.
fn send_work(fleet: &Fleet, daemon: usize, meanwhile: impl FnOnce()) {
    thread::scope(|scope| {
        for nth in 0..10 {
            scope.spawn(move || {
                let body = question(&nth.to_string(), 5, false);
                let answer = fleet.caller(daemon).post(COMPLETIONS, &body);
                assert!(answer.is_complete(), "{answer:?}");
                let call = fleet.caller(daemon).post(CALL, &json!({}));
                assert_eq!(call.status, 200, "{call:?}");
            });
        }
        meanwhile();
    });
}

/// Work that the first engine and the first service instance have got.
fn work_of_the_first(fleet: &Fleet) -> (u64, u64) {
    (fleet.engine_counter(0, "started"), fleet.service_total(0))
}

#[test]
fn by_the_published_list() {
    let fleet = Fleet::start(plan());
    send_work(&fleet, 0, || {});
    let list = fleet.instances_with_leaving(&["engine-0", "service-0"]);
    fleet.publish("instances", &list);
    thread::sleep(NO_WORK_AFTER);
    let before = work_of_the_first(&fleet);
    (0..2).for_each(|daemon| send_work(&fleet, daemon, || {}));
    assert_eq!(work_of_the_first(&fleet), before);
}

#[test]
fn a_frozen_daemon_wakes_with_an_old_list() {
    let fleet = Fleet::start(plan());
    send_work(&fleet, 0, || {});
    for _ in 0..3 {
        fleet.publish("instances", &fleet.instances_with_leaving(&[]));
        send_work(&fleet, 0, || {});
        fleet.daemons[0].signal("STOP");
        let list = fleet.instances_with_leaving(&["engine-0", "service-0"]);
        fleet.publish("instances", &list);
        thread::sleep(NO_WORK_AFTER);
        let before = work_of_the_first(&fleet);
        // The requests are there already when it wakes.
        send_work(&fleet, 0, || {
            thread::sleep(Duration::from_millis(200));
            fleet.daemons[0].signal("CONT");
        });
        assert_eq!(work_of_the_first(&fleet), before);
    }
}
