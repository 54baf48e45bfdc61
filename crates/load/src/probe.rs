//! Single streamed requests to a daemon or directly to an engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mangofront_http::headers;
use mangofront_settings::ids::{ClassName, ModelName, OrganisationId};

use crate::answers::AnswerRule;
use crate::exchange::{ExpectedAnswer, OutgoingRequest};
use crate::scenario::{Endpoint, Scenario};
use crate::schedule::ModelWork;
use crate::text::{TextPool, fresh_salt};

/// Time limit of a probe.
const TIME_LIMIT: Duration = Duration::from_secs(300);

/// Priority header of a probe to an engine.
const PRIORITY: &str = "0";

/// Length of a probe's prompt and answer limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSize {
    /// Length of the prompt, in tokens; 200 by default, which is below one prefix
    /// block, so that no part of it is cached.
    pub length_tokens: u64,
    /// Answer limit, in tokens; 16 by default.
    pub max_tokens: u32,
}

impl PromptSize {
    /// Default size, as a constant.
    pub const SHORT: Self = Self {
        length_tokens: 200,
        max_tokens: 16,
    };
}

impl Default for PromptSize {
    fn default() -> Self {
        Self::SHORT
    }
}

/// Recipient of a probe.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// A daemon, with the headers of a caller.
    Daemon(SocketAddr),
    /// An engine, with the headers of a daemon.
    Engine(SocketAddr),
}

/// Builds probes on behalf of one caller.
#[derive(Debug, Clone)]
pub struct Prober {
    /// Requested model.
    pub model: ModelName,
    /// Class of the probes.
    pub class: ClassName,
    /// Organisation of the caller.
    pub organisation: OrganisationId,
    /// Rule that defines the engines' answers.
    pub rule: AnswerRule,
    /// Pool of the prompts' text.
    pub text_pool: Rc<TextPool>,
}

impl Prober {
    /// Creates a prober for a scenario's largest organisation and first class of
    /// prompts; `None` when the scenario has no prompts.
    #[must_use]
    pub fn for_scenario(scenario: &Scenario, rule: AnswerRule) -> Option<Self> {
        let first = scenario.first_model()?;
        Some(Self {
            model: first.model.clone(),
            class: first.class.clone(),
            organisation: scenario.organisations.first()?.clone(),
            rule,
            text_pool: Rc::new(TextPool::new(fresh_salt())),
        })
    }

    /// Returns a prompt of this size without a shared prefix.
    #[must_use]
    pub fn work(&self, size: PromptSize) -> ModelWork {
        ModelWork {
            model: self.model.clone(),
            endpoint: Endpoint::Completions,
            stream: true,
            max_tokens: size.max_tokens,
            length_tokens: size.length_tokens,
            history: None,
        }
    }

    /// Builds the request for `work`, whose text is determined by `seed`.
    #[must_use]
    pub fn outgoing(&self, to: Destination, work: &ModelWork, seed: u64) -> OutgoingRequest {
        let body = self.text_pool.body(work, seed);
        let expected = self.rule.expected(work.endpoint, &body);
        let (Destination::Daemon(address) | Destination::Engine(address)) = to;
        OutgoingRequest {
            url: format!("http://{address}{}", work.endpoint.path()),
            headers: self.headers(to),
            body,
            answer: ExpectedAnswer::Stream(expected),
            time_limit: TIME_LIMIT,
        }
    }

    fn headers(&self, to: Destination) -> Vec<(&'static str, String)> {
        let mut named_headers = vec![("content-type", "application/json".to_owned())];
        match to {
            Destination::Daemon(_) => {
                named_headers.push((headers::CLASS, self.class.clone()));
                named_headers.push((headers::ORGANISATION, self.organisation.clone()));
            }
            Destination::Engine(_) => {
                // An engine keeps the stream of a request for a while, so a reused
                // id would refer to the earlier request.
                named_headers.push((headers::REQUEST_ID, uuid::Uuid::now_v7().to_string()));
                named_headers.push((headers::ATTEMPT, "1".to_owned()));
                named_headers.push((headers::PRIORITY, PRIORITY.to_owned()));
                named_headers.push((headers::DEADLINE_MS, TIME_LIMIT.as_millis().to_string()));
            }
        }
        named_headers
    }
}
