//! `mangofront load capacity`: searches for the highest sustainable rate.

use std::fmt::Write;
use std::time::Duration;

use pico_args::Arguments;

use super::{
    CommandError, Verdict, addresses, block_on, emit, finish, opt_number, opt_positive_integer,
    prompt_size, usage_line, write_json,
};
use crate::capacity::{CapacityPlan, CapacityReport, StepEnd, StepReport, search};
use crate::scenario::Scenario;

pub(super) fn main(mut args: Arguments) -> Result<Verdict, CommandError> {
    let plan = read(&mut args)?;
    let scenario = super::scenario(&mut args)?;
    let json: Option<String> = args.opt_value_from_str("--json")?;
    finish(args)?;
    let report = block_on(run(&scenario, &plan))?;
    emit(|text| write(text, &report))?;
    if let Some(path) = &json {
        write_json(path, &report)?;
    }
    let wrong = report.steps.iter().map(|step| step.counts.wrong_answer);
    Ok(Verdict::from_wrong_answers(wrong.sum()))
}

fn read(args: &mut Arguments) -> Result<CapacityPlan, CommandError> {
    let targets = args.value_from_fn("--target", addresses)?;
    let mut plan = CapacityPlan::new(targets).pid(args.opt_value_from_str("--pid")?);
    if let Some(rate_per_s) = opt_number(args, "--rate")? {
        plan = plan.first_rate_per_s(rate_per_s);
    }
    if let Some(growth) = opt_number(args, "--growth")? {
        if growth <= 1.0 {
            return Err(CommandError::GrowthTooSmall);
        }
        plan = plan.growth(growth);
    }
    if let Some(step_s) = opt_number(args, "--step-s")? {
        plan = plan.step(Duration::from_secs_f64(step_s));
    }
    if let Some(steps_cap) = opt_positive_integer(args, "--steps")? {
        plan = plan.steps_cap(steps_cap);
    }
    if let Some(limit_ms) = opt_number(args, "--p99-ms")? {
        plan = plan.first_token_limit_ms(limit_ms);
    }
    if let Some(cap) = opt_positive_integer(args, "--concurrency-cap")? {
        plan = plan.concurrency_cap(cap);
    }
    Ok(plan.prompt_size(prompt_size(args)?))
}

async fn run(scenario: &Scenario, plan: &CapacityPlan) -> Result<CapacityReport, CommandError> {
    let client = mangofront_http::client()?;
    Ok(search(&client, scenario, plan).await?)
}

fn write(text: &mut String, report: &CapacityReport) -> std::fmt::Result {
    writeln!(
        text,
        "{:>9}{:>9}{:>9}{:>9}{:>9}{:>8}{:>8}{:>8}{:>12}  {:<20}usage",
        "rate/s",
        "done/s",
        "p50 ms",
        "p95 ms",
        "p99 ms",
        "refused",
        "failed",
        "wrong",
        "late p99 ms",
        "judgement",
    )?;
    for step in &report.steps {
        write_step(text, step)?;
    }
    writeln!(
        text,
        "highest rate held: {:.1} requests/s (search ended: {})",
        report.held_rate_per_s,
        step_end_name(report.ended),
    )
}

fn write_step(text: &mut String, step: &StepReport) -> std::fmt::Result {
    let times = &step.time_to_first_token;
    writeln!(
        text,
        "{:>9.1}{:>9.1}{:>9.2}{:>9.2}{:>9.2}{:>8}{:>8}{:>8}{:>12.2}  {:<20}{}",
        step.rate_per_s,
        step.done_per_s,
        times.p50_ms,
        times.p95_ms,
        times.p99_ms,
        step.counts.refused,
        step.counts.failed,
        step.counts.wrong_answer,
        step.generator.lateness.p99_ms,
        step_end_name(step.end),
        step.usage.as_ref().map(usage_line).unwrap_or_default(),
    )
}

const fn step_end_name(end: StepEnd) -> &'static str {
    match end {
        StepEnd::Held => "held",
        StepEnd::Errors => "errors",
        StepEnd::WrongAnswer => "wrong answer",
        StepEnd::Slow => "slow",
        StepEnd::ConcurrencyCap => "too many at once",
        StepEnd::GeneratorSaturated => "generator saturated",
    }
}
