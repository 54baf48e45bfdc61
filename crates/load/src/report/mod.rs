//! Serialised report of a run.
//!
//! Field names are stable and include their units; `docs/load.md` defines each
//! field.

mod build;
mod chart;
mod metadata;
mod rounding;
mod shares;
mod table;

use std::collections::BTreeMap;

use mangofront_settings::ids::{ClassName, OrganisationId};
use serde::{Deserialize, Serialize};

pub use build::build;
pub use chart::{ChartError, write_chart};
pub use mangofront_prompt::LengthBucket;
pub use metadata::RunMetadata;
pub use table::table;

use crate::executions::ExecutionCheck;
use crate::times::Quantiles;

/// Version of the report format.
pub const REPORT_VERSION: u32 = 1;

/// Report of one run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Version of the report format.
    pub report_version: u32,
    /// Parameters of the run.
    pub run: RunReport,
    /// Requests by outcome.
    pub counts: Counts,
    /// Measurements of the generator itself.
    pub generator: GeneratorReport,
    /// Prompts by length.
    pub by_length: BTreeMap<LengthBucket, LengthReport>,
    /// Requests by class.
    pub by_class: BTreeMap<ClassName, ClassReport>,
    /// Time between consecutive tokens of a stream.
    pub time_between_tokens: Quantiles,
    /// Rate of requests and tokens that completed within their limits.
    pub goodput: Goodput,
    /// Refusals by code.
    pub refused_by_code: BTreeMap<String, u64>,
    /// Time from sending to the complete refusal.
    pub refusal_answer_time: Quantiles,
    /// Failures by code and outcome.
    pub failed_by_cause: BTreeMap<String, u64>,
    /// Distribution of completed requests over the organisations.
    pub fairness: Fairness,
    /// Calls of services.
    pub services: ServiceReport,
    /// Executions that the services counted, when they were queried.
    pub counted_services: Option<ExecutionCheck>,
    /// First failures.
    pub first_failures: Vec<ProblemReport>,
    /// First wrong answers.
    pub wrong_answers: Vec<ProblemReport>,
}

/// Parameters of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the schedule.
    pub seed: u64,
    /// Salt of the prompt texts.
    pub text_salt: u64,
    /// Number of target addresses.
    pub targets: usize,
    /// Mean arrivals per second of wall-clock time.
    pub rate_per_s: f64,
    /// Factor applied to the durations of the scenario, including its classes'
    /// targets.
    pub time_scale: f64,
    /// Whether prompts over 100 000 tokens were excluded.
    pub without_long: bool,
    /// Time during which requests arrived, in milliseconds.
    pub arrivals_ms: f64,
    /// Time from the start to the last answer, in milliseconds.
    pub elapsed_ms: f64,
}

/// Requests by outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// All requests of the schedule, and repeats of service calls.
    pub requests: u64,
    /// Complete and correct answers.
    pub done: u64,
    /// Refusals, whose requests were not run.
    pub refused: u64,
    /// Failures after the request may have started to run.
    pub failed: u64,
    /// Wrong, mixed or truncated answers.
    pub wrong_answer: u64,
    /// Requests that the generator did not send.
    pub generator_failure: u64,
}

/// Measurements of the generator itself.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct GeneratorReport {
    /// Delay between due time and sending.
    pub lateness: Quantiles,
    /// Maximum number of requests in flight.
    pub in_flight_max: usize,
}

/// Prompts of one length bucket.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LengthReport {
    /// Prompts by outcome.
    pub counts: Counts,
    /// Time to first token of the prompts that got one.
    pub time_to_first_token: Quantiles,
}

/// Requests of one class.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ClassReport {
    /// Target for the start of the answer, in milliseconds of wall-clock time.
    pub target_ms: f64,
    /// Limit for the end of the answer, in milliseconds of wall-clock time.
    pub limit_ms: f64,
    /// Requests by outcome.
    pub counts: Counts,
    /// Time to first token of the requests that got one.
    pub time_to_first_token: Quantiles,
    /// Time to the end of the complete answers.
    pub total: Quantiles,
    /// Share of the admitted requests whose first token (or complete answer,
    /// without a stream) arrived within the target.
    pub target_met_share: f64,
    /// Share of the admitted requests that were done within the limit.
    pub limit_met_share: f64,
}

/// Rate of requests done within their class's limit and within the duration of
/// the arrivals.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Goodput {
    /// Requests per second.
    pub requests_per_s: f64,
    /// Answer tokens of these requests per second.
    pub tokens_per_s: f64,
}

/// Distribution of completed requests over the organisations.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fairness {
    /// Jain's fairness index of the served shares: 1 when all are equal, 1/n when
    /// one of n organisations gets everything.
    pub jain_index: f64,
    /// Requests and share of each organisation.
    pub organisations: BTreeMap<OrganisationId, OrganisationShare>,
}

/// Requests of one organisation.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct OrganisationShare {
    /// Requests sent.
    pub offered: u64,
    /// Requests done.
    pub done: u64,
    /// `done` divided by `offered`.
    pub share: f64,
}

/// Calls of services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Distinct idempotency keys.
    pub keys: u64,
    /// Calls sent a second time with the same key.
    pub repeats: u64,
    /// Keys that were executed more than once, as an answer reports.
    pub duplicates: u64,
    /// Calls answered with outcome unknown.
    pub unknown: u64,
    /// Calls refused.
    pub not_run: u64,
}

/// One failure or wrong answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemReport {
    /// Request id that the daemon assigned.
    pub request_id: Option<String>,
    /// Description of the problem.
    pub problem: String,
}
