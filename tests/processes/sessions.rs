//! Complete sessions of callers, most of them compared with snapshots.

use insta::assert_snapshot;
use mangofront_prompt::Endpoint;
use serde_json::{Value, json};

use crate::client::normalise;
use crate::fleet::{Fleet, FleetSpec, wait_until};
use crate::requests::expected_text;

/// Body of a completion request with a fixed prompt.
fn completion_body(max_tokens: u32, stream: bool) -> Value {
    json!({
        "model": "assist-llm",
        "prompt": "Copier 12 shows E-045 after a paper jam in tray 2. What first?",
        "max_tokens": max_tokens,
        "stream": stream
    })
}

#[test]
fn streamed_answer() {
    let fleet = Fleet::start(FleetSpec::default());
    let answer = fleet
        .caller_client(0)
        .post("/v1/completions", &completion_body(5, true));
    assert_eq!(
        answer.text(),
        expected_text(Endpoint::Completions, &completion_body(5, true))
    );
    assert_snapshot!(answer.record());
}

#[test]
fn plain_answer() {
    let fleet = Fleet::start(FleetSpec::default());
    let messages = json!([
        {"role": "system", "content": "Answer briefly."},
        {"role": "user", "content": "Which menus are free of nuts?"}
    ]);
    let body = json!({"model": "assist-llm", "messages": messages, "max_tokens": 4});
    let answer = fleet.caller_client(0).post("/v1/chat/completions", &body);
    assert_eq!(
        answer.text(),
        expected_text(Endpoint::ChatCompletions, &body)
    );
    assert_snapshot!(answer.record());
}

#[test]
fn refused_requests() {
    let fleet = Fleet::start(FleetSpec::default());
    let caller = fleet.caller_client(0);
    let path = "/v1/completions";
    let valid = completion_body(4, false);
    let no_tokens = completion_body(0, false);
    let mut other_model = valid.clone();
    other_model["model"] = json!("other-llm");
    let records = [
        (
            "malformed body",
            caller.send(http::Method::POST, path, "{\"model\":".into()),
        ),
        ("no token wanted", caller.post(path, &no_tokens)),
        (
            "unknown class",
            caller
                .with_header("mangofront-class", "haste")
                .post(path, &valid),
        ),
        (
            "unknown organisation",
            caller
                .with_header("mangofront-organisation", "x")
                .post(path, &valid),
        ),
        (
            "no organisation",
            caller
                .without_header("mangofront-organisation")
                .post(path, &valid),
        ),
        ("unknown model", caller.post(path, &other_model)),
        ("unknown path", caller.get("/v2/models")),
        ("wrong method", caller.get(path)),
        ("unknown service", caller.get("/v1/services/billing/open")),
        (
            "order without key",
            caller.post("/v1/services/fleet-ops/orders/toner", &json!({})),
        ),
        (
            "body too large",
            caller.send(http::Method::POST, path, vec![b' '; (16 << 20) + 1].into()),
        ),
    ];
    let session: Vec<String> = records
        .iter()
        .map(|(name, answer)| format!("== {name}\n{}\n", answer.record()))
        .collect();
    assert_snapshot!(session.join("\n"));
    assert_eq!(
        fleet.engine_counter(0, "started") + fleet.engine_counter(1, "started"),
        0
    );
}

#[test]
fn service_order() {
    let fleet = Fleet::start(FleetSpec::default());
    let minted = fleet
        .caller_client(0)
        .post("/v1/idempotency-keys", &json!({}));
    assert_eq!(minted.status, 201);
    let key = minted.json()["key"]
        .as_str()
        .expect("a key is minted")
        .to_owned();
    let caller = fleet.caller_client(0).with_header("idempotency-key", &key);
    let order = json!({"toner": "black", "copies": 2});
    let path = "/v1/services/fleet-ops/orders/toner";
    let first = caller.post(path, &order);
    let again = caller.post(path, &order);
    let other = caller.post(path, &json!({"toner": "cyan", "copies": 1}));
    let session = [first.record(), again.record(), other.record()].join("\n\n");
    assert_snapshot!(session);
    let counters = fleet.service_client(0).get("/control/counters").json();
    assert_eq!(counters["by_key"][&key], 1);
}

#[test]
fn engine_dies_in_mid_stream() {
    let fleet = Fleet::start(FleetSpec::default());
    let body = completion_body(40, true);
    // At least one of four requests goes to the first engine, which dies; the
    // second engine takes over.
    fleet
        .engine_client(0)
        .post("/control", &json!({"die_after_tokens": 5}));
    let answers: Vec<_> = (0..4)
        .map(|_| fleet.caller_client(0).post("/v1/completions", &body))
        .collect();
    for answer in &answers {
        assert_eq!(answer.text(), expected_text(Endpoint::Completions, &body));
        assert!(answer.body_complete && answer.body.ends_with("data: [DONE]\n\n"));
    }
    wait_until("the first engine died", || {
        fleet.engine_client(0).get("/v1/health").status == 0
    });
    assert_snapshot!(answers[0].record());
}

#[test]
fn an_answer_that_runs_out_of_time_ends_with_an_error() {
    let mut spec = FleetSpec::default();
    spec.configuration["classes"]["diagnosis"] =
        json!({"time_to_first_token_ms": 300, "allowed_delay_ms": 200});
    let fleet = Fleet::start(spec);
    for engine in 0..2 {
        fleet
            .engine_client(engine)
            .post("/control", &json!({"slow_factor": 40}));
    }
    let answer = fleet
        .caller_client(0)
        .post("/v1/completions", &completion_body(200, true));
    assert_eq!(answer.status, 200);
    assert!(answer.body_complete);
    let last = answer.body.trim_end().rsplit("\n\n").next();
    let last = last.and_then(|event| event.strip_prefix("data: "));
    let last: Value = serde_json::from_str(last.unwrap_or_default()).unwrap_or_default();
    assert_eq!(
        last["error"]["code"], "deadline_exceeded",
        "{}",
        answer.body
    );
}

#[test]
fn cancelled_request() {
    let fleet = Fleet::start(FleetSpec::default());
    let answer =
        fleet
            .caller_client(0)
            .disconnect_after(3, "/v1/completions", &completion_body(2000, true));
    assert_eq!(answer.status, 200);
    // The chunk with the third event may contain more events, depending on the network.
    let events: Vec<&str> = answer.body.split_inclusive("\n\n").take(3).collect();
    assert_snapshot!(normalise(&events.concat()));
    let cancelled = || fleet.engine_counter(0, "cancelled") + fleet.engine_counter(1, "cancelled");
    wait_until("the engine cancels the answer", || cancelled() == 1);
    let used =
        || fleet.engine_counter(0, "kv_used_tokens") + fleet.engine_counter(1, "kv_used_tokens");
    wait_until("the engines free the memory", || used() == 0);
    wait_until("the daemon has no request in progress", || {
        fleet.admin_client(0).get("/status").json()["daemon"]["requests_in_progress"] == 0
    });
}

#[test]
fn order_with_another_path_spelling_requires_a_key() {
    let fleet = Fleet::start(FleetSpec::default());
    for path in [
        "//orders/toner",
        "/./orders/toner",
        "/%6Frders/toner",
        "/x/../orders/toner",
    ] {
        let path = format!("/v1/services/fleet-ops{path}");
        let answer = fleet.caller_client(0).post(&path, &json!({}));
        let code = &answer.json()["error"]["code"];
        assert_eq!(code, "idempotency_key_required", "{path}: {}", answer.body);
    }
    let counters = fleet.service_client(0).get("/control/counters").json();
    assert_eq!(counters["total"], 0);
}

#[test]
fn explain_lists_each_engine() {
    let fleet = Fleet::start(FleetSpec::default());
    let question = json!({"model": "assist-llm", "tokens": 2000, "class": "diagnosis"});
    let explained = fleet.admin_client(0).post("/explain", &question);
    assert_eq!(explained.status, 200);
    assert_eq!(
        explained.json()["considered"].as_array().map(Vec::len),
        Some(2)
    );
    let unknown = json!({"model": "assist-llm", "tokens": 2000, "class": "haste"});
    assert_eq!(fleet.admin_client(0).post("/explain", &unknown).status, 400);
}

#[test]
fn bodies_in_progress_have_a_size_limit() {
    let mut spec = FleetSpec {
        limits: json!({"bodies_limit_bytes": 1 << 20, "body_limit_bytes": 700_000}),
        ..FleetSpec::default()
    };
    for engine in &mut spec.engines {
        // Longer than a body waits for room.
        engine["time_scale"] = json!(2.0);
    }
    let fleet = Fleet::start(spec);
    let long = json!({"model": "assist-llm", "prompt": "x ".repeat(300_000),
        "max_tokens": 400, "stream": true});
    let caller = fleet
        .caller_client(0)
        .with_header("mangofront-class", "review");
    let first = caller.clone();
    let body = long.clone();
    let request = std::thread::spawn(move || first.post("/v1/completions", &body));
    wait_until("the first long prompt is in progress", || {
        fleet.admin_client(0).get("/status").json()["daemon"]["requests_in_progress"] == 1
    });
    wait_until("a second long prompt is refused", || {
        let refused = caller.disconnect_after(1, "/v1/completions", &long);
        refused.json()["error"]["code"] == "bodies_full"
            && refused.json()["error"]["outcome"] == "not_run"
    });
    let short = completion_body(2, false);
    assert_eq!(
        fleet
            .caller_client(0)
            .post("/v1/completions", &short)
            .status,
        200
    );
    request.join().expect("the first caller ends");
    wait_until("a long prompt is accepted again", || {
        caller.disconnect_after(1, "/v1/completions", &long).status == 200
    });
}

#[test]
fn refusal_reaches_a_caller_that_is_still_sending() {
    let fleet = Fleet::start(FleetSpec::default());
    let caller = fleet
        .caller_client(0)
        .without_header("mangofront-organisation");
    for _ in 0..10 {
        let body = vec![b' '; 6 << 20];
        let refused = caller.send(http::Method::POST, "/v1/completions", body.into());
        assert_eq!(refused.status, 400, "{}", refused.body);
        assert_eq!(refused.json()["error"]["code"], "missing_header");
    }
}

#[test]
fn requests_in_progress_have_a_limit() {
    let fleet = Fleet::start(FleetSpec {
        limits: json!({"in_progress_limit_requests": 2}),
        engines: vec![json!({"time_scale": 0.5})],
        ..FleetSpec::default()
    });
    let caller = fleet.caller_client(0);
    let readers: Vec<_> = (0..2)
        .map(|_| {
            let caller = caller.clone();
            std::thread::spawn(move || caller.post("/v1/completions", &completion_body(150, true)))
        })
        .collect();
    wait_until("both answers have begun", || {
        fleet.admin_client(0).get("/status").json()["daemon"]["requests_in_progress"] == 2
    });
    let refused = caller.get("/v1/models");
    assert_eq!(refused.status, 429, "{}", refused.body);
    assert_eq!(refused.json()["error"]["code"], "too_many_requests");
    for reader in readers {
        assert!(reader.join().expect("the reader ends").is_complete());
    }
    assert_eq!(caller.get("/v1/models").status, 200);
}
