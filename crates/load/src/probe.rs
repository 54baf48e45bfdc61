//! Single streamed requests to a daemon or straight to an engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mangofront_http::headers;
use mangofront_settings::ids::{ClassName, ModelName, OrganisationId};

use crate::answers::AnswerRule;
use crate::exchange::{Answer, Outgoing};
use crate::scenario::{Endpoint, Scenario};
use crate::schedule::ModelWork;
use crate::text::{TextPool, fresh_salt};

/// Time after which a probe is given up.
const TIME_LIMIT: Duration = Duration::from_secs(300);

/// Priority of a probe at an engine.
const PRIORITY: &str = "0";

/// Size of a short prompt and of its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PromptSize {
    /// Length of the prompt, in tokens; 200 by default: below one prefix block,
    /// so that none is found cached.
    pub length_tokens: u64,
    /// Answer limit, in tokens; 16 by default.
    pub max_tokens: u32,
}

impl PromptSize {
    /// The default, for constants.
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

/// Who a probe is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Destination {
    /// A daemon, as its callers do.
    Daemon(SocketAddr),
    /// An engine, as a daemon does.
    Engine(SocketAddr),
}

/// Makes probes in the name of one caller.
#[derive(Debug, Clone)]
pub struct Prober {
    /// Model asked for.
    pub model: ModelName,
    /// Class sent in.
    pub class: ClassName,
    /// Organisation that sends.
    pub organisation: OrganisationId,
    /// Rule by which engines answer.
    pub rule: AnswerRule,
    /// Text of the prompts.
    pub text_pool: Rc<TextPool>,
}

impl Prober {
    /// Probes in the name of a scenario's largest organisation and first class
    /// of prompts; `None` when the scenario has no prompts.
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

    /// Prompt of a size that shares nothing with others.
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

    /// Request for `work`, whose text comes from `seed`.
    #[must_use]
    pub fn outgoing(&self, to: Destination, work: &ModelWork, seed: u64) -> Outgoing {
        let body = self.text_pool.body(work, seed);
        let expected = self.rule.expected(work.endpoint, &body);
        let (Destination::Daemon(address) | Destination::Engine(address)) = to;
        Outgoing {
            url: format!("http://{address}{}", work.endpoint.path()),
            headers: self.headers(to),
            body,
            answer: Answer::Stream(expected),
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
                // An engine keeps a request's stream for a while: an id used
                // before would name that one.
                named_headers.push((headers::REQUEST_ID, uuid::Uuid::now_v7().to_string()));
                named_headers.push((headers::ATTEMPT, "1".to_owned()));
                named_headers.push((headers::PRIORITY, PRIORITY.to_owned()));
                named_headers.push((headers::DEADLINE_MS, TIME_LIMIT.as_millis().to_string()));
            }
        }
        named_headers
    }
}
