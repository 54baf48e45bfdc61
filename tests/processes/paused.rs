//! Engines that stand still for a while and go on lose no answer.

use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

use crate::client::Answer;
use crate::fleet::{Fleet, FleetSpec, wait_until};
use crate::requests::{COMPLETIONS, answer_text, completion_body};

/// A pause that outlasts all timeouts of the daemon other than the request's own.
const LONG_PAUSE: Duration = Duration::from_secs(9);

/// A pause that outlasts one wait for a token and one attempt to resume the stream.
const SHORT_PAUSE: Duration = Duration::from_secs(4);

/// A fleet whose requests have 30 s and whose engines generate 50 tokens a second.
fn spec(engines: usize) -> FleetSpec {
    let engine = json!({
        "time_scale": 1.0, "load_lag_ms": 20, "step": {"base_us": 20_000}
    });
    let mut spec = FleetSpec {
        engines: vec![engine; engines],
        ..FleetSpec::default()
    };
    spec.configuration["classes"]["diagnosis"] =
        json!({"time_to_first_token_ms": 10_000, "allowed_delay_ms": 20_000});
    spec
}

/// Sends `count` requests for 100 tokens, pauses the engine of `engine` once `is_due` and lets it
/// go on after `pause`. Returns the answers.
fn send_around_a_pause(
    fleet: &Fleet,
    count: usize,
    engine: usize,
    pause: Duration,
    is_due: impl Fn() -> bool,
) -> Vec<(Value, Answer)> {
    thread::scope(|scope| {
        let requests: Vec<_> = (0..count)
            .map(|nth| {
                scope.spawn(move || {
                    let body = completion_body(&nth.to_string(), 100, nth % 2 == 0);
                    let answer = fleet.caller_client(0).post(COMPLETIONS, &body);
                    (body, answer)
                })
            })
            .collect();
        wait_until("the engine is to be paused", is_due);
        fleet.engines[engine].signal("STOP");
        thread::sleep(pause);
        fleet.engines[engine].signal("CONT");
        requests
            .into_iter()
            .map(|request| request.join().expect("the request thread ends"))
            .collect()
    })
}

fn assert_complete(answers: &[(Value, Answer)]) {
    let failed: Vec<_> = answers
        .iter()
        .filter(|(_, answer)| !answer.is_complete())
        .collect();
    let (count, sent) = (failed.len(), answers.len());
    assert!(
        failed.is_empty(),
        "{count} of {sent} answers failed, the first: {:?}",
        failed[0].1
    );
    for (body, answer) in answers {
        assert_eq!(answer.text(), answer_text(body));
    }
}

/// Number of engines for which the daemon's status says `state`.
fn engines_in_state(fleet: &Fleet, state: &str) -> usize {
    let status = fleet.status(0);
    let engines = status["placement"]["engines"].as_array();
    let engines = engines.expect("the status lists the engines");
    engines
        .iter()
        .filter(|engine| engine[state] == true)
        .count()
}

/// Guards against answers that are broken off because their only engine was silent for longer
/// than the daemon's own timeouts, although it goes on before the deadline.
#[test]
fn answers_that_began_outlast_a_pause_of_the_only_engine() {
    let fleet = Fleet::start(spec(1));
    let has_begun = || fleet.engine_counter(0, "tokens") > 30;
    let answers = send_around_a_pause(&fleet, 6, 0, LONG_PAUSE, has_begun);
    assert_complete(&answers);
}

/// Guards against requests that fail because more of them wait for the first token of a silent
/// engine than the retry budget allows to send again.
#[test]
fn requests_without_a_token_outlast_a_pause_of_the_only_engine() {
    let fleet = Fleet::start(spec(1));
    fleet.engines[0].signal("STOP");
    let answers = send_around_a_pause(&fleet, 30, 0, SHORT_PAUSE, || true);
    assert_complete(&answers);
}

/// Guards against answers that are broken off because the engine to which a silent one's work
/// would be moved refuses it as busy.
#[test]
fn answers_outlast_a_pause_while_the_other_engine_is_full() {
    let mut spec = spec(2);
    spec.engines[1]["max_waiting"] = json!(0);
    let fleet = Fleet::start(spec);
    let has_begun = || fleet.engine_counter(0, "tokens") > 60;
    let answers = send_around_a_pause(&fleet, 6, 0, LONG_PAUSE, has_begun);
    assert_complete(&answers);
}

/// Guards against answers that are broken off because all other engines are leaving.
#[test]
fn answers_outlast_a_pause_while_the_other_engines_leave() {
    let fleet = Fleet::start(spec(3));
    for engine in 1..3 {
        let refuses = json!({"leaving": true});
        fleet.engine_client(engine).post("/control", &refuses);
    }
    wait_until("the daemon knows that they leave", || {
        engines_in_state(&fleet, "leaving") == 2
    });
    let has_begun = || fleet.engine_counter(0, "tokens") > 200;
    let answers = send_around_a_pause(&fleet, 20, 0, LONG_PAUSE, has_begun);
    assert_complete(&answers);
}

/// Guards against an ejection of engines that were silent for a moment and proved no fault.
#[test]
fn a_pause_ejects_no_engine() {
    let fleet = Fleet::start(spec(3));
    let has_begun = || fleet.engine_counter(0, "tokens") > 30;
    let answers = send_around_a_pause(&fleet, 24, 0, SHORT_PAUSE, has_begun);
    assert_complete(&answers);
    assert_eq!(engines_in_state(&fleet, "ejected"), 0);
}
