//! No engine loses memory permanently.

use serde_json::{Value, json};

use crate::fleet::{Fleet, Plan, wait_until};
use crate::requests::{COMPLETIONS, answer_text, question};

/// Engines too small for the prompt of [`archive`], and slow enough to be interrupted.
fn small_engines() -> Plan {
    let engine = json!({
        "time_scale": 1.0, "load_lag_ms": 20, "kv_total_tokens": 3000,
        "step": {"base_us": 1000, "prefill_token_us": 1000}
    });
    Plan {
        engines: vec![engine; 2],
        daemons: 2,
        ..Plan::default()
    }
}

/// A prompt that needs two engines of [`small_engines`].
fn archive(name: &str) -> Value {
    let mut body = question(name, 5, true);
    body["prompt"] = json!(format!("{name} {}", "history ".repeat(2000)));
    body
}

#[test]
fn after_finish_cancel_and_repeated_cancel() {
    let mut plan = Plan::default();
    for engine in &mut plan.engines {
        engine["time_scale"] = json!(0.2);
    }
    let fleet = Fleet::start(plan);
    let whole = question("whole", 5, true);
    let answer = fleet.caller(0).post(COMPLETIONS, &whole);
    assert_eq!(answer.text(), answer_text(&whole));
    for round in 0..4 {
        let body = question(&format!("left {round}"), 2000, true);
        let left = fleet.caller(0).leave_after(2, COMPLETIONS, &body);
        let event = left.body.split("\n\n").next().unwrap_or_default();
        let event = event.trim_start_matches("data: ");
        let event: Value = serde_json::from_str(event).expect("an event");
        let id = event["id"].as_str().expect("an id");
        for engine in 0..2 {
            let path = format!("/v1/requests/{id}/attempts/1");
            for _ in 0..3 {
                let cancel =
                    fleet
                        .engine(engine)
                        .send(http::Method::DELETE, &path, bytes::Bytes::new());
                assert_eq!(cancel.status, 204);
            }
        }
    }
    wait_until("all are cancelled", || {
        fleet.engines_counter("cancelled") >= 4
    });
    fleet.wait_until_memory_is_free();
    assert_eq!(fleet.engines_counter("invariants_broken"), 0);
}

#[test]
fn after_the_death_of_a_daemon_with_a_group() {
    let mut fleet = Fleet::start(small_engines());
    let body = archive("killed");
    let caller = fleet.caller(0).with("mangofront-class", "review");
    let asking = std::thread::spawn(move || caller.post(COMPLETIONS, &body));
    wait_until("the group is reserved", || {
        fleet.engine_counter(0, "reserved_tokens") > 0
            && fleet.engine_counter(1, "reserved_tokens") > 0
    });
    fleet.daemons[0].kill();
    asking.join().expect("the caller ends");
    fleet.wait_until_memory_is_free();
    // The memory is usable: another daemon's group gets all of it.
    let body = archive("next");
    let caller = fleet.caller(1).with("mangofront-class", "review");
    let answer = caller.post(COMPLETIONS, &body);
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text(), answer_text(&body));
    fleet.wait_until_memory_is_free();
}

#[test]
fn a_member_of_a_group_is_frozen() {
    let mut plan = small_engines();
    plan.engines.push(plan.engines[0].clone());
    let fleet = Fleet::start(plan);
    std::thread::scope(|scope| {
        let asking = scope.spawn(|| {
            let caller = fleet.caller(0).with("mangofront-class", "review");
            caller.post(COMPLETIONS, &archive("frozen"))
        });
        let reserved = |engine| fleet.engine_counter(engine, "reserved_tokens") > 0;
        wait_until("the group is reserved", || {
            (0..3).filter(|engine| reserved(*engine)).count() == 2
        });
        let member = (0..3).find(|engine| reserved(*engine)).expect("a member");
        fleet.engines[member].signal("STOP");
        let answer = asking.join().expect("an answer");
        assert!(answer.is_complete(), "{answer:?}");
        fleet.engines[member].signal("CONT");
    });
    fleet.wait_until_memory_is_free();
}

#[test]
fn after_a_caller_left_its_group() {
    let fleet = Fleet::start(small_engines());
    for round in 0..2 {
        let caller = fleet.caller(0).with("mangofront-class", "review");
        let body = archive(&round.to_string());
        let left = caller.leave_after(1, COMPLETIONS, &body);
        assert_eq!(left.status, 200, "{left:?}");
    }
    fleet.wait_until_memory_is_free();
}
