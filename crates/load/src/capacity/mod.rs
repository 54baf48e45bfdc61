//! Search for the highest sustainable rate of short streamed requests.
//!
//! The rate grows step by step until a step fails. A step passes when its
//! answers are correct and in time; a step in which the generator itself was
//! late is not evidence about the target and ends the search.

mod plan;

use cyper::Client;
use serde::{Deserialize, Serialize};

pub use plan::CapacityPlan;

use crate::generator::{RunRecord, generate};
use crate::process::{Usage, UsageError, UsageReport};
use crate::report::{Counts, GeneratorReport, Report, RunMetadata, build};
use crate::requests::RequestFactory;
use crate::scenario::{Endpoint, Kind, LengthRange, ModelKind, Scenario};
use crate::schedule::{Plan, Schedule};
use crate::text::fresh_salt;
use crate::times::{LatencyHistogram, Quantiles};

/// Maximum share of refused and failed requests in a step that passes.
const MAX_ERROR_SHARE: f64 = 0.001;

/// Maximum lateness of the generator at p99 in a valid step, in milliseconds.
const MAX_LATENESS_MS: f64 = 20.0;

/// Result of the search.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct CapacityReport {
    /// Highest rate that passed, in requests per second; 0 when the first step
    /// failed.
    pub held_rate_per_s: f64,
    /// Result of the last step, which ended the search.
    pub ended: StepEnd,
    /// All steps, including the one that failed.
    pub steps: Vec<StepReport>,
}

/// Measurements of one step.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct StepReport {
    /// Mean arrivals per second.
    pub rate_per_s: f64,
    /// Correct answers per second, over the time to the last answer.
    pub done_per_s: f64,
    /// Requests by outcome.
    pub counts: Counts,
    /// Time to first token.
    pub time_to_first_token: Quantiles,
    /// Time to the end of the answer.
    pub total: Quantiles,
    /// Measurements of the generator itself.
    pub generator: GeneratorReport,
    /// Resource usage of the process, when one was specified.
    pub usage: Option<UsageReport>,
    /// Result of the step.
    pub end: StepEnd,
}

/// Result of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StepEnd {
    /// The step passed.
    Held,
    /// Too many refusals or failures.
    Errors,
    /// At least one answer was wrong.
    WrongAnswer,
    /// The time to first token at p99 was above the limit.
    Slow,
    /// The number of requests in flight reached the limit, as answers take too
    /// long for the rate.
    ConcurrencyCap,
    /// The generator sent requests too late.
    GeneratorSaturated,
}

/// Runs the search.
///
/// # Errors
/// [`UsageError`] when the usage of the specified process can't be read.
pub async fn search(
    client: &Client,
    base: &Scenario,
    plan: &CapacityPlan,
) -> Result<CapacityReport, UsageError> {
    let scenario = short_requests(base, plan);
    let mut report = CapacityReport {
        held_rate_per_s: 0.0,
        ended: StepEnd::Held,
        steps: Vec::new(),
    };
    let mut rate_per_s = plan.first_rate_per_s;
    for step in 0..plan.steps_cap {
        let result = run_step(client, &scenario, plan, rate_per_s, step).await?;
        report.ended = result.end;
        report.steps.push(result);
        if report.ended != StepEnd::Held {
            break;
        }
        report.held_rate_per_s = rate_per_s;
        rate_per_s *= plan.growth;
    }
    Ok(report)
}

/// Returns a copy of `base` that has only short streamed prompts.
fn short_requests(base: &Scenario, plan: &CapacityPlan) -> Scenario {
    let mut scenario = base.clone();
    scenario.request_cap = usize::MAX;
    scenario.concurrency_cap = plan.concurrency_cap;
    scenario.histories_per_organisation = 0;
    scenario.mix = base
        .first_model()
        .map(|first| {
            Kind::Model(ModelKind {
                endpoint: Endpoint::Completions,
                stream: true,
                share: 1.0,
                shared_prefix_share: 0.0,
                max_tokens: [plan.prompt_size.max_tokens; 2],
                lengths: vec![LengthRange {
                    from_tokens: plan.prompt_size.length_tokens,
                    to_tokens: plan.prompt_size.length_tokens,
                    weight: 1.0,
                }],
                ..first.clone()
            })
        })
        .into_iter()
        .collect();
    scenario
}

async fn run_step(
    client: &Client,
    scenario: &Scenario,
    plan: &CapacityPlan,
    rate_per_s: f64,
    step: u64,
) -> Result<StepReport, UsageError> {
    // Each step has its own seed, as a repeated prompt would be cached.
    let schedule_plan = Plan::new(rate_per_s, plan.step).seed(step + 1);
    let requests = RequestFactory::builder(scenario, plan.targets.clone())
        .text_salt(fresh_salt())
        .rule(plan.rule)
        .build();
    let metadata = RunMetadata::new(scenario, schedule_plan, &requests);
    let before = plan.pid.map(Usage::read).transpose()?;
    let arrivals = Schedule::new(scenario, schedule_plan);
    let cap = scenario.concurrency_cap;
    let record = generate(client.clone(), requests, cap, arrivals).await;
    let after = plan.pid.map(Usage::read).transpose()?;
    let usage = before
        .zip(after)
        .map(|(before, after)| after.since(&before, record.elapsed));
    let report = build(&metadata, &scenario.configuration, &record);
    Ok(step_report(plan, rate_per_s, report, &record, usage))
}

fn step_report(
    plan: &CapacityPlan,
    rate_per_s: f64,
    report: Report,
    record: &RunRecord,
    usage: Option<UsageReport>,
) -> StepReport {
    let first_tokens: LatencyHistogram = record
        .samples
        .iter()
        .filter_map(|s| s.first_token)
        .collect();
    let totals: LatencyHistogram = record.samples.iter().map(|s| s.total).collect();
    let mut step = StepReport {
        rate_per_s,
        done_per_s: report.counts.done as f64 / record.elapsed.as_secs_f64(),
        counts: report.counts,
        time_to_first_token: first_tokens.quantiles(),
        total: totals.quantiles(),
        generator: report.generator,
        usage,
        end: StepEnd::Held,
    };
    step.end = step_end(&step, plan.first_token_limit_ms);
    step
}

fn step_end(step: &StepReport, first_token_limit_ms: f64) -> StepEnd {
    let Counts {
        requests,
        refused,
        failed,
        wrong_answer,
        generator_failure,
        ..
    } = step.counts;
    let error_share = (refused + failed) as f64 / requests.max(1) as f64;
    if wrong_answer > 0 {
        StepEnd::WrongAnswer
    } else if error_share > MAX_ERROR_SHARE {
        StepEnd::Errors
    } else if step.generator.lateness.p99_ms > MAX_LATENESS_MS {
        StepEnd::GeneratorSaturated
    } else if generator_failure > 0 {
        StepEnd::ConcurrencyCap
    } else if step.time_to_first_token.p99_ms > first_token_limit_ms {
        StepEnd::Slow
    } else {
        StepEnd::Held
    }
}
