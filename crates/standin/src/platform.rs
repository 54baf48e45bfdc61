//! Emulator of the platform, which serves a configuration and an instance list
//! with revisions, to reads and watches.
//!
//! Published values are opaque bytes and not validated, as daemons are tested
//! with invalid ones. The faults of the service itself (down, stale, watches that
//! hang, lag) are switches of `POST /control`, see `docs/interfaces.md`.

mod answers;
mod published;
mod rate;

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use mangofront_http::{Body, ServeLimits, Shutdown};
use serde::{Deserialize, Serialize};

use answers::{document, down, error, refusal, status};
use published::Published;
use rate::RateLimit;

/// Maximum size of a published value, in bytes. Above the limit of the real
/// platform, so that tests can publish a value that is too large.
const PUBLISH_LIMIT_BYTES: usize = 4 * 1024 * 1024;

/// Settings of the platform emulator.
#[derive(Debug, Clone, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformSettings {
    /// Configuration published at start; none by default.
    pub configuration: Option<serde_json::Value>,
    /// Instance list published at start; none by default.
    pub instances: Option<serde_json::Value>,
    /// Revision of the first published value; 1 by default.
    pub first_revision: u64,
    /// Calls served per second, beyond which the status is 429; 2000 by default.
    pub reads_per_s: u32,
    /// Maximum wait of a watch, in milliseconds; 60000 by default.
    pub wait_limit_ms: u64,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            configuration: None,
            instances: None,
            first_revision: 1,
            reads_per_s: 2000,
            wait_limit_ms: 60_000,
        }
    }
}

/// Body of `POST /control`; absent fields leave their switches unchanged.
#[derive(Debug, Default, Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Control {
    down: Option<bool>,
    stale: Option<bool>,
    hang_watches: Option<bool>,
    lag_ms: Option<u64>,
    instances_lag_ms: Option<u64>,
}

/// Current state of the switches.
#[derive(Debug, Default)]
struct Switches {
    down: Cell<bool>,
    stale: Cell<bool>,
    hang_watches: Cell<bool>,
}

/// Numbers of calls so far; a watch counts once, however long it waits.
#[derive(Debug, Default, Serialize)]
struct Counters {
    reads: u64,
    watches: u64,
}

/// Query parameters of a read or, with `wait_ms`, of a watch.
#[derive(Debug, Default, Clone, Copy)]
struct Query {
    after: Option<u64>,
    wait_ms: u64,
}

struct State {
    configuration: RefCell<Published>,
    instances: RefCell<Published>,
    switches: Switches,
    counters: RefCell<Counters>,
    rate: RateLimit,
    wait_limit_ms: u64,
    shutdown: Shutdown,
}

/// Serves the platform on `listener` until `shutdown`.
pub async fn run(
    listener: compio::net::TcpListener,
    settings: PlatformSettings,
    shutdown: Shutdown,
) {
    let state = Rc::new(State::new(&settings, shutdown.clone()));
    let handler = move |request, _peer| {
        let state = Rc::clone(&state);
        async move { state.handle(request).await }
    };
    mangofront_http::serve(listener, ServeLimits::default(), handler, shutdown).await;
}

impl State {
    fn new(settings: &PlatformSettings, shutdown: Shutdown) -> Self {
        let published = |value: &Option<serde_json::Value>| {
            let first = value.as_ref().map(|value| Bytes::from(value.to_string()));
            RefCell::new(Published::new(settings.first_revision, first))
        };
        Self {
            configuration: published(&settings.configuration),
            instances: published(&settings.instances),
            switches: Switches::default(),
            counters: RefCell::default(),
            rate: RateLimit::new(settings.reads_per_s),
            wait_limit_ms: settings.wait_limit_ms,
            shutdown,
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Body> {
        let path = request.uri().path().to_owned();
        match (request.method(), path.as_str()) {
            (&Method::GET, "/v1/configuration") => self.read(&self.configuration, &request).await,
            (&Method::GET, "/v1/instances") => self.read(&self.instances, &request).await,
            (&Method::PUT, "/control/configuration") => publish(&self.configuration, request).await,
            (&Method::PUT, "/control/instances") => publish(&self.instances, request).await,
            (&Method::POST, "/control") => self.control(request).await,
            (&Method::GET, "/control/counters") => {
                mangofront_http::json(StatusCode::OK, &*self.counters.borrow())
            }
            _ => refusal(StatusCode::NOT_FOUND, "unknown_path", "no such path"),
        }
    }

    /// Counts and serves a read or watch.
    async fn read(
        &self,
        published: &RefCell<Published>,
        request: &Request<Incoming>,
    ) -> Response<Body> {
        let Some(query) = parse_query(request.uri().query().unwrap_or_default()) else {
            return refusal(
                StatusCode::BAD_REQUEST,
                "bad_query",
                "unknown or malformed query",
            );
        };
        self.count(query);
        if !self.rate.try_take(Instant::now()) {
            let error = error("rate_limited", "too many reads").retry_after(rate::WINDOW);
            return error.into_response(StatusCode::TOO_MANY_REQUESTS);
        }
        let wait = Duration::from_millis(query.wait_ms.min(self.wait_limit_ms));
        match select(
            pin!(self.value_after(published, query.after, wait)),
            pin!(self.shutdown.wait()),
        )
        .await
        {
            Either::Left((answer, _)) => answer,
            Either::Right(_) => down(),
        }
    }

    fn count(&self, query: Query) {
        let mut counters = self.counters.borrow_mut();
        if query.wait_ms > 0 {
            counters.watches += 1;
        } else {
            counters.reads += 1;
        }
    }

    /// Responds with the value once its revision differs from `after`, or with 204
    /// after `wait`.
    async fn value_after(
        &self,
        published: &RefCell<Published>,
        after: Option<u64>,
        wait: Duration,
    ) -> Response<Body> {
        let deadline = Instant::now() + wait;
        loop {
            if !wait.is_zero() && self.switches.hang_watches.get() {
                return std::future::pending().await;
            }
            if self.switches.down.get() {
                return down();
            }
            let now = Instant::now();
            let visible = published.borrow().visible(now, self.switches.stale.get());
            match visible {
                Some(visible) if after != Some(visible.revision) => return document(&visible),
                None if after.is_none() => {
                    return refusal(StatusCode::NOT_FOUND, "not_published", "no value yet");
                }
                Some(_) | None => {}
            }
            if now >= deadline {
                return status(StatusCode::NO_CONTENT);
            }
            let (change, next_visible_at) = {
                let mut published = published.borrow_mut();
                (published.changed(), published.next_visible(now))
            };
            let wake_at = next_visible_at.map_or(deadline, |next| next.min(deadline));
            let remaining = wake_at.saturating_duration_since(now);
            // The loop checks again after a change, when a value becomes visible
            // and at the end of the wait.
            let _ = compio::time::timeout(remaining, change).await;
        }
    }

    async fn control(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = mangofront_http::collect(request.into_body(), PUBLISH_LIMIT_BYTES).await
        else {
            return refusal(
                StatusCode::BAD_REQUEST,
                "bad_body",
                "body was not read whole",
            );
        };
        let control = match serde_json::from_slice::<Control>(&body) {
            Ok(control) => control,
            Err(error) => {
                return refusal(StatusCode::BAD_REQUEST, "bad_body", &error.to_string());
            }
        };
        self.apply(&control);
        status(StatusCode::NO_CONTENT)
    }

    fn apply(&self, control: &Control) {
        let switch = |cell: &Cell<bool>, value: Option<bool>| cell.set(value.unwrap_or(cell.get()));
        switch(&self.switches.down, control.down);
        switch(&self.switches.stale, control.stale);
        switch(&self.switches.hang_watches, control.hang_watches);
        let mut configuration = self.configuration.borrow_mut();
        configuration.set_lag(control.lag_ms.map(Duration::from_millis));
        let mut instances = self.instances.borrow_mut();
        instances.set_lag(control.instances_lag_ms.map(Duration::from_millis));
    }
}

async fn publish(published: &RefCell<Published>, request: Request<Incoming>) -> Response<Body> {
    match mangofront_http::collect(request.into_body(), PUBLISH_LIMIT_BYTES).await {
        Ok(value) => {
            let revision = published.borrow_mut().publish(value, Instant::now());
            let answer = serde_json::json!({ "revision": revision });
            mangofront_http::json(StatusCode::OK, &answer)
        }
        Err(error) => refusal(
            StatusCode::PAYLOAD_TOO_LARGE,
            "too_large",
            &error.to_string(),
        ),
    }
}

fn parse_query(text: &str) -> Option<Query> {
    let mut query = Query::default();
    for pair in text.split('&').filter(|pair| !pair.is_empty()) {
        let (name, value) = pair.split_once('=')?;
        match name {
            "after" => query.after = Some(value.parse().ok()?),
            "wait_ms" => query.wait_ms = value.parse().ok()?,
            _ => return None,
        }
    }
    Some(query)
}
