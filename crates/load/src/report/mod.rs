//! The report of a run, as others read it.
//!
//! Field names are stable and carry their units; `docs/load.md` says what each
//! figure means.

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

/// Version of the report's form.
pub const REPORT_VERSION: u32 = 1;

/// One run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// Version of this form.
    pub report_version: u32,
    /// How the run was made.
    pub run: RunReport,
    /// Requests by their end.
    pub counts: Counts,
    /// The generator's own state.
    pub generator: GeneratorReport,
    /// Prompts by length.
    pub by_length: BTreeMap<LengthBucket, LengthReport>,
    /// Requests by class.
    pub by_class: BTreeMap<ClassName, ClassReport>,
    /// Time between two tokens of a stream.
    pub time_between_tokens: Quantiles,
    /// Work that counts.
    pub goodput: Goodput,
    /// Refusals by code.
    pub refused_by_code: BTreeMap<String, u64>,
    /// Time from sending to the whole refusal.
    pub refusal_answer_time: Quantiles,
    /// Failures by code and outcome.
    pub failed_by_cause: BTreeMap<String, u64>,
    /// Shares of the organisations.
    pub fairness: Fairness,
    /// Calls of services.
    pub services: ServiceReport,
    /// What the services themselves counted, when they were asked.
    pub counted_services: Option<ExecutionCheck>,
    /// First failures.
    pub first_failures: Vec<ProblemReport>,
    /// First wrong answers.
    pub wrong_answers: Vec<ProblemReport>,
}

/// How a run was made.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed of the schedule.
    pub seed: u64,
    /// Salt of the texts.
    pub text_salt: u64,
    /// Number of target addresses.
    pub targets: usize,
    /// Mean arrivals a second, of the wall clock.
    pub rate_per_s: f64,
    /// Factor on the durations of the scenario, its classes' targets included.
    pub time_scale: f64,
    /// Whether prompts over 100 000 tokens were left out.
    pub without_long: bool,
    /// Time during which requests arrived, in milliseconds.
    pub arrivals_ms: f64,
    /// Time to the last answer, in milliseconds.
    pub elapsed_ms: f64,
}

/// Requests by their end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Counts {
    /// All requests of the schedule, and repeats of service calls.
    pub requests: u64,
    /// Whole and right answers.
    pub done: u64,
    /// Refusals that say that nothing ran.
    pub refused: u64,
    /// Failures after the work may have started.
    pub failed: u64,
    /// Wrong, mixed or truncated answers.
    pub wrong_answer: u64,
    /// Requests that the generator did not send.
    pub generator_failure: u64,
}

/// The generator's own state.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct GeneratorReport {
    /// Time by which requests were sent later than due.
    pub lateness: Quantiles,
    /// Most requests under way at once.
    pub in_flight_max: usize,
}

/// Prompts of one length bucket.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct LengthReport {
    /// Prompts sent or due.
    pub counts: Counts,
    /// Time to first token of the prompts that got one.
    pub time_to_first_token: Quantiles,
}

/// Requests of one class.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct ClassReport {
    /// Target for the start of the answer, of the wall clock, in milliseconds.
    pub target_ms: f64,
    /// Limit for its end, of the wall clock, in milliseconds.
    pub limit_ms: f64,
    /// Requests sent or due.
    pub counts: Counts,
    /// Time to first token of the requests that got one.
    pub time_to_first_token: Quantiles,
    /// Time to the end of the whole answers.
    pub total: Quantiles,
    /// Share of the admitted whose first token (or whole answer, where there is
    /// no stream) came within the target.
    pub target_met_share: f64,
    /// Share of the admitted that were done within the limit.
    pub limit_met_share: f64,
}

/// Requests done within their class's limit and before the last arrival was
/// due, by the time during which requests arrived.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Goodput {
    /// Such requests a second.
    pub requests_per_s: f64,
    /// Their answers' tokens a second.
    pub tokens_per_s: f64,
}

/// Shares of the organisations.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct Fairness {
    /// Jain's index of the served shares: 1 is even, 1/n is one for all.
    pub jain_index: f64,
    /// Each organisation.
    pub organisations: BTreeMap<OrganisationId, Served>,
}

/// What one organisation got.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize, Deserialize)]
pub struct Served {
    /// Requests sent.
    pub offered: u64,
    /// Requests done.
    pub done: u64,
    /// Done by offered.
    pub share: f64,
}

/// Calls of services.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Distinct idempotency keys.
    pub keys: u64,
    /// Calls sent a second time with the same key.
    pub repeats: u64,
    /// Keys that ran more than once, by an answer.
    pub duplicates: u64,
    /// Calls answered with outcome unknown.
    pub unknown: u64,
    /// Calls refused.
    pub not_run: u64,
}

/// One failure or wrong answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProblemReport {
    /// Id that the daemon gave it.
    pub request_id: Option<String>,
    /// What went wrong.
    pub problem: String,
}
