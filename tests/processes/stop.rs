//! A planned stop of a daemon cuts off nothing.

use std::thread;

use serde_json::json;

use crate::fleet::{Fleet, Plan, wait_until};

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
        refused.status == 503 && refused.json()["error"]["code"] == "stopping"
    });
    let answer = reading.join().expect("the reader ends");
    assert!(answer.whole);
    assert!(answer.body.ends_with("data: [DONE]\n\n"));
    assert_eq!(fleet.daemons[0].exit_code(), Some(0));
}
