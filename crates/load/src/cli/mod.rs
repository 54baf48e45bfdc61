//! The `mangofront load` subcommand.

mod capacity;
mod compare;
mod idle;
mod latency;
mod run;

use std::ffi::OsString;
use std::fmt::{Display, Write as _};
use std::io::{ErrorKind, Write as _};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::str::FromStr;
use std::time::Duration;

use pico_args::Arguments;
use serde::de::DeserializeOwned;
use thiserror::Error;

use crate::answers::AnswerRule;
use crate::executions::FetchCountersError;
use crate::probe::{Prober, PromptSize};
use crate::process::{UsageError, UsageReport};
use crate::scenario::{Scenario, ScenarioError};
use crate::times::scaled;

const HELP: &str = "\
mangofront load run --target ADDR[,ADDR…] --scenario NAME|FILE
    [--seed N] [--duration-s N] [--rate R | --rate-factor F|normal|peak]
    [--time-scale S] [--without-long] [--text-salt N] [--idle FILE]
    [--service ADDR[,ADDR…]] [--all-done]
    [--json FILE] [--svg FILE] [--table]
mangofront load latency --target ADDR --direct ADDR
    [--pairs N] [--concurrency N] [--prompt-tokens N] [--max-tokens N]
    [--seed N] [--scenario NAME|FILE] [--pid PID] [--json FILE]
mangofront load capacity --target ADDR[,ADDR…]
    [--pid PID] [--rate R] [--growth F] [--step-s N] [--steps N] [--p99-ms N]
    [--concurrency-cap N] [--prompt-tokens N] [--max-tokens N]
    [--scenario NAME|FILE] [--json FILE]
mangofront load idle --direct ADDR
    [--scenario NAME|FILE] [--per-bucket N] [--bucket-limit-s N] [--seed N]
    [--json FILE]
mangofront load compare A.json B.json [--idle FILE]
mangofront load configuration [--scenario NAME|FILE] [--time-scale S] [--json FILE]
";

/// Minimum value of a numeric option.
const MIN_NUMBER: f64 = 1e-6;

/// Maximum value of a numeric option.
const MAX_NUMBER: f64 = 1e6;

/// Default scenario of the commands other than `run`.
const DEFAULT_SCENARIO: &str = "demo";

/// Exit code of a command whose checks failed.
const EXIT_CHECK_FAILED: u8 = 1;

/// Exit code of a command that could not be executed.
const EXIT_USAGE: u8 = 2;

/// Failure to execute a command.
#[derive(Debug, Error)]
pub(crate) enum CommandError {
    #[error("arguments: {0}")]
    Arguments(#[from] pico_args::Error),
    #[error("unknown arguments: {0:?}")]
    Leftover(Vec<OsString>),
    #[error("unknown load command {0:?}\n{HELP}")]
    Unknown(Option<String>),
    #[error("{0} must be above 0")]
    NotPositive(&'static str),
    #[error("{0} must be between {MIN_NUMBER} and {MAX_NUMBER}")]
    OutOfRange(&'static str),
    #[error("--growth must be above 1")]
    GrowthTooSmall,
    #[error("scenario {0} has no prompts")]
    NoPrompts(String),
    #[error(transparent)]
    Usage(#[from] UsageError),
    #[error(transparent)]
    Counts(#[from] FetchCountersError),
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    Client(#[from] mangofront_http::ClientError),
    #[error(transparent)]
    Chart(#[from] crate::report::ChartError),
    #[error("standard output: {0}")]
    Output(std::io::Error),
    #[error("runtime: {0}")]
    Runtime(std::io::Error),
    #[error("{path}: {source}")]
    File {
        path: String,
        source: std::io::Error,
    },
    #[error("{path}: {source}")]
    Json {
        path: String,
        source: serde_json::Error,
    },
}

/// Result of the checks of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// All checks passed.
    Pass,
    /// An answer was wrong, executions contradict answers, or `--all-done` was
    /// given and a request was not done.
    Fail,
}

impl Verdict {
    fn from_wrong_answers(wrong_answers: u64) -> Self {
        if wrong_answers == 0 {
            Self::Pass
        } else {
            Self::Fail
        }
    }
}

/// Runs `mangofront load` with the arguments that follow this subcommand.
///
/// Exit codes: 0 on success; 1 when an answer was wrong, when the executions of an
/// idempotency key contradict the answers to its callers, or when `--all-done`
/// was given and a request was not done; 2 when the command could not be
/// executed.
#[must_use]
pub fn main(args: Arguments) -> ExitCode {
    match dispatch(args) {
        Ok(Verdict::Pass) => ExitCode::SUCCESS,
        Ok(Verdict::Fail) => ExitCode::from(EXIT_CHECK_FAILED),
        Err(error) => {
            // If standard error is closed too, only the exit code reports the failure.
            let _ = writeln!(std::io::stderr(), "mangofront load: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn dispatch(mut args: Arguments) -> Result<Verdict, CommandError> {
    if args.contains(["-h", "--help"]) {
        emit(|text| text.write_str(HELP))?;
        return Ok(Verdict::Pass);
    }
    match args.subcommand()?.as_deref() {
        Some("run") => run::main(args),
        Some("latency") => latency::main(args),
        Some("capacity") => capacity::main(args),
        Some("idle") => idle::main(args),
        Some("compare") => compare::main(args),
        Some("configuration") => configuration(args),
        other => Err(CommandError::Unknown(other.map(str::to_owned))),
    }
}

/// Runs `work` on a new runtime.
fn block_on<T>(work: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = compio::runtime::Runtime::new().map_err(CommandError::Runtime)?;
    runtime.block_on(work)
}

/// Prints the text that `write` appends to a buffer. A closed pipe is not an
/// error.
fn emit(write: impl FnOnce(&mut String) -> std::fmt::Result) -> Result<(), CommandError> {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = write(&mut text);
    match std::io::stdout().write_all(text.as_bytes()) {
        Err(error) if error.kind() != ErrorKind::BrokenPipe => Err(CommandError::Output(error)),
        _ => Ok(()),
    }
}

/// Rejects arguments that no option consumed.
fn finish(args: Arguments) -> Result<(), CommandError> {
    let leftover = args.finish();
    if leftover.is_empty() {
        return Ok(());
    }
    Err(CommandError::Leftover(leftover))
}

/// Parses addresses separated by commas.
fn addresses(text: &str) -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
    text.split(',').map(str::parse).collect()
}

/// Parses an optional number between [`MIN_NUMBER`] and [`MAX_NUMBER`].
fn opt_number(args: &mut Arguments, name: &'static str) -> Result<Option<f64>, CommandError> {
    let value: Option<f64> = args.opt_value_from_str(name)?;
    if value.is_some_and(|value| !(MIN_NUMBER..=MAX_NUMBER).contains(&value)) {
        return Err(CommandError::OutOfRange(name));
    }
    Ok(value)
}

/// Parses an optional integer above 0.
fn opt_positive_integer<T>(
    args: &mut Arguments,
    name: &'static str,
) -> Result<Option<T>, CommandError>
where
    T: FromStr<Err: Display> + Default + PartialEq,
{
    let value = args.opt_value_from_str(name)?;
    if value == Some(T::default()) {
        return Err(CommandError::NotPositive(name));
    }
    Ok(value)
}

/// Parses the size of the prompts.
fn prompt_size(args: &mut Arguments) -> Result<PromptSize, CommandError> {
    let mut size = PromptSize::default();
    if let Some(length_tokens) = opt_positive_integer(args, "--prompt-tokens")? {
        size.length_tokens = length_tokens;
    }
    if let Some(max_tokens) = opt_positive_integer(args, "--max-tokens")? {
        size.max_tokens = max_tokens;
    }
    Ok(size)
}

/// Loads the scenario that `--scenario` names, or the default one.
fn scenario(args: &mut Arguments) -> Result<Scenario, CommandError> {
    let name: Option<String> = args.opt_value_from_str("--scenario")?;
    Ok(Scenario::load(name.as_deref().unwrap_or(DEFAULT_SCENARIO))?)
}

fn prober(scenario: &Scenario) -> Result<Prober, CommandError> {
    Prober::for_scenario(scenario, AnswerRule::standin())
        .ok_or_else(|| CommandError::NoPrompts(scenario.name.clone()))
}

/// `mangofront load configuration`: prints the configuration published for a
/// scenario.
fn configuration(mut args: Arguments) -> Result<Verdict, CommandError> {
    let mut configuration = scenario(&mut args)?.configuration;
    let time_scale = opt_number(&mut args, "--time-scale")?.unwrap_or(1.0);
    let json: Option<String> = args.opt_value_from_str("--json")?;
    finish(args)?;
    for class in configuration.classes.values_mut() {
        scale_ms(&mut class.time_to_first_token_ms, time_scale);
        scale_ms(&mut class.allowed_delay_ms, time_scale);
    }
    match json {
        Some(path) => write_json(&path, &configuration)?,
        None => {
            let document = pretty("standard output", &configuration)?;
            emit(|text| text.write_str(&document))?;
        }
    }
    Ok(Verdict::Pass)
}

/// Scales a published time; the result must be above 0.
fn scale_ms(time_ms: &mut u64, time_scale: f64) {
    let time = scaled(Duration::from_millis(*time_ms), time_scale);
    *time_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX).max(1);
}

fn usage_line(usage: &UsageReport) -> String {
    let mib = |bytes: u64| bytes as f64 / (1024.0 * 1024.0);
    format!(
        "{:.3} cores, {:.1} MiB resident, {:.1} MiB at most",
        usage.cpu_cores,
        mib(usage.resident_bytes),
        mib(usage.resident_peak_bytes),
    )
}

fn read_json<T: DeserializeOwned>(path: &str) -> Result<T, CommandError> {
    let content = std::fs::read(path).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_slice(&content).map_err(|source| CommandError::Json {
        path: path.to_owned(),
        source,
    })
}

fn write_file(path: &str, content: &str) -> Result<(), CommandError> {
    std::fs::write(path, content).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })
}

fn write_json(path: &str, value: &impl serde::Serialize) -> Result<(), CommandError> {
    write_file(path, &pretty(path, value)?)
}

/// Returns indented JSON; `path` appears in the error.
fn pretty(path: &str, value: &impl serde::Serialize) -> Result<String, CommandError> {
    let content = serde_json::to_string_pretty(value).map_err(|source| CommandError::Json {
        path: path.to_owned(),
        source,
    })?;
    Ok(content + "\n")
}
