//! What is told as not run did not run.

use serde_json::json;

use crate::fleet::{Fleet, ORDER, Plan, wait_until};
use crate::requests::{COMPLETIONS, question};

const CALL: &str = "/v1/services/fleet-ops/readings";

#[test]
fn requests_for_an_answer() {
    let mut fleet = Fleet::start(Plan::default());
    let ask = |fleet: &Fleet| {
        let before = fleet.engines_counter("started");
        let answer = fleet.caller(0).post(COMPLETIONS, &question("x", 5, false));
        let ran = fleet.engines_counter("started") - before;
        let outcome = answer.outcome();
        assert!(outcome.is_some(), "{answer:?}");
        if outcome.as_deref() == Some("not_run") {
            assert_eq!(ran, 0, "{answer:?}");
        }
        (outcome, ran)
    };
    for engine in 0..2 {
        fleet
            .engine(engine)
            .post("/control", &json!({"leaving": true}));
    }
    // Whatever the daemon knows by then, the engines did not start it.
    for _ in 0..3 {
        let (outcome, ran) = ask(&fleet);
        assert_eq!((outcome.as_deref(), ran), (Some("not_run"), 0));
    }
    for engine in &mut fleet.engines {
        engine.kill();
    }
    for _ in 0..3 {
        let (outcome, ran) = ask(&fleet);
        assert_eq!((outcome.as_deref(), ran), (Some("not_run"), 0));
    }
}

#[test]
fn engines_that_die_with_work() {
    let mut plan = Plan::default();
    for engine in &mut plan.engines {
        engine["step"] = json!({"base_us": 60_000_000});
    }
    let mut fleet = Fleet::start(plan);
    let caller = fleet.caller(0);
    let asking = std::thread::spawn(move || caller.post(COMPLETIONS, &question("x", 5, false)));
    wait_until("an engine has the work", || {
        fleet.engines_counter("kv_used_tokens") > 0
    });
    for engine in &mut fleet.engines {
        engine.kill();
    }
    let answer = asking.join().expect("an answer");
    let outcome = answer.outcome();
    assert!(
        outcome.is_some() && outcome.as_deref() != Some("not_run"),
        "{answer:?}"
    );
}

#[test]
fn calls_of_a_service() {
    let mut fleet = Fleet::start(Plan::default());
    fleet.wait_until_orders_run();
    let faults = [
        json!({"break_before_run": true}),
        json!({"break_before_run": false, "break_after_run": true}),
        json!({"break_after_run": false, "fail_status": 500}),
        json!({"fail_status": 200, "leaving": true}),
    ];
    let expected = ["unknown", "unknown", "failed", "not_run"];
    for (nth, (fault, expected)) in faults.iter().zip(expected).enumerate() {
        fleet.service(0).post("/control", fault);
        let key = format!("toner-{nth}");
        let caller = fleet.caller(0).with("idempotency-key", &key);
        for path in [ORDER, CALL] {
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
        let counters = fleet.service(0).get("/control/counters").json();
        assert!(counters["by_key"][&key].as_u64().unwrap_or_default() <= 1);
    }
    fleet.services[0].kill();
    let caller = fleet.caller(0).with("idempotency-key", "toner-dead");
    let answer = caller.post(ORDER, &json!({}));
    assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{answer:?}");
    fleet.services[0] = fleet.start_service(0);
    let answer = caller.post(ORDER, &json!({}));
    assert_eq!(answer.status, 200, "{answer:?}");
}
