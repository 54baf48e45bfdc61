//! Every admitted request finishes or fails within the time limit of its class.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::Answer;
use crate::fleet::{Fleet, FleetSpec, wait_until};
use crate::requests::{COMPLETIONS, answer_text, completion_body};

/// Delay that a busy machine may add to the time limit of a class.
const SCHEDULING_SLACK: Duration = Duration::from_secs(8);

/// A fleet whose class has a time limit of `limit`, one second of it for the first token.
fn fleet_with_limit(limit: Duration, time_scale: f64) -> Fleet {
    let mut spec = FleetSpec::default();
    let allowed_delay_ms = u64::try_from(limit.as_millis()).expect("it fits") - 1000;
    spec.configuration["classes"]["diagnosis"] =
        json!({"time_to_first_token_ms": 1000, "allowed_delay_ms": allowed_delay_ms});
    for engine in &mut spec.engines {
        engine["time_scale"] = json!(time_scale);
    }
    Fleet::start(spec)
}

/// Sends `count` requests at once. Returns the answers and the time until the last one ended.
fn send_concurrently(fleet: &Fleet, count: usize, max_tokens: u32) -> (Vec<Answer>, Duration) {
    let started = Instant::now();
    let answers = thread::scope(|scope| {
        let requests = (0..count).map(|nth| {
            scope.spawn(move || {
                let body = completion_body(&nth.to_string(), max_tokens, nth % 2 == 0);
                let answer = fleet.caller_client(0).post(COMPLETIONS, &body);
                if answer.is_complete() {
                    assert_eq!(answer.text(), answer_text(&body));
                }
                answer
            })
        });
        let requests: Vec<_> = requests.collect();
        requests
            .into_iter()
            .map(|request| request.join().expect("the request thread ends"))
            .collect()
    });
    (answers, started.elapsed())
}

#[test]
fn one_engine_frozen_before_the_first_token() {
    for by_signal in [false, true] {
        let fleet = fleet_with_limit(Duration::from_secs(15), 0.02);
        if by_signal {
            fleet.engines[0].signal("STOP");
        } else {
            let freeze = json!({"freeze_ms": 60_000});
            fleet.engine_client(0).post("/control", &freeze);
        }
        let (answers, _) = send_concurrently(&fleet, 8, 5);
        for answer in &answers {
            assert!(answer.is_complete(), "signal {by_signal}: {answer:?}");
        }
    }
}

#[test]
fn no_engine_has_reported_yet() {
    let mut fleet = Fleet::start(FleetSpec::default());
    for engine in &fleet.engines {
        engine.signal("STOP");
    }
    fleet.replace_daemon(0);
    fleet.wait_until_serving(0);
    thread::scope(|scope| {
        let requests = scope.spawn(|| send_concurrently(&fleet, 1, 2000));
        wait_until("the request is in progress or has ended", || {
            requests.is_finished() || fleet.status(0)["daemon"]["requests_in_progress"] == 1
        });
        for engine in &fleet.engines {
            engine.signal("CONT");
        }
        let (answers, _) = requests.join().expect("the request threads end");
        assert!(answers.iter().all(Answer::is_complete), "{answers:?}");
    });
}

#[test]
fn one_engine_frozen_in_mid_stream() {
    let fleet = fleet_with_limit(Duration::from_secs(25), 0.4);
    thread::scope(|scope| {
        let requests = scope.spawn(|| send_concurrently(&fleet, 4, 150));
        wait_until("answers have begun", || {
            fleet.engine_counter(0, "tokens") > 5 || fleet.engine_counter(1, "tokens") > 5
        });
        let begun = usize::from(fleet.engine_counter(0, "tokens") == 0);
        fleet.engines[begun].signal("STOP");
        let (answers, _) = requests.join().expect("the request threads end");
        for answer in &answers {
            assert!(answer.is_complete(), "{answer:?}");
        }
    });
}

#[test]
fn all_engines_frozen() {
    let limit = Duration::from_secs(4);
    let fleet = fleet_with_limit(limit, 0.02);
    for engine in &fleet.engines {
        engine.signal("STOP");
    }
    let (answers, longest) = send_concurrently(&fleet, 6, 5);
    assert!(longest < limit + SCHEDULING_SLACK, "{longest:?}");
    for answer in &answers {
        assert!(answer.outcome().is_some(), "{answer:?}");
    }
    for engine in &fleet.engines {
        engine.signal("CONT");
    }
    fleet.wait_until_memory_is_free();
}

#[test]
fn engines_become_too_slow_for_the_class() {
    let limit = Duration::from_secs(7);
    let fleet = fleet_with_limit(limit, 0.2);
    thread::scope(|scope| {
        let requests = scope.spawn(|| send_concurrently(&fleet, 4, 600));
        wait_until("answers have begun", || {
            fleet.engine_counter_sum("tokens") > 10
        });
        for engine in 0..2 {
            let slow = json!({"slow_factor": 1000.0});
            fleet.engine_client(engine).post("/control", &slow);
        }
        let (answers, longest) = requests.join().expect("the request threads end");
        assert!(longest < limit + SCHEDULING_SLACK, "{longest:?}");
        for answer in &answers {
            let outcome = answer.outcome();
            assert_eq!(outcome.as_deref(), Some("failed"), "{answer:?}");
        }
    });
}

#[test]
fn a_caller_that_stops_reading() {
    let fleet = fleet_with_limit(Duration::from_secs(10), 0.0005);
    let body = completion_body("unread", 80_000, true).to_string();
    let length = body.len();
    let mut stream = TcpStream::connect(fleet.caller_address(0)).expect("the daemon listens");
    let request = format!(
        "POST {COMPLETIONS} HTTP/1.1\r\nhost: x\r\nmangofront-organisation: tuul\r\n\
         content-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(request.as_bytes()).expect("it is sent");
    wait_until("the answer has begun", || {
        fleet.engine_counter_sum("tokens") > 1000
    });
    wait_until("the daemon aborts the request", || {
        fleet.status(0)["daemon"]["requests_in_progress"] == 0
    });
    fleet.wait_until_memory_is_free();
    // The request has ended although the caller still has its connection open.
    let (answers, _) = send_concurrently(&fleet, 2, 5);
    assert!(answers.iter().all(Answer::is_complete), "{answers:?}");
    drop(stream);
}
