//! A graceful shutdown of a daemon aborts no request.

use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;

use crate::client::Answer;
use crate::fleet::{CONDITION_TIMEOUT, Fleet, FleetSpec, StopLoadOnDrop, wait_until};
use crate::link::ZONES;
use crate::requests::{COMPLETIONS, answer_text, completion_body};

#[test]
fn a_stream_in_progress_is_finished() {
    let mut spec = FleetSpec::default();
    for engine in &mut spec.engines {
        // Slow enough for the signal to arrive during the stream.
        engine["time_scale"] = json!(0.5);
    }
    let mut fleet = Fleet::start(spec);
    let body = json!({"model": "assist-llm", "prompt": "Which toner fits copier 12?",
        "max_tokens": 60, "stream": true});
    let caller = fleet.caller_client(0);
    let request = thread::spawn(move || caller.post("/v1/completions", &body));
    wait_until("the answer has begun", || {
        let status = fleet.admin_client(0).get("/status").json();
        status["daemon"]["requests_in_progress"] == 1
    });
    fleet.daemons[0].signal("TERM");
    wait_until("new work is refused", || {
        let refused = fleet.caller_client(0).get("/v1/models");
        let closes = refused
            .headers
            .contains(&("connection".to_owned(), "close".to_owned()));
        refused.status == 503 && refused.json()["error"]["code"] == "stopping" && closes
    });
    let answer = request.join().expect("the reader ends");
    assert!(answer.body_complete);
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
}

/// Guards against a second stop signal that kills a draining daemon and its streams.
#[test]
fn further_stop_signals_interrupt_no_stream() {
    let mut spec = FleetSpec::default();
    for engine in &mut spec.engines {
        // Slow enough for the signals to arrive during the stream.
        engine["time_scale"] = json!(0.5);
    }
    let mut fleet = Fleet::start(spec);
    let body = json!({"model": "assist-llm", "prompt": "Which toner fits copier 12?",
        "max_tokens": 60, "stream": true});
    let caller = fleet.caller_client(0);
    let request = thread::spawn(move || caller.post("/v1/completions", &body));
    wait_until("the answer has begun", || {
        let status = fleet.admin_client(0).get("/status").json();
        status["daemon"]["requests_in_progress"] == 1
    });
    for name in ["TERM", "TERM", "INT", "TERM"] {
        fleet.daemons[0].signal(name);
        thread::sleep(Duration::from_millis(20));
    }
    let answer = request.join().expect("the reader ends");
    assert!(answer.body_complete);
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
}

#[test]
fn requests_queued_before_the_stop_are_answered() {
    let mut fleet = Fleet::start(FleetSpec::default());
    fleet.daemons[0].signal("STOP");
    let body = completion_body("waits", 5, false);
    let answers: Vec<Answer> = thread::scope(|scope| {
        let requests =
            (0..20).map(|_| scope.spawn(|| fleet.caller_client(0).post(COMPLETIONS, &body)));
        let requests: Vec<_> = requests.collect();
        // The kernel accepts the connections and buffers the requests meanwhile.
        thread::sleep(Duration::from_millis(500));
        fleet.daemons[0].signal("TERM");
        fleet.daemons[0].signal("CONT");
        requests
            .into_iter()
            .map(|request| request.join().expect("the request thread ends"))
            .collect()
    });
    for answer in &answers {
        let refused = answer.json()["error"]["code"] == "stopping";
        assert!(answer.is_complete() || refused, "{answer:?}");
    }
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
}

/// A fleet with one engine that generates 20 tokens a second for as long as a caller waits.
fn slow_fleet(stop_limit_ms: Option<u64>) -> Fleet {
    let engine = json!({"time_scale": 1.0, "load_lag_ms": 20, "step": {"base_us": 50_000}});
    let mut spec = FleetSpec {
        engines: vec![engine],
        services: vec![json!({"delay_ms": 20_000})],
        stop_limit_ms,
        ..FleetSpec::default()
    };
    spec.configuration["classes"]["diagnosis"] =
        json!({"time_to_first_token_ms": 10_000, "allowed_delay_ms": 50_000});
    Fleet::start(spec)
}

/// Guards against requests that were never sent and that a stopping daemon keeps waiting, and
/// against refusals of them that look like an overload.
#[test]
fn requests_that_wait_for_admission_are_refused_as_the_stop_begins() {
    let mut fleet = slow_fleet(None);
    let (refused, answered) = thread::scope(|scope| {
        let requests: Vec<_> = (0..60)
            .map(|nth| {
                let caller = fleet.caller_client(0);
                scope.spawn(move || {
                    let answer =
                        caller.post(COMPLETIONS, &completion_body(&nth.to_string(), 100, false));
                    (answer, Instant::now())
                })
            })
            .collect();
        wait_until("requests wait for admission", || {
            fleet.status(0)["admission"]["waiting"].as_u64() > Some(10)
        });
        fleet.daemons[0].signal("TERM");
        let stop_began = Instant::now();
        let answers = requests
            .into_iter()
            .map(|request| request.join().expect("it ends"));
        let (answered, refused): (Vec<_>, Vec<_>) =
            answers.partition(|(answer, _)| answer.is_complete());
        for (answer, ended) in &refused {
            assert_eq!(answer.status, 503, "{answer:?}");
            assert_eq!(answer.json()["error"]["code"], "stopping", "{answer:?}");
            assert_eq!(answer.outcome().as_deref(), Some("not_run"), "{answer:?}");
            let delay = ended.saturating_duration_since(stop_began);
            assert!(delay < Duration::from_secs(2), "refused after {delay:?}");
        }
        (refused.len(), answered.len())
    });
    assert!(
        refused > 10 && answered > 0,
        "{refused} refused, {answered} answered"
    );
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
}

/// Guards against requests that end without an error or a line in the log, because the longest
/// shutdown was over before they were answered.
#[test]
fn requests_cut_off_at_the_stop_limit_are_told_so_and_logged() {
    let mut fleet = slow_fleet(Some(1500));
    let send = |path: &'static str, body| {
        let caller = fleet.caller_client(0);
        thread::spawn(move || caller.post(path, &body))
    };
    let streamed = send(COMPLETIONS, completion_body("streamed", 1000, true));
    let plain = send(COMPLETIONS, completion_body("plain", 1000, false));
    let called = send("/v1/services/fleet-ops/readings", json!({}));
    wait_until("the requests are in progress", || {
        fleet.status(0)["daemon"]["requests_in_progress"] == 3
            && fleet.engine_counter(0, "started") == 2
            && fleet.engine_counter(0, "tokens") > 10
    });
    fleet.daemons[0].signal("TERM");
    let [streamed, plain, called] =
        [streamed, plain, called].map(|request| request.join().expect("it ends"));
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
    for (answer, status, outcome) in [
        (&streamed, 200, "failed"),
        (&plain, 503, "failed"),
        (&called, 503, "unknown"),
    ] {
        assert_eq!(answer.status, status, "{answer:?}");
        assert_eq!(answer.outcome().as_deref(), Some(outcome), "{answer:?}");
        assert!(answer.body_complete && !answer.is_complete(), "{answer:?}");
    }
    let log = fleet.log(0);
    let lines = log
        .lines()
        .filter(|line| line.contains("cut off at the stop limit"));
    let requests = lines.filter(|line| line.contains("entry: request"));
    assert_eq!(requests.count(), 3);
}

/// Tries one daemon after the other until one doesn't refuse the request because it is stopping.
fn send_with_failover(first: usize, send: impl Fn(usize) -> Answer) -> Answer {
    let started = Instant::now();
    for daemon in first.. {
        let answer = send(daemon % ZONES);
        let is_stopping = answer.json()["error"]["code"] == "stopping";
        if answer.connected && !is_stopping {
            return answer;
        }
        assert!(
            started.elapsed() < CONDITION_TIMEOUT,
            "no daemon accepted the request"
        );
        thread::sleep(Duration::from_millis(5));
    }
    unreachable!("the loop over daemons has no end")
}

/// Sends requests until `done` is set and checks that each answer is complete. Returns their
/// number.
fn send_requests_until(fleet: &Fleet, nth: usize, done: &AtomicBool) -> usize {
    let mut answered = 0;
    while !done.load(Ordering::Relaxed) {
        let body = completion_body(&format!("{nth}-{answered}"), 30, answered % 2 == 0);
        let answer = send_with_failover(nth + answered, |daemon| {
            fleet.caller_client(daemon).post(COMPLETIONS, &body)
        });
        assert!(answer.is_complete(), "{answer:?}");
        assert_eq!(answer.text(), answer_text(&body));
        answered += 1;
    }
    answered
}

/// Sends orders until `done` is set. Returns their idempotency keys.
fn send_orders_until(fleet: &Fleet, done: &AtomicBool) -> Vec<String> {
    let mut keys = Vec::new();
    while !done.load(Ordering::Relaxed) {
        let key = format!("rolling-{}", keys.len());
        let first = keys.len();
        wait_until("the order is answered", || {
            let answer = send_with_failover(first, |daemon| fleet.order(daemon, &key));
            // There is no majority for a moment, while a restarted voter still reads the
            // records of the others.
            answer.status == 200
        });
        keys.push(key);
    }
    keys
}

#[test]
fn every_daemon_is_replaced_under_load() {
    let mut spec = FleetSpec::zones(ZONES);
    spec.isolated_zones = false;
    for engine in &mut spec.engines {
        engine["time_scale"] = json!(2.0);
    }
    let mut fleet = Fleet::start(spec);
    fleet.wait_until_orders_run();
    let mut daemons = std::mem::take(&mut fleet.daemons);
    let done = AtomicBool::new(false);
    let keys = thread::scope(|scope| {
        let (fleet, done) = (&fleet, &done);
        let stop_load = StopLoadOnDrop(done);
        let requests: Vec<_> = (0..6)
            .map(|nth| scope.spawn(move || send_requests_until(fleet, nth, done)))
            .collect();
        let ordering = scope.spawn(move || send_orders_until(fleet, done));
        for (index, daemon) in daemons.iter_mut().enumerate() {
            daemon.signal("TERM");
            assert_eq!(daemon.exit_code(), Some(0));
            *daemon = fleet.start_daemon(index);
            fleet.wait_until_serving(index);
            fleet.wait_until_order_runs(index);
        }
        drop(stop_load);
        for thread in requests {
            assert!(thread.join().expect("requests are answered") > 0);
        }
        ordering.join().expect("orders are answered")
    });
    fleet.daemons = daemons;
    let runs = fleet.executions_by_key();
    for (nth, key) in keys.iter().enumerate() {
        assert_eq!(fleet.order(nth % ZONES, key).status, 200, "{key}");
        assert_eq!(runs.get(key), Some(&1), "{key}");
    }
}

/// Guards against a signal to read the settings again that ends the daemon.
#[test]
fn a_reload_does_not_end_a_daemon() {
    let mut fleet = Fleet::start(FleetSpec::default());
    for _ in 0..3 {
        fleet.daemons[0].signal("HUP");
        thread::sleep(Duration::from_millis(50));
    }
    wait_until("the reload is logged", || {
        fleet.log(0).contains("settings read again")
    });
    assert!(!fleet.daemons[0].has_ended());
}
