//! What one request of a run came to.

use std::time::Duration;

use mangofront_http::Outcome;
use mangofront_settings::ids::{ClassName, OrganisationId};

/// Measurements of one request.
#[derive(Debug, Clone)]
pub struct Sample {
    /// Class it was sent in.
    pub class: ClassName,
    /// Organisation that sent it.
    pub organisation: OrganisationId,
    /// What was asked for.
    pub kind: SampleKind,
    /// Time after the run's start at which it was due.
    pub due: Duration,
    /// Time by which it was sent later than due.
    pub lateness: Duration,
    /// Id that the daemon gave it.
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

/// What a sample asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SampleKind {
    /// Prompt of a length, in tokens.
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
        /// How often the key ran, by the answer.
        executions: Option<u64>,
    },
}

/// How a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// Whole and right answer.
    Done,
    /// Typed refusal: the work was not run.
    Refused {
        /// Code of the error.
        code: String,
    },
    /// Error answer or broken connection after the work may have started.
    Failed {
        /// Code of the error; `connection` and `client_timeout` are the tool's own.
        code: String,
        /// What is known of the work.
        outcome: Outcome,
        /// Step, peer and sentence of the error.
        message: String,
    },
    /// Answer that differs from the expected one.
    WrongAnswer {
        /// How it differs.
        problem: String,
    },
    /// The generator could not send it.
    GeneratorFailure {
        /// Why not, in snake case.
        cause: &'static str,
    },
}
