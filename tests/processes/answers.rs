//! Each caller gets the whole answer to its own request, and nothing else.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::Duration;

use serde_json::json;

use crate::fleet::{EndsLoad, Fleet, Plan, wait_until};
use crate::requests::{COMPLETIONS, answer_text, question};

const CALLERS: usize = 8;
const REQUESTS: usize = 20;

/// Sends many requests side by side, of which some callers leave; the number
/// of whole answers.
fn ask_many(fleet: &Fleet, daemons: usize) -> usize {
    let complete = AtomicUsize::new(0);
    thread::scope(|scope| {
        for nth in 0..CALLERS {
            let complete = &complete;
            scope.spawn(move || {
                for round in 0..REQUESTS {
                    let body = question(&format!("{nth}-{round}"), 40, round % 3 != 0);
                    let caller = fleet.caller((nth + round) % daemons);
                    let answer = if round % 5 == 4 {
                        caller.leave_after(3, COMPLETIONS, &body)
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
fn interleaved_with_deaths_and_aborted_connections() {
    let engine = json!({"time_scale": 0.1, "load_lag_ms": 20});
    let mut fleet = Fleet::start(Plan {
        engines: vec![engine; 3],
        daemons: 2,
        ..Plan::default()
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
                let control = shared.engine(round % 2);
                control.post("/control", &json!({"freeze_ms": 2500}));
                thread::sleep(Duration::from_millis(700));
                let dying = shared.engine(1 + round % 2);
                dying.post("/control", &json!({"die_after_tokens": 20}));
                thread::sleep(Duration::from_millis(700));
                if dying.get("/v1/health").status == 0 {
                    restarted.push(shared.start_engine(1 + round % 2));
                }
            }
            restarted
        });
        let ending = EndsLoad(done);
        let complete = ask_many(shared, 2);
        drop(ending);
        let restarted = faults.join().expect("the faults end");
        (complete, restarted)
    });
    let (complete, restarted) = complete;
    fleet.engines.extend(restarted);
    // Callers that stay get their answer: of five requests one caller leaves.
    let stayed = CALLERS * REQUESTS * 4 / 5;
    assert!(complete * 10 >= stayed * 8, "{complete} of {stayed}");
}

#[test]
fn the_only_engine_dies_in_mid_stream_and_comes_back() {
    let mut fleet = Fleet::start(Plan {
        engines: vec![json!({"time_scale": 0.5, "load_lag_ms": 20})],
        ..Plan::default()
    });
    let body = question("alone", 100, true);
    let caller = fleet.caller(0);
    let sent = body.clone();
    let reading = thread::spawn(move || caller.post(COMPLETIONS, &sent));
    wait_until("the answer has begun", || {
        fleet.engines_counter("tokens") > 10
    });
    fleet.engines[0].kill();
    fleet.engines[0] = fleet.start_engine(0);
    let answer = reading.join().expect("the reader ends");
    assert!(answer.is_complete(), "{answer:?}");
    assert_eq!(answer.text(), answer_text(&body));
}
