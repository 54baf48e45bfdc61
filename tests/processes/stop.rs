//! A planned stop of a daemon cuts off nothing.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::caller::Answer;
use crate::fleet::{EndsLoad, Fleet, PATIENCE, Plan, wait_until};
use crate::link::ZONES;
use crate::requests::{COMPLETIONS, answer_text, question};

#[test]
fn a_stream_in_progress_is_finished() {
    let mut plan = Plan::default();
    for engine in &mut plan.engines {
        // Slow enough that the signal comes in mid-stream.
        engine["time_scale"] = json!(0.5);
    }
    let mut fleet = Fleet::start(plan);
    let body = json!({"model": "assist-llm", "prompt": "Which toner fits copier 12?",
        "max_tokens": 60, "stream": true});
    let caller = fleet.caller(0);
    let reading = thread::spawn(move || caller.post("/v1/completions", &body));
    wait_until("the answer has begun", || {
        let status = fleet.operator(0).get("/status").json();
        status["daemon"]["requests_in_progress"] == 1
    });
    fleet.daemons[0].signal("TERM");
    wait_until("new work is refused", || {
        let refused = fleet.caller(0).get("/v1/models");
        let closes = refused
            .headers
            .contains(&("connection".to_owned(), "close".to_owned()));
        refused.status == 503 && refused.json()["error"]["code"] == "stopping" && closes
    });
    let answer = reading.join().expect("the reader ends");
    assert!(answer.whole);
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
}

#[test]
fn requests_that_wait_at_the_stop_are_answered() {
    let mut fleet = Fleet::start(Plan::default());
    fleet.daemons[0].signal("STOP");
    let body = question("waits", 5, false);
    let answers: Vec<Answer> = thread::scope(|scope| {
        let asking = (0..20).map(|_| scope.spawn(|| fleet.caller(0).post(COMPLETIONS, &body)));
        let asking: Vec<_> = asking.collect();
        // The kernel takes the connections and the requests meanwhile.
        thread::sleep(Duration::from_millis(500));
        fleet.daemons[0].signal("TERM");
        fleet.daemons[0].signal("CONT");
        asking
            .into_iter()
            .map(|one| one.join().expect("an answer"))
            .collect()
    });
    for answer in &answers {
        let refused = answer.json()["error"]["code"] == "stopping";
        assert!(answer.is_complete() || refused, "{answer:?}");
    }
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
}

/// Sends to one daemon after the other until one takes the work.
fn send_anywhere(first: usize, send: impl Fn(usize) -> Answer) -> Answer {
    let started = Instant::now();
    for daemon in first.. {
        let answer = send(daemon % ZONES);
        let is_stopping = answer.json()["error"]["code"] == "stopping";
        if answer.connected && !is_stopping {
            return answer;
        }
        assert!(started.elapsed() < PATIENCE, "no daemon takes the work");
        thread::sleep(Duration::from_millis(5));
    }
    unreachable!("daemons are asked without end")
}

/// Sends requests until told to stop; each is answered whole.
fn ask_until(fleet: &Fleet, nth: usize, done: &AtomicBool) -> usize {
    let mut answered = 0;
    while !done.load(Ordering::Relaxed) {
        let body = question(&format!("{nth}-{answered}"), 30, answered % 2 == 0);
        let answer = send_anywhere(nth + answered, |daemon| {
            fleet.caller(daemon).post(COMPLETIONS, &body)
        });
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text(), answer_text(&body));
        answered += 1;
    }
    answered
}

/// Sends orders until told to stop; the keys of all.
fn order_until(fleet: &Fleet, done: &AtomicBool) -> Vec<String> {
    let mut keys = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let key = format!("rolling-{}", keys.len());
        let first = keys.len();
        wait_until("the order is answered", || {
            let answer = send_anywhere(first, |daemon| fleet.order(daemon, &key));
            // A fresh voter that learns leaves a moment without a majority.
            answer.status == 200
        });
        keys.push(key);
    }
    keys
}

#[test]
fn every_daemon_is_replaced_under_load() {
    let mut plan = Plan::zones(ZONES);
    plan.apart = false;
    for engine in &mut plan.engines {
        engine["time_scale"] = json!(2.0);
    }
    let mut fleet = Fleet::start(plan);
    fleet.wait_until_orders_run();
    let mut daemons = std::mem::take(&mut fleet.daemons);
    let done = AtomicBool::new(false);
    let keys = thread::scope(|scope| {
        let (fleet, done) = (&fleet, &done);
        let ending = EndsLoad(done);
        let asking: Vec<_> = (0..6)
            .map(|nth| scope.spawn(move || ask_until(fleet, nth, done)))
            .collect();
        let ordering = scope.spawn(move || order_until(fleet, done));
        for (index, daemon) in daemons.iter_mut().enumerate() {
            daemon.signal("TERM");
            assert_eq!(daemon.exit_code(), Some(0));
            *daemon = fleet.start_daemon(index);
            fleet.wait_until_serving(index);
            fleet.wait_until_order_runs(index);
        }
        drop(ending);
        for one in asking {
            assert!(one.join().expect("requests are answered") > 0);
        }
        ordering.join().expect("orders are answered")
    });
    fleet.daemons = daemons;
    let runs = fleet.runs();
    for (nth, key) in keys.iter().enumerate() {
        assert_eq!(fleet.order(nth % ZONES, key).status, 200, "{key}");
        assert_eq!(runs.get(key), Some(&1), "{key}");
    }
}
