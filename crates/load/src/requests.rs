//! Builds HTTP requests from scheduled arrivals.

use std::cell::Cell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use bytes::Bytes;
use mangofront_http::headers;
use mangofront_settings::ids::ClassName;
use mangofront_settings::published::Class;

use crate::answers::AnswerRule;
use crate::exchange::{ExpectedAnswer, OutgoingRequest};
use crate::scenario::Scenario;
use crate::schedule::{Arrival, ModelWork, ServiceWork, Work};
use crate::text::{TextPool, TextSalt};
use crate::times::scaled;

/// Time that the tool waits beyond the limit of a request's class. The daemon
/// must answer within the limit; the extra time allows for the network.
const CLIENT_GRACE: Duration = Duration::from_secs(5);

/// Time limit of a request whose class is not configured.
const DEFAULT_LIMIT: Duration = Duration::from_secs(60);

/// Builds requests for the targets in round-robin order.
#[derive(Debug)]
pub struct RequestFactory {
    targets: Vec<SocketAddr>,
    next_target_index: Cell<usize>,
    classes: BTreeMap<ClassName, Class>,
    time_scale: f64,
    started_at: Duration,
    text_pool: TextPool,
    rule: AnswerRule,
}

/// Builder of [`RequestFactory`].
#[derive(Debug)]
pub struct RequestFactoryBuilder {
    targets: Vec<SocketAddr>,
    classes: BTreeMap<ClassName, Class>,
    time_scale: f64,
    text_salt: TextSalt,
    rule: AnswerRule,
}

impl RequestFactoryBuilder {
    /// Factor applied to the durations of the scenario; 1 by default.
    #[must_use]
    pub const fn time_scale(mut self, time_scale: f64) -> Self {
        self.time_scale = time_scale;
        self
    }

    /// Salt of the prompt texts; 0 by default.
    #[must_use]
    pub const fn text_salt(mut self, text_salt: TextSalt) -> Self {
        self.text_salt = text_salt;
        self
    }

    /// Rule that defines the engines' answers; the emulated engine's by default.
    #[must_use]
    pub const fn rule(mut self, rule: AnswerRule) -> Self {
        self.rule = rule;
        self
    }

    /// Builds the factory; the timestamps of idempotency keys start from now.
    #[must_use]
    pub fn build(self) -> RequestFactory {
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        RequestFactory {
            targets: self.targets,
            next_target_index: Cell::new(0),
            classes: self.classes,
            time_scale: self.time_scale,
            // A clock before 1970 only gives keys old timestamps.
            started_at: now.unwrap_or_default(),
            text_pool: TextPool::new(self.text_salt),
            rule: self.rule,
        }
    }
}

impl RequestFactory {
    /// Starts a factory for `scenario` and `targets`, which must not be empty.
    #[must_use]
    pub fn builder(scenario: &Scenario, targets: Vec<SocketAddr>) -> RequestFactoryBuilder {
        RequestFactoryBuilder {
            targets,
            classes: scenario.configuration.classes.clone(),
            time_scale: 1.0,
            text_salt: 0,
            rule: AnswerRule::standin(),
        }
    }

    /// Returns the number of target addresses.
    #[must_use]
    pub fn targets(&self) -> usize {
        self.targets.len()
    }

    /// Returns the factor applied to the durations of the scenario.
    #[must_use]
    pub fn time_scale(&self) -> f64 {
        self.time_scale
    }

    /// Returns the salt of the prompt texts.
    #[must_use]
    pub fn text_salt(&self) -> TextSalt {
        self.text_pool.salt()
    }

    /// Builds the request of `arrival` for the next target.
    #[must_use]
    pub fn outgoing(&self, arrival: &Arrival) -> OutgoingRequest {
        match &arrival.work {
            Work::Model(work) => self.model_request(arrival, work),
            Work::Service(work) => self.service_request(arrival, work),
        }
    }

    /// Builds the same service call with the same key for the next target.
    #[must_use]
    pub fn repeat(&self, arrival: &Arrival, first: &OutgoingRequest) -> OutgoingRequest {
        match &arrival.work {
            Work::Model(_) => first.clone(),
            Work::Service(work) => self.service_request(arrival, work),
        }
    }

    /// Returns the idempotency key of a service call: a UUIDv7 with its due time.
    #[must_use]
    pub fn key(&self, arrival: &Arrival) -> String {
        let minted_at = self.started_at + arrival.at;
        let minted_ms = u64::try_from(minted_at.as_millis()).unwrap_or(u64::MAX);
        let mut random = [0; 10];
        random[..8].copy_from_slice(&arrival.seed.to_le_bytes());
        uuid::Builder::from_unix_timestamp_millis(minted_ms, &random)
            .into_uuid()
            .to_string()
    }

    fn model_request(&self, arrival: &Arrival, work: &ModelWork) -> OutgoingRequest {
        let body = self.text_pool.body(work, arrival.seed);
        let expected = self.rule.expected(work.endpoint, &body);
        OutgoingRequest {
            url: format!("http://{}{}", self.next_target(), work.endpoint.path()),
            headers: class_headers(arrival),
            body,
            answer: if work.stream {
                ExpectedAnswer::Stream(expected)
            } else {
                ExpectedAnswer::Json(expected)
            },
            time_limit: self.time_limit(&arrival.class),
        }
    }

    fn service_request(&self, arrival: &Arrival, work: &ServiceWork) -> OutgoingRequest {
        let target = self.next_target();
        let mut call_headers = class_headers(arrival);
        call_headers.push((headers::IDEMPOTENCY_KEY, self.key(arrival)));
        OutgoingRequest {
            url: format!("http://{target}/v1/services/{}/{}", work.service, work.path),
            headers: call_headers,
            body: Bytes::from_static(b"{}"),
            answer: ExpectedAnswer::Service,
            time_limit: self.time_limit(&arrival.class),
        }
    }

    fn next_target(&self) -> SocketAddr {
        let next = self.next_target_index.get();
        self.next_target_index.set((next + 1) % self.targets.len());
        self.targets[next]
    }

    fn time_limit(&self, class: &ClassName) -> Duration {
        let limit = self
            .classes
            .get(class)
            .map_or(DEFAULT_LIMIT, Class::time_limit);
        scaled(limit, self.time_scale) + CLIENT_GRACE
    }
}

fn class_headers(arrival: &Arrival) -> Vec<(&'static str, String)> {
    vec![
        ("content-type", "application/json".to_owned()),
        (headers::CLASS, arrival.class.clone()),
        (headers::ORGANISATION, arrival.organisation.clone()),
    ]
}
