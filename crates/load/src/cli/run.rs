//! `mangofront load run`: runs a scenario against daemons.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use super::compare::write_idle_ratio;
use super::{
    CommandError, MAX_NUMBER, MIN_NUMBER, Verdict, addresses, block_on, emit, finish, opt_number,
    read_json, write_file, write_json,
};
use crate::executions;
use crate::generator::generate;
use crate::idle::IdleReport;
use crate::report::{Report, RunMetadata, build, table, write_chart};
use crate::requests::RequestFactory;
use crate::scenario::Scenario;
use crate::schedule::{Plan, Schedule};
use crate::text::{TextSalt, fresh_salt};
use crate::times::scaled;

/// Default seed of the schedule.
const DEFAULT_SEED: u64 = 1;

struct Options {
    targets: Vec<SocketAddr>,
    scenario: Scenario,
    plan: Plan,
    time_scale: f64,
    text_salt: TextSalt,
    services: Vec<SocketAddr>,
    idle: Option<IdleReport>,
    all_done: bool,
    outputs: Outputs,
}

struct Outputs {
    json: Option<String>,
    svg: Option<String>,
    table: bool,
}

pub(super) fn main(mut args: Arguments) -> Result<Verdict, CommandError> {
    let options = read(&mut args)?;
    finish(args)?;
    let report = block_on(run(&options))?;
    write(&report, &options.outputs)?;
    if let Some(idle) = &options.idle {
        emit(|text| write_idle_ratio(text, "this run", &report, idle))?;
    }
    let counted = report.counted_services;
    let executions_consistent = counted.is_none_or(|counted| counted.is_consistent());
    // An answer that reports a second execution already counts as wrong.
    let all_done = report.counts.done == report.counts.requests;
    let passed = executions_consistent && (all_done || !options.all_done);
    Ok(
        match Verdict::from_wrong_answers(report.counts.wrong_answer) {
            Verdict::Pass if passed => Verdict::Pass,
            _ => Verdict::Fail,
        },
    )
}

fn read(args: &mut Arguments) -> Result<Options, CommandError> {
    let targets = args.value_from_fn("--target", addresses)?;
    let scenario = Scenario::load(&args.value_from_str::<_, String>("--scenario")?)?;
    let time_scale = opt_number(args, "--time-scale")?.unwrap_or(1.0);
    let duration_s = opt_number(args, "--duration-s")?.unwrap_or(scenario.duration_s as f64);
    let duration = scaled(Duration::from_secs_f64(duration_s), time_scale);
    let plan = Plan::new(rate(args, &scenario)? / time_scale, duration)
        .seed(args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED))
        .without_long(args.contains("--without-long"));
    let services = args.opt_value_from_fn("--service", addresses)?;
    let text_salt = args.opt_value_from_str("--text-salt")?;
    let idle: Option<String> = args.opt_value_from_str("--idle")?;
    let outputs = Outputs {
        json: args.opt_value_from_str("--json")?,
        svg: args.opt_value_from_str("--svg")?,
        table: args.contains("--table"),
    };
    Ok(Options {
        targets,
        scenario,
        plan,
        time_scale,
        text_salt: text_salt.unwrap_or_else(fresh_salt),
        services: services.unwrap_or_default(),
        idle: idle.as_deref().map(read_json).transpose()?,
        all_done: args.contains("--all-done"),
        outputs,
    })
}

/// Returns the mean arrivals per second of the scenario's time.
fn rate(args: &mut Arguments, scenario: &Scenario) -> Result<f64, CommandError> {
    let factors = scenario.rate_factors;
    let factor: Option<String> = args.opt_value_from_str("--rate-factor")?;
    let factor = match factor.as_deref() {
        None | Some("normal") => factors.normal,
        Some("peak") => factors.peak,
        Some(number) => number
            .parse()
            .ok()
            .filter(|factor| (MIN_NUMBER..=MAX_NUMBER).contains(factor))
            .ok_or(CommandError::OutOfRange("--rate-factor"))?,
    };
    let rate_per_s = opt_number(args, "--rate")?;
    Ok(rate_per_s.unwrap_or(factor * scenario.capacity_per_s))
}

async fn run(options: &Options) -> Result<Report, CommandError> {
    let client = mangofront_http::client()?;
    let Options {
        targets,
        scenario,
        plan,
        time_scale,
        text_salt,
        services,
        ..
    } = options;
    let requests = RequestFactory::builder(scenario, targets.clone())
        .time_scale(*time_scale)
        .text_salt(*text_salt)
        .build();
    let metadata = RunMetadata::new(scenario, *plan, &requests);
    let schedule = Schedule::new(scenario, *plan);
    let record = generate(client.clone(), requests, scenario.concurrency_cap, schedule).await;
    let mut report = build(&metadata, &scenario.configuration, &record);
    if !services.is_empty() {
        let runs = executions::fetch(&client, services).await?;
        report.counted_services = Some(executions::check(&record.samples, &runs));
    }
    Ok(report)
}

fn write(report: &Report, outputs: &Outputs) -> Result<(), CommandError> {
    if let Some(path) = &outputs.json {
        write_json(path, report)?;
    }
    if let Some(path) = &outputs.svg {
        write_file(path, &write_chart(report)?)?;
    }
    if outputs.table || (outputs.json.is_none() && outputs.svg.is_none()) {
        emit(|text| text.write_str(&table(report)))?;
    }
    Ok(())
}
