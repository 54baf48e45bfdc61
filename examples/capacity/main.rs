//! Measures, with real processes on one machine, how a daemon's costs grow.
//!
//! `capacity [--quick] [--binaries DIR] [--port N] [--only NAME]... [--json FILE]`
//! starts small fleets of daemons and stand-ins, varies one size at a time, and
//! fits a line by least squares to what each daemon used. The points, the
//! lines and their residuals are printed and written as JSON; the page
//! docs/CAPACITY.md is worked out from that file. `scripts/capacity` builds
//! and runs it.

mod callers;
mod control;
mod documents;
mod fit;
mod fleet;
mod measure;
mod requests;

use std::error::Error;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};
use serde::Serialize;

use fit::Series;

/// Number of the signal of an interrupt key, by POSIX.
const SIGINT: i32 = 2;

/// Any failure ends the run: half a slope is of no use.
type Failure = Box<dyn Error>;

/// How a run is made.
#[derive(Debug, Clone)]
struct Plan {
    quick: bool,
    binaries: PathBuf,
    port: u16,
}

impl Plan {
    /// Time before a measurement, for links and caches to settle.
    fn settle(&self) -> Duration {
        Duration::from_millis(if self.quick { 2200 } else { 5000 })
    }

    /// Time of one measurement.
    fn window(&self) -> Duration {
        Duration::from_millis(if self.quick { 1000 } else { 8000 })
    }
}

/// What is written as JSON.
#[derive(Debug, Serialize)]
struct Report {
    quick: bool,
    processors: usize,
    load_average_at_start: String,
    load_average_at_end: String,
    took_s: u64,
    series: Vec<Series>,
}

#[compio::main]
async fn main() -> Result<(), Failure> {
    let mut arguments = pico_args::Arguments::from_env();
    let plan = Plan {
        quick: arguments.contains("--quick"),
        binaries: arguments
            .opt_value_from_str("--binaries")?
            .unwrap_or_else(|| "target/release".into()),
        port: arguments.opt_value_from_str("--port")?.unwrap_or(28_000),
    };
    let only: Vec<String> = arguments.values_from_str("--only")?;
    let json: PathBuf = arguments
        .opt_value_from_str("--json")?
        .unwrap_or_else(|| "out/capacity.json".into());
    let interrupted = std::pin::pin!(compio::signal::unix::signal(SIGINT));
    let measuring = std::pin::pin!(measure_all(&plan, &only));
    // A fleet that is dropped ends its processes.
    let report = match select(measuring, interrupted).await {
        Either::Left((report, _)) => report?,
        Either::Right(_) => return Err("interrupted".into()),
    };
    if let Some(folder) = json.parent() {
        std::fs::create_dir_all(folder)?;
    }
    std::fs::write(&json, serde_json::to_string_pretty(&report)?)?;
    println!("written: {}, after {} s", json.display(), report.took_s);
    Ok(())
}

async fn measure_all(plan: &Plan, only: &[String]) -> Result<Report, Failure> {
    let started = Instant::now();
    let load_average_at_start = measure::load_average()?;
    let mut series = Vec::new();
    for name in [
        "daemons",
        "voters",
        "engines",
        "organisations",
        "instances",
        "changes",
        "spread",
        "streams",
        "tokens",
        "placements",
        "requests",
        "prompts",
        "orders",
    ] {
        if !only.is_empty() && !only.iter().any(|wanted| wanted == name) {
            continue;
        }
        let measured = match name {
            "daemons" => control::daemons(plan).await,
            "voters" => control::voters(plan).await,
            "engines" => control::engines(plan).await,
            "organisations" => documents::organisations(plan).await,
            "instances" => documents::instances(plan).await,
            "changes" => documents::changes(plan).await,
            "spread" => documents::spread(plan).await,
            "streams" => requests::streams(plan).await,
            "tokens" => requests::tokens(plan).await,
            "placements" => requests::placements(plan).await,
            "requests" => requests::requests(plan).await,
            "prompts" => requests::prompts(plan).await,
            _ => requests::orders(plan).await,
        }?;
        for one in &measured {
            println!("{one}");
        }
        series.extend(measured);
    }
    Ok(Report {
        quick: plan.quick,
        processors: std::thread::available_parallelism()?.get(),
        load_average_at_start,
        load_average_at_end: measure::load_average()?,
        took_s: started.elapsed().as_secs(),
        series,
    })
}
