//! Measurements and outcome of one request.

use std::time::Duration;

use mangofront_http::Outcome;
use mangofront_settings::ids::{ClassName, OrganisationId};

/// Measurements of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Class of the request.
    pub class: ClassName,
    /// Organisation that sent it.
    pub organisation: OrganisationId,
    /// Kind of the request.
    pub kind: SampleKind,
    /// Due time, relative to the start of the run.
    pub due: Duration,
    /// Delay between the due time and sending.
    pub lateness: Duration,
    /// Request id that the daemon assigned.
    pub request_id: Option<String>,
    /// Time from sending to the first token.
    pub first_token: Option<Duration>,
    /// Time from sending to the end of the answer.
    pub total: Duration,
    /// Tokens received.
    pub tokens: u32,
    /// How it ended.
    pub end: End,
}

/// Kind of a sampled request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SampleKind {
    /// Prompt for a model.
    Model {
        /// Length of the prompt, in tokens.
        length_tokens: u64,
    },
    /// Call of a service.
    Service {
        /// Idempotency key it was sent with.
        key: String,
        /// Whether it repeats the key of an earlier call.
        repeat: bool,
        /// Number of executions of the key, as the answer reports.
        executions: Option<u64>,
    },
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Complete and correct answer.
    Done,
    /// Typed refusal: the request was not run.
    Refused {
        /// Code of the error.
        code: String,
    },
    /// Error answer or connection failure after the request may have started to run.
    Failed {
        /// Code of the error; the tool itself sets `connection`, `client_timeout` and `untyped`.
        code: String,
        /// Whether the request ran, as far as is known.
        outcome: Outcome,
        /// Step, peer and message of the error.
        message: String,
    },
    /// Answer that differs from the expected one.
    WrongAnswer {
        /// How it differs.
        problem: String,
    },
    /// The generator could not send it.
    GeneratorFailure {
        /// Reason, in snake case.
        cause: &'static str,
    },
}
