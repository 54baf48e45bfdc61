//! Requests reported with the outcome `not_run` did not run.

use serde_json::json;

use crate::fleet::{Fleet, FleetSpec, ORDER, wait_until};
use crate::requests::{COMPLETIONS, completion_body};

const SERVICE_PATH: &str = "/v1/services/fleet-ops/readings";

#[test]
fn completions_reported_as_not_run_did_not_run() {
    let mut fleet = Fleet::start(FleetSpec::default());
    let send = |fleet: &Fleet| {
        let before = fleet.engine_counter_sum("started");
        let answer = fleet
            .caller_client(0)
            .post(COMPLETIONS, &completion_body("x", 5, false));
        let ran = fleet.engine_counter_sum("started") - before;
        let outcome = answer.outcome();
        assert!(outcome.is_some(), "{answer:?}");
        if outcome.as_deref() == Some("not_run") {
            assert_eq!(ran, 0, "{answer:?}");
        }
        (outcome, ran)
    };
    for engine in 0..2 {
        fleet
            .engine_client(engine)
            .post("/control", &json!({"leaving": true}));
    }
    // The daemon may not know yet that the engines are leaving, but they refuse the requests.
    for _ in 0..3 {
        let (outcome, ran) = send(&fleet);
        assert_eq!((outcome.as_deref(), ran), (Some("not_run"), 0));
    }
    for engine in &mut fleet.engines {
        engine.kill();
    }
    for _ in 0..3 {
        let (outcome, ran) = send(&fleet);
        assert_eq!((outcome.as_deref(), ran), (Some("not_run"), 0));
    }
}

#[test]
fn completion_on_killed_engines_is_not_reported_as_not_run() {
    let mut spec = FleetSpec::default();
    for engine in &mut spec.engines {
        engine["step"] = json!({"base_us": 60_000_000});
    }
    let mut fleet = Fleet::start(spec);
    let caller = fleet.caller_client(0);
    let request =
        std::thread::spawn(move || caller.post(COMPLETIONS, &completion_body("x", 5, false)));
    wait_until("an engine has the work", || {
        fleet.engine_counter_sum("kv_used_tokens") > 0
    });
    for engine in &mut fleet.engines {
        engine.kill();
    }
    let answer = request.join().expect("the request thread ends");
    let outcome = answer.outcome();
    assert!(
        outcome.is_some() && outcome.as_deref() != Some("not_run"),
        "{answer:?}"
    );
}

#[test]
fn service_calls_reported_as_not_run_did_not_run() {
    let mut fleet = Fleet::start(FleetSpec::default());
    fleet.wait_until_orders_run();
    let faults = [
        json!({"break_before_run": true}),
        json!({"break_before_run": false, "break_after_run": true}),
        json!({"break_after_run": false, "fail_status": 500}),
        json!({"fail_status": 200, "leaving": true}),
    ];
    let expected = ["unknown", "unknown", "failed", "not_run"];
    for (nth, (fault, expected)) in faults.iter().zip(expected).enumerate() {
        fleet.service_client(0).post("/control", fault);
        let key = format!("toner-{nth}");
        let caller = fleet.caller_client(0).with_header("idempotency-key", &key);
        for path in [ORDER, SERVICE_PATH] {
            let before = fleet.service_total(0);
            let answer = caller.post(path, &json!({}));
            let ran = fleet.service_total(0) - before;
            let outcome = answer.outcome();
            assert_eq!(outcome.as_deref(), Some(expected), "{path}: {answer:?}");
            assert!(ran <= 1, "{path} ran {ran} times");
            assert!(expected != "not_run" || ran == 0, "{answer:?}");
            if path == ORDER {
                break;
            }
        }
        let again = caller.post(ORDER, &json!({}));
        if expected == "unknown" {
            assert_eq!(again.outcome().as_deref(), Some("unknown"), "{again:?}");
        }
        let counters = fleet.service_client(0).get("/control/counters").json();
        assert!(counters["by_key"][&key].as_u64().unwrap_or_default() <= 1);
    }
    fleet.services[0].kill();
    let caller = fleet
        .caller_client(0)
        .with_header("idempotency-key", "toner-dead");
    let answer = caller.post(ORDER, &json!({}));
    assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{answer:?}");
    fleet.services[0] = fleet.start_service(0);
    let answer = caller.post(ORDER, &json!({}));
    assert_eq!(answer.status, 200, "{answer:?}");
}
