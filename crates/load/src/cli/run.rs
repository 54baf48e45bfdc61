//! `mangofront load run`: a scenario against daemons.

use std::net::SocketAddr;
use std::time::Duration;

use pico_args::Arguments;

use super::{CommandError, Verdict, addresses, block_on, finish, positive, write_file, write_json};
use crate::answers::AnswerRule;
use crate::generator::generate;
use crate::report::{Report, RunFacts, build, table, write_chart};
use crate::requests::Requests;
use crate::scenario::Scenario;
use crate::schedule::{Plan, Schedule};

/// Seed of a run that names none.
const DEFAULT_SEED: u64 = 1;

struct Options {
    targets: Vec<SocketAddr>,
    scenario: Scenario,
    plan: Plan,
    time_scale: f64,
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
    let right = report.counts.wrong_answer == 0 && report.services.duplicates == 0;
    Ok(if right {
        Verdict::Right
    } else {
        Verdict::Wrong
    })
}

fn read(args: &mut Arguments) -> Result<Options, CommandError> {
    let targets = args.value_from_fn("--target", addresses)?;
    let scenario = Scenario::load(&args.value_from_str::<_, String>("--scenario")?)?;
    let time_scale = positive(args, "--time-scale", 1.0)?;
    let duration_s = positive(args, "--duration-s", scenario.duration_s as f64)?;
    let plan = Plan {
        seed: args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED),
        rate_per_s: rate(args, &scenario)? * time_scale,
        duration: Duration::from_secs_f64(duration_s / time_scale),
        without_long: args.contains("--without-long"),
    };
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
        outputs,
    })
}

/// Arrivals in a second of the scenario's time.
fn rate(args: &mut Arguments, scenario: &Scenario) -> Result<f64, CommandError> {
    let factors = scenario.rate_factors;
    let factor: Option<String> = args.opt_value_from_str("--rate-factor")?;
    let factor = match factor.as_deref() {
        None | Some("normal") => factors.normal,
        Some("peak") => factors.peak,
        Some(number) => number
            .parse()
            .ok()
            .filter(|factor: &f64| factor.is_finite() && *factor > 0.0)
            .ok_or(CommandError::NotPositive("--rate-factor"))?,
    };
    positive(args, "--rate", factor * scenario.capacity_per_s)
}

async fn run(options: &Options) -> Result<Report, CommandError> {
    let client = mangofront_http::client()?;
    let Options {
        targets,
        scenario,
        plan,
        time_scale,
        ..
    } = options;
    let requests = Requests::new(
        scenario,
        targets.clone(),
        *time_scale,
        AnswerRule::standin(),
    );
    let schedule = Schedule::new(scenario, *plan);
    let record = generate(client, requests, scenario.concurrency_cap, schedule).await;
    let facts = RunFacts {
        scenario: scenario.name.clone(),
        seed: plan.seed,
        targets: targets.len(),
        rate_per_s: plan.rate_per_s,
        time_scale: *time_scale,
        without_long: plan.without_long,
        arrivals: plan.duration,
    };
    Ok(build(&facts, &scenario.configuration, &record))
}

fn write(report: &Report, outputs: &Outputs) -> Result<(), CommandError> {
    if let Some(path) = &outputs.json {
        write_json(path, report)?;
    }
    if let Some(path) = &outputs.svg {
        write_file(path, &write_chart(report)?)?;
    }
    if outputs.table || (outputs.json.is_none() && outputs.svg.is_none()) {
        print!("{}", table(report));
    }
    Ok(())
}
