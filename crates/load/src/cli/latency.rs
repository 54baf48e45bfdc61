//! `mangofront load latency`: compares the latency of a daemon with that of
//! the engine behind it.

use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Instant;

use pico_args::Arguments;
use serde::Serialize;

use super::{
    CommandError, Verdict, block_on, emit, finish, opt_positive_integer, prober, prompt_size,
    usage_line, write_json,
};
use crate::latency::{AddedLatency, Comparison, LatencyReport, PathReport, compare};
use crate::probe::Destination;
use crate::process::{Pid, Usage, UsageReport};
use crate::scenario::Scenario;
use crate::times::Quantiles;

/// Default number of pairs in each comparison.
const DEFAULT_PAIRS: u64 = 500;

/// Default seed of the prompts.
const DEFAULT_SEED: u64 = 1;

/// Difference between the seeds of the two comparisons.
const CONCURRENT_SEED_OFFSET: u64 = 1 << 48;

/// Default number of workers in the concurrent comparison.
const DEFAULT_WORKERS: u64 = 32;

struct Options {
    comparison: Comparison,
    pairs: u64,
    seed: u64,
    workers: u64,
    scenario: Scenario,
    pid: Option<Pid>,
    json: Option<String>,
}

/// Both comparisons, and the resource usage of the specified process during them.
#[derive(Serialize)]
struct Latencies {
    sequential: LatencyReport,
    concurrent: LatencyReport,
    usage: Option<UsageReport>,
}

pub(super) fn main(mut args: Arguments) -> Result<Verdict, CommandError> {
    let options = read(&mut args)?;
    finish(args)?;
    let latencies = block_on(run(&options))?;
    emit(|text| write(text, &latencies))?;
    if let Some(path) = &options.json {
        write_json(path, &latencies)?;
    }
    let reports = [&latencies.sequential, &latencies.concurrent];
    let paths = reports
        .iter()
        .flat_map(|report| [&report.daemon, &report.direct]);
    Ok(Verdict::from_wrong_answers(
        paths.map(|path| path.wrong_answers).sum(),
    ))
}

fn read(args: &mut Arguments) -> Result<Options, CommandError> {
    let daemon: SocketAddr = args.value_from_str("--target")?;
    let engine: SocketAddr = args.value_from_str("--direct")?;
    let pairs = opt_positive_integer(args, "--pairs")?.unwrap_or(DEFAULT_PAIRS);
    let seed = args.opt_value_from_str("--seed")?.unwrap_or(DEFAULT_SEED);
    let comparison = Comparison::new(Destination::Daemon(daemon), Destination::Engine(engine))
        .pairs(pairs)
        .prompt_size(prompt_size(args)?)
        .seed(seed);
    Ok(Options {
        comparison,
        pairs,
        seed,
        workers: opt_positive_integer(args, "--concurrency")?.unwrap_or(DEFAULT_WORKERS),
        scenario: super::scenario(args)?,
        pid: args.opt_value_from_str("--pid")?,
        json: args.opt_value_from_str("--json")?,
    })
}

async fn run(options: &Options) -> Result<Latencies, CommandError> {
    let client = mangofront_http::client()?;
    let prober = prober(&options.scenario)?;
    let before = options.pid.map(Usage::read).transpose()?;
    let started = Instant::now();
    let sequential = compare(&client, &prober, options.comparison).await;
    let concurrent = options
        .comparison
        .workers(options.workers)
        .pairs(options.pairs.div_ceil(options.workers))
        .warm_up_pairs(1)
        // Different prompts, as the engine has cached the earlier ones.
        .seed(options.seed.wrapping_add(CONCURRENT_SEED_OFFSET));
    let concurrent = compare(&client, &prober, concurrent).await;
    let elapsed = started.elapsed();
    let after = options.pid.map(Usage::read).transpose()?;
    let usage = before
        .zip(after)
        .map(|(before, after)| after.since(&before, elapsed));
    Ok(Latencies {
        sequential,
        concurrent,
        usage,
    })
}

fn write(text: &mut String, latencies: &Latencies) -> std::fmt::Result {
    for report in [&latencies.sequential, &latencies.concurrent] {
        writeln!(text, "{} at once, ms", report.workers)?;
        writeln!(
            text,
            "  {:<22}{:>9}{:>9}{:>9}   {:<8}{:>9}{:>9}{:>9}",
            "first token", "p50", "p95", "p99", "total", "p50", "p95", "p99"
        )?;
        write_path(text, "through the daemon", &report.daemon)?;
        write_path(text, "straight to engine", &report.direct)?;
        write_added(text, &report.added_first_token, &report.added_total)?;
        writeln!(
            text,
            "  median added within a pair (first token): {:.3} ms",
            report.added_first_token_paired_p50_ms
        )?;
    }
    if let Some(usage) = &latencies.usage {
        writeln!(text, "process   {}", usage_line(usage))?;
    }
    Ok(())
}

fn write_path(text: &mut String, name: &str, path: &PathReport) -> std::fmt::Result {
    let quantiles = |times: &Quantiles| [times.p50_ms, times.p95_ms, times.p99_ms];
    write_times(
        text,
        name,
        quantiles(&path.first_token),
        quantiles(&path.total),
    )?;
    writeln!(
        text,
        "   {} done, {} errors, {} wrong",
        path.total.count, path.errors, path.wrong_answers,
    )?;
    if let Some(problem) = &path.first_problem {
        writeln!(text, "    first problem: {problem}")?;
    }
    Ok(())
}

fn write_added(text: &mut String, first: &AddedLatency, total: &AddedLatency) -> std::fmt::Result {
    let differences = |added: &AddedLatency| [added.p50_ms, added.p95_ms, added.p99_ms];
    write_times(text, "added", differences(first), differences(total))?;
    writeln!(text)
}

/// Writes the times at p50, p95 and p99 in the columns of `write`.
fn write_times(
    text: &mut String,
    name: &str,
    first: [f64; 3],
    total: [f64; 3],
) -> std::fmt::Result {
    write!(text, "  {name:<22}")?;
    for time_ms in first {
        write!(text, "{time_ms:>9.3}")?;
    }
    write!(text, "   {:<8}", "")?;
    for time_ms in total {
        write!(text, "{time_ms:>9.3}")?;
    }
    Ok(())
}
