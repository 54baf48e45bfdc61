//! Each caller gets the complete answer to its own request, and nothing else.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::fleet::{Fleet, FleetSpec, StopLoadOnDrop, wait_until};
use crate::requests::{COMPLETIONS, answer_text, completion_body};

const CALLERS: usize = 8;
const REQUESTS: usize = 20;

/// Sends concurrent requests, a fifth of whose callers disconnect early. Returns the number of
/// complete answers.
fn send_requests(fleet: &Fleet, daemons: usize) -> usize {
    let complete = AtomicUsize::new(0);
    thread::scope(|scope| {
        for nth in 0..CALLERS {
            let complete = &complete;
            scope.spawn(move || {
                for round in 0..REQUESTS {
                    let body = completion_body(&format!("{nth}-{round}"), 40, round % 3 != 0);
                    let caller = fleet.caller_client((nth + round) % daemons);
                    let answer = if round % 5 == 4 {
                        caller.disconnect_after(3, COMPLETIONS, &body)
                    } else {
                        caller.post(COMPLETIONS, &body)
                    };
                    let expected = answer_text(&body);
                    assert!(expected.starts_with(&answer.text()), "{answer:?}");
                    if answer.is_complete() {
                        assert_eq!(answer.text(), expected);
                        complete.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    complete.into_inner()
}

#[test]
fn answers_are_not_mixed_up_under_engine_failures_and_disconnects() {
    let engine = json!({"time_scale": 0.1, "load_lag_ms": 20});
    let mut fleet = Fleet::start(FleetSpec {
        engines: vec![engine; 3],
        daemons: 2,
        ..FleetSpec::default()
    });
    let done = std::sync::atomic::AtomicBool::new(false);
    let complete = thread::scope(|scope| {
        let (done, shared) = (&done, &fleet);
        let faults = scope.spawn(move || {
            let mut restarted = Vec::new();
            for round in 0.. {
                if done.load(Ordering::Relaxed) {
                    break;
                }
                let control = shared.engine_client(round % 2);
                control.post("/control", &json!({"freeze_ms": 2500}));
                thread::sleep(Duration::from_millis(700));
                let dying = shared.engine_client(1 + round % 2);
                dying.post("/control", &json!({"die_after_tokens": 20}));
                thread::sleep(Duration::from_millis(700));
                if dying.get("/v1/health").status == 0 {
                    restarted.push(shared.start_engine(1 + round % 2));
                }
            }
            restarted
        });
        let stop_load = StopLoadOnDrop(done);
        let complete = send_requests(shared, 2);
        drop(stop_load);
        let restarted = faults.join().expect("the faults end");
        (complete, restarted)
    });
    let (complete, restarted) = complete;
    fleet.engines.extend(restarted);
    // The caller of every fifth request disconnects; most of the others get their answer.
    let expected = CALLERS * REQUESTS * 4 / 5;
    assert!(complete * 10 >= expected * 8, "{complete} of {expected}");
}

#[test]
fn stream_continues_after_its_only_engine_restarts() {
    let mut fleet = Fleet::start(FleetSpec {
        engines: vec![json!({"time_scale": 0.5, "load_lag_ms": 20})],
        ..FleetSpec::default()
    });
    let body = completion_body("alone", 100, true);
    let caller = fleet.caller_client(0);
    let sent = body.clone();
    let request = thread::spawn(move || caller.post(COMPLETIONS, &sent));
    wait_until("the answer has begun", || {
        fleet.engine_counter_sum("tokens") > 10
    });
    fleet.engines[0].kill();
    fleet.engines[0] = fleet.start_engine(0);
    let answer = request.join().expect("the reader ends");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text(), answer_text(&body));
}
