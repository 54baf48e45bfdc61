//! `mangofront load idle`: measures an idle engine.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use super::{
    CommandError, Verdict, block_on, emit, finish, opt_number, opt_positive_integer, prober,
    write_json,
};
use crate::idle::{IdlePlan, IdleReport, measure};
use crate::probe::Destination;
use crate::scenario::Scenario;

pub(super) fn main(mut args: Arguments) -> Result<Verdict, CommandError> {
    let engine: SocketAddr = args.value_from_str("--direct")?;
    let mut plan = IdlePlan::new(Destination::Engine(engine));
    if let Some(limit_s) = opt_number(&mut args, "--bucket-limit-s")? {
        plan = plan.bucket_limit(Duration::from_secs_f64(limit_s));
    }
    if let Some(per_bucket) = opt_positive_integer(&mut args, "--per-bucket")? {
        plan = plan.per_bucket(per_bucket);
    }
    if let Some(seed) = args.opt_value_from_str("--seed")? {
        plan = plan.seed(seed);
    }
    let scenario = super::scenario(&mut args)?;
    let json: Option<String> = args.opt_value_from_str("--json")?;
    finish(args)?;
    let report = block_on(run(&scenario, plan))?;
    emit(|text| write(text, &report))?;
    if let Some(path) = &json {
        write_json(path, &report)?;
    }
    Ok(Verdict::Pass)
}

async fn run(scenario: &Scenario, plan: IdlePlan) -> Result<IdleReport, CommandError> {
    let client = mangofront_http::client()?;
    Ok(measure(&client, &prober(scenario)?, scenario, plan).await)
}

fn write(text: &mut String, report: &IdleReport) -> std::fmt::Result {
    writeln!(
        text,
        "{:<14}{:>7}{:>9}{:>8}{:>11}{:>11}{:>11}",
        "idle engine", "count", "refused", "failed", "p50 ms", "p95 ms", "p99 ms"
    )?;
    for (bucket, length) in &report.by_length {
        let times = &length.time_to_first_token;
        writeln!(
            text,
            "{:<14}{:>7}{:>9}{:>8}{:>11.2}{:>11.2}{:>11.2}",
            bucket.name(),
            times.count,
            length.refused,
            length.failed,
            times.p50_ms,
            times.p95_ms,
            times.p99_ms,
        )?;
        if let Some(problem) = &length.first_problem {
            writeln!(text, "  first problem: {problem}")?;
        }
    }
    Ok(())
}
