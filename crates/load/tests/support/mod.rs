//! A test server that answers like a daemon, correctly or with one fault.

#![allow(dead_code, reason = "no test binary uses every fault")]
#![allow(clippy::unwrap_used, reason = "a helper of tests fails by panicking")]

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use futures_util::StreamExt;
use http::{HeaderValue, Request, Response, StatusCode};
use hyper::body::Incoming;
use mangofront_http::{Body, ErrorBody, Outcome, ServeLimits, Shutdown, collect, headers, stream};
use mangofront_load::answers::AnswerRule;
use mangofront_load::verify::Expected;
use serde_json::json;

/// Maximum size of a request body, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Fault that the server injects into every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fault {
    None,
    SwapTwoTokens,
    DropLastToken,
    RepeatToken,
    NoDoneMarker,
    ErrorInStream,
    NotRunInStream,
    EventAfterError,
    Refuse,
    RunServiceTwice,
    Hang,
}

/// Answer rule of the tests: each token contains the digest and its offset.
pub fn rule() -> AnswerRule {
    AnswerRule {
        token_text: |digest, offset| format!(" {:04x}.{offset}", digest & 0xffff),
        length_tokens: |digest, limit| 3 + (digest % u64::from(limit)) as u32,
    }
}

/// Starts a server on loopback that answers by [`rule`]; it stops with the
/// runtime.
pub async fn server(fault: Fault) -> SocketAddr {
    server_with_rule(rule(), fault).await
}

/// Starts a server on loopback that answers by `rule`.
pub async fn server_with_rule(rule: AnswerRule, fault: Fault) -> SocketAddr {
    let listener = compio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (trigger, shutdown) = Shutdown::new();
    let requests = Rc::new(Cell::new(0_u64));
    compio::runtime::spawn(async move {
        let handler = move |request, _| {
            requests.set(requests.get() + 1);
            answer(request, rule, fault, requests.get())
        };
        mangofront_http::serve(listener, ServeLimits::default(), handler, shutdown).await;
        drop(trigger);
    })
    .detach();
    address
}

async fn answer(
    request: Request<Incoming>,
    rule: AnswerRule,
    fault: Fault,
    number: u64,
) -> Response<Body> {
    if fault == Fault::Hang {
        std::future::pending::<()>().await;
    }
    let mut response = if fault == Fault::Refuse {
        // Reads the body first, as the daemon does: a connection closed with
        // unread bytes is reset, and the reset may overtake the answer.
        let body = collect(request.into_body(), BODY_LIMIT_BYTES).await;
        body.expect("the body arrives");
        let error = ErrorBody::new("class_overloaded", Outcome::NotRun, "admission", "full");
        error.into_response(StatusCode::TOO_MANY_REQUESTS)
    } else if request.uri().path() == "/control/counters" {
        mangofront_http::json(StatusCode::OK, &json!({ "total": 3, "by_key": { "k": 3 } }))
    } else if request.uri().path().starts_with("/v1/services/") {
        assert!(request.headers().contains_key(headers::IDEMPOTENCY_KEY));
        let executions = if fault == Fault::RunServiceTwice {
            2
        } else {
            1
        };
        mangofront_http::json(StatusCode::OK, &json!({ "executions": executions }))
    } else {
        model(request, rule, fault).await
    };
    let id = HeaderValue::from_str(&format!("r-{number}")).unwrap();
    response.headers_mut().insert(headers::REQUEST_ID, id);
    response
}

async fn model(request: Request<Incoming>, rule: AnswerRule, fault: Fault) -> Response<Body> {
    let chat = request.uri().path() == "/v1/chat/completions";
    assert!(request.headers().contains_key(headers::CLASS));
    let body = collect(request.into_body(), BODY_LIMIT_BYTES)
        .await
        .unwrap();
    let endpoint = if chat {
        mangofront_load::scenario::Endpoint::ChatCompletions
    } else {
        mangofront_load::scenario::Endpoint::Completions
    };
    let expected = rule.expected(endpoint, &body);
    let wants_stream = serde_json::from_slice::<serde_json::Value>(&body).unwrap()["stream"]
        .as_bool()
        .unwrap();
    if !wants_stream {
        let text: String = tokens(expected, fault).concat();
        let choice = if chat {
            json!({ "message": { "content": text }, "finish_reason": expected.finish_reason() })
        } else {
            json!({ "text": text, "finish_reason": expected.finish_reason() })
        };
        return mangofront_http::json(StatusCode::OK, &json!({ "choices": [choice] }));
    }
    let events = stream_events(expected, fault, chat);
    Response::new(stream(futures_util::stream::iter(events).map(Bytes::from)))
}

fn tokens(expected: Expected, fault: Fault) -> Vec<String> {
    let mut tokens: Vec<String> = (0..expected.length_tokens)
        .map(|offset| (expected.token_text)(expected.digest, offset))
        .collect();
    match fault {
        Fault::SwapTwoTokens => tokens.swap(0, 1),
        Fault::DropLastToken => drop(tokens.pop()),
        Fault::RepeatToken => tokens.insert(1, tokens[0].clone()),
        _ => {}
    }
    tokens
}

fn stream_events(expected: Expected, fault: Fault, chat: bool) -> Vec<String> {
    let mut events = Vec::new();
    for token in tokens(expected, fault) {
        let choice = if chat {
            json!({ "delta": { "content": token }, "finish_reason": null })
        } else {
            json!({ "text": token, "finish_reason": null })
        };
        events.push(format!("data: {}\n\n", json!({ "choices": [choice] })));
    }
    let outcome = match fault {
        Fault::ErrorInStream | Fault::EventAfterError => Some(Outcome::Failed),
        Fault::NotRunInStream => Some(Outcome::NotRun),
        _ => None,
    };
    if let Some(outcome) = outcome {
        let error = ErrorBody::new("upstream_lost", outcome, "stream", "gone");
        events.push(format!(
            "data: {}\n\n",
            serde_json::to_string(&error).unwrap()
        ));
        if fault == Fault::EventAfterError {
            events.push("data: [DONE]\n\n".to_owned());
        }
        return events;
    }
    let last = json!({ "choices": [{ "delta": {}, "finish_reason": expected.finish_reason() }] });
    events.push(format!("data: {last}\n\n"));
    if fault != Fault::NoDoneMarker {
        events.push("data: [DONE]\n\n".to_owned());
    }
    events
}
