//! Measures how a daemon's resource use grows, with real processes on one machine.
//!
//! `capacity [--quick] [--binaries DIR] [--port N] [--only NAME]... [--json FILE]`
//! starts small fleets of daemons and stand-ins, varies one size at a time, and
//! fits a line by least squares to the resource use of one daemon. The points,
//! the lines and their residuals are printed and written as JSON, from which
//! docs/CAPACITY.md is derived. `scripts/capacity` builds and runs this example.

mod client;
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

/// POSIX number of the interrupt signal, SIGINT.
const SIGINT: i32 = 2;

/// Any error ends the run, since a series with missing points would give a wrong line.
type BoxError = Box<dyn Error>;

/// Command-line options that the measurements depend on.
#[derive(Debug, Clone)]
struct RunOptions {
    quick: bool,
    binaries: PathBuf,
    port: u16,
}

impl RunOptions {
    /// Delay before a measurement, in which connections and caches reach a steady state.
    fn settle_time(&self) -> Duration {
        Duration::from_millis(if self.quick { 2200 } else { 5000 })
    }

    /// Duration of one measurement.
    fn measurement_window(&self) -> Duration {
        Duration::from_millis(if self.quick { 1000 } else { 8000 })
    }
}

/// Results of a run, as written to the JSON file.
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
async fn main() -> Result<(), BoxError> {
    let mut arguments = pico_args::Arguments::from_env();
    let options = RunOptions {
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
    let measuring = std::pin::pin!(measure_all(&options, &only));
    // On an interrupt, dropping the measurement drops its fleet, which kills the processes.
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

async fn measure_all(options: &RunOptions, only: &[String]) -> Result<Report, BoxError> {
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
        if !only.is_empty() && !only.iter().any(|selected| selected == name) {
            continue;
        }
        let measured = match name {
            "daemons" => control::daemons(options).await,
            "voters" => control::voters(options).await,
            "engines" => control::engines(options).await,
            "organisations" => documents::organisations(options).await,
            "instances" => documents::instances(options).await,
            "changes" => documents::changes(options).await,
            "spread" => documents::propagation(options).await,
            "streams" => requests::streams(options).await,
            "tokens" => requests::tokens(options).await,
            "placements" => requests::placements(options).await,
            "requests" => requests::requests(options).await,
            "prompts" => requests::prompts(options).await,
            _ => requests::orders(options).await,
        }?;
        for fit in &measured {
            println!("{fit}");
        }
        series.extend(measured);
    }
    Ok(Report {
        quick: options.quick,
        processors: std::thread::available_parallelism()?.get(),
        load_average_at_start,
        load_average_at_end: measure::load_average()?,
        took_s: started.elapsed().as_secs(),
        series,
    })
}
