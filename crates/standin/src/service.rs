//! Emulator of a service, which responds after a delay and counts executed calls
//! by idempotency key.
//!
//! A call is executed without an await point: if its connection breaks earlier,
//! the call is not executed; if it breaks later, the call remains executed.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::select;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use mangofront_http::{
    Aborted, Body, ErrorBody, Outcome, Shutdown, StopSignals, headers, serve_abortable,
};
use serde::{Deserialize, Serialize};

use crate::limits::serve_limits;

/// Maximum body size of a call, in bytes.
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;

/// Settings of the service emulator.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceSettings {
    /// Service name in the responses, `service` by default.
    pub service: String,
    /// Delay between execution and response of a call, in milliseconds; 20 by
    /// default.
    pub delay_ms: u64,
}

impl Default for ServiceSettings {
    fn default() -> Self {
        Self {
            service: "service".to_owned(),
            delay_ms: 20,
        }
    }
}

/// Body of `POST /control`; absent fields leave their switches unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Control {
    delay_ms: Option<u64>,
    /// Status of every response; 0 or 200 ends the fault.
    fail_status: Option<u16>,
    break_after_run: Option<bool>,
    break_before_run: Option<bool>,
    leaving: Option<bool>,
}

/// Counts of executed calls.
#[derive(Debug, Default, Serialize)]
struct Counters {
    total: u64,
    by_key: BTreeMap<String, u64>,
}

/// Response to an executed call.
#[derive(Debug, Serialize)]
struct Executed<'a> {
    service: &'a str,
    path: &'a str,
    executions: u64,
}

struct State {
    service: String,
    delay: Cell<Duration>,
    fail_status: Cell<Option<StatusCode>>,
    break_after_run: Cell<bool>,
    break_before_run: Cell<bool>,
    leaving: Cell<bool>,
    counters: RefCell<Counters>,
    shutdown: Shutdown,
}

/// Serves the service on `listener` until `shutdown`.
pub async fn run(
    listener: compio::net::TcpListener,
    settings: ServiceSettings,
    shutdown: Shutdown,
) {
    let state = Rc::new(State {
        service: settings.service,
        delay: Cell::new(Duration::from_millis(settings.delay_ms)),
        fail_status: Cell::new(None),
        break_after_run: Cell::new(false),
        break_before_run: Cell::new(false),
        leaving: Cell::new(false),
        counters: RefCell::default(),
        shutdown: shutdown.clone(),
    });
    let handler = move |request, _peer| {
        let state = Rc::clone(&state);
        async move { state.handle(request).await }
    };
    // Faults abort single connections; nothing aborts the whole server.
    let (never_triggered, abort) = Shutdown::new();
    serve_abortable(
        listener,
        serve_limits(),
        handler,
        StopSignals { shutdown, abort },
    )
    .await;
    drop(never_triggered);
}

impl State {
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<Body>, Aborted> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/control") => Ok(self.control(request).await),
            (&Method::GET, "/control/counters") => {
                let counters = self.counters.borrow();
                Ok(mangofront_http::json(StatusCode::OK, &*counters))
            }
            _ => self.call(request).await,
        }
    }

    /// Reads a call to its end, executes it, and responds after the delay.
    async fn call(&self, request: Request<Incoming>) -> Result<Response<Body>, Aborted> {
        let (head, body) = request.into_parts();
        if let Err(error) = mangofront_http::collect(body, BODY_LIMIT_BYTES).await {
            return Ok(refusal(
                StatusCode::BAD_REQUEST,
                "bad_body",
                &error.to_string(),
            ));
        }
        if self.leaving.get() {
            let message = "the service is leaving";
            return Ok(refusal(StatusCode::SERVICE_UNAVAILABLE, "leaving", message));
        }
        if self.break_before_run.get() {
            return Err(Aborted);
        }
        let key = head.headers.get(headers::IDEMPOTENCY_KEY);
        let executions = self.execute(key.and_then(|key| key.to_str().ok()));
        if self.break_after_run.get() {
            return Err(Aborted);
        }
        self.delay().await;
        if let Some(status) = self.fail_status.get() {
            let error = error(
                "service_failed",
                Outcome::Failed,
                "the service fails by a switch",
            );
            return Ok(error.into_response(status));
        }
        let answer = Executed {
            service: &self.service,
            path: head.uri.path(),
            executions,
        };
        Ok(mangofront_http::json(StatusCode::OK, &answer))
    }

    /// Executes a call by counting it, and returns the number of executions with
    /// its key.
    fn execute(&self, key: Option<&str>) -> u64 {
        let mut counters = self.counters.borrow_mut();
        counters.total += 1;
        let Some(key) = key else { return 1 };
        let runs = counters.by_key.entry(key.to_owned()).or_default();
        *runs += 1;
        *runs
    }

    async fn delay(&self) {
        let delay = compio::time::sleep(self.delay.get());
        select(pin!(delay), pin!(self.shutdown.wait())).await;
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let body = match mangofront_http::collect(request.into_body(), BODY_LIMIT_BYTES).await {
            Ok(body) => body,
            Err(error) => {
                return refusal(StatusCode::BAD_REQUEST, "bad_body", &error.to_string());
            }
        };
        match serde_json::from_slice::<Control>(&body) {
            Ok(control) => self.apply(&control),
            Err(error) => refusal(StatusCode::BAD_REQUEST, "bad_body", &error.to_string()),
        }
    }

    fn apply(&self, control: &Control) -> Response<Body> {
        match control.fail_status {
            None => {}
            Some(0 | 200) => self.fail_status.set(None),
            Some(code) => match StatusCode::from_u16(code) {
                Ok(status) => self.fail_status.set(Some(status)),
                Err(error) => {
                    return refusal(StatusCode::BAD_REQUEST, "bad_status", &error.to_string());
                }
            },
        }
        let delay = control.delay_ms.map(Duration::from_millis);
        self.delay.set(delay.unwrap_or(self.delay.get()));
        let switch = |cell: &Cell<bool>, value: Option<bool>| cell.set(value.unwrap_or(cell.get()));
        switch(&self.break_after_run, control.break_after_run);
        switch(&self.break_before_run, control.break_before_run);
        switch(&self.leaving, control.leaving);
        let mut response = Response::new(mangofront_http::empty());
        *response.status_mut() = StatusCode::NO_CONTENT;
        response
    }
}

fn error(code: &str, outcome: Outcome, message: &str) -> ErrorBody {
    ErrorBody::new(code, outcome, "service stand-in", message)
}

fn refusal(status: StatusCode, code: &str, message: &str) -> Response<Body> {
    error(code, Outcome::NotRun, message).into_response(status)
}
