//! Engines free all memory after requests end, fail or are cancelled.

use serde_json::{Value, json};

use crate::fleet::{Fleet, FleetSpec, wait_until};
use crate::requests::{COMPLETIONS, answer_text, completion_body};

/// Engines too small for a [`long_prompt`], and slow enough to be interrupted.
fn small_engines() -> FleetSpec {
    let engine = json!({
        "time_scale": 1.0, "load_lag_ms": 20, "kv_total_tokens": 3000,
        "step": {"base_us": 1000, "prefill_token_us": 1000}
    });
    FleetSpec {
        engines: vec![engine; 2],
        daemons: 2,
        ..FleetSpec::default()
    }
}

/// A request whose prompt needs a group of two engines of [`small_engines`].
fn long_prompt(name: &str) -> Value {
    let mut body = completion_body(name, 5, true);
    body["prompt"] = json!(format!("{name} {}", "history ".repeat(2000)));
    body
}

#[test]
fn memory_is_freed_after_finish_cancel_and_repeated_cancel() {
    let mut spec = FleetSpec::default();
    for engine in &mut spec.engines {
        engine["time_scale"] = json!(0.2);
    }
    let fleet = Fleet::start(spec);
    let finished = completion_body("whole", 5, true);
    let answer = fleet.caller_client(0).post(COMPLETIONS, &finished);
    assert_eq!(answer.text(), answer_text(&finished));
    for round in 0..4 {
        let body = completion_body(&format!("left {round}"), 2000, true);
        let left = fleet
            .caller_client(0)
            .disconnect_after(2, COMPLETIONS, &body);
        let event = left.body.split("\n\n").next().unwrap_or_default();
        let event = event.trim_start_matches("data: ");
        let event: Value = serde_json::from_str(event).expect("an event");
        let id = event["id"].as_str().expect("an id");
        for engine in 0..2 {
            let path = format!("/v1/requests/{id}/attempts/1");
            for _ in 0..3 {
                let cancel = fleet.engine_client(engine).send(
                    http::Method::DELETE,
                    &path,
                    bytes::Bytes::new(),
                );
                assert_eq!(cancel.status, 204);
            }
        }
    }
    wait_until("all are cancelled", || {
        fleet.engine_counter_sum("cancelled") >= 4
    });
    fleet.wait_until_memory_is_free();
    assert_eq!(fleet.engine_counter_sum("invariants_broken"), 0);
}

#[test]
fn memory_is_freed_after_a_daemon_with_an_engine_group_is_killed() {
    let mut fleet = Fleet::start(small_engines());
    let body = long_prompt("killed");
    let caller = fleet
        .caller_client(0)
        .with_header("mangofront-class", "review");
    let request = std::thread::spawn(move || caller.post(COMPLETIONS, &body));
    wait_until("the group is reserved", || {
        fleet.engine_counter(0, "reserved_tokens") > 0
            && fleet.engine_counter(1, "reserved_tokens") > 0
    });
    fleet.daemons[0].kill();
    request.join().expect("the caller ends");
    fleet.wait_until_memory_is_free();
    // The memory can be reserved again: another daemon's group needs all of it.
    let body = long_prompt("next");
    let caller = fleet
        .caller_client(1)
        .with_header("mangofront-class", "review");
    let answer = caller.post(COMPLETIONS, &body);
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text(), answer_text(&body));
    fleet.wait_until_memory_is_free();
}

#[test]
fn memory_is_freed_after_an_engine_of_a_group_freezes() {
    let mut spec = small_engines();
    spec.engines.push(spec.engines[0].clone());
    let fleet = Fleet::start(spec);
    std::thread::scope(|scope| {
        let request = scope.spawn(|| {
            let caller = fleet
                .caller_client(0)
                .with_header("mangofront-class", "review");
            caller.post(COMPLETIONS, &long_prompt("frozen"))
        });
        let reserved = |engine| fleet.engine_counter(engine, "reserved_tokens") > 0;
        wait_until("the group is reserved", || {
            (0..3).filter(|engine| reserved(*engine)).count() == 2
        });
        let member = (0..3).find(|engine| reserved(*engine)).expect("a member");
        fleet.engines[member].signal("STOP");
        let answer = request.join().expect("the request thread ends");
        assert!(answer.is_complete(), "{answer:?}");
        fleet.engines[member].signal("CONT");
    });
    fleet.wait_until_memory_is_free();
}

#[test]
fn memory_is_freed_after_the_caller_of_a_group_disconnects() {
    let fleet = Fleet::start(small_engines());
    for round in 0..2 {
        let caller = fleet
            .caller_client(0)
            .with_header("mangofront-class", "review");
        let body = long_prompt(&round.to_string());
        let left = caller.disconnect_after(1, COMPLETIONS, &body);
        assert_eq!(left.status, 200, "{left:?}");
    }
    fleet.wait_until_memory_is_free();
}
