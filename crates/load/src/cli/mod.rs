//! The `mangofront load` subcommand.

mod run;

use std::ffi::OsString;
use std::net::SocketAddr;
use std::process::ExitCode;

use pico_args::Arguments;
use thiserror::Error;

use crate::scenario::ScenarioError;

const HELP: &str = "\
mangofront load run --target ADDR[,ADDR…] --scenario NAME|FILE
    [--seed N] [--duration-s N] [--rate R | --rate-factor F|normal|peak]
    [--time-scale S] [--without-long] [--json FILE] [--svg FILE] [--table]
";

/// Exit code of a run with a wrong answer.
const EXIT_WRONG: u8 = 1;

/// Exit code of a command that could not be done.
const EXIT_USAGE: u8 = 2;

/// Command that could not be done.
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
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    Client(#[from] mangofront_http::ClientError),
    #[error(transparent)]
    Chart(#[from] crate::report::ChartError),
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

/// What a command found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Verdict {
    /// Every answer was right.
    Right,
    /// An answer was wrong.
    Wrong,
}

/// Runs `mangofront load` with what follows that word on the command line.
///
/// Exit codes: 0, 1 when an answer was wrong, 2 when the command could not be
/// done.
#[must_use]
pub fn main(args: Arguments) -> ExitCode {
    match dispatch(args) {
        Ok(Verdict::Right) => ExitCode::SUCCESS,
        Ok(Verdict::Wrong) => ExitCode::from(EXIT_WRONG),
        Err(error) => {
            eprintln!("mangofront load: {error}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}

fn dispatch(mut args: Arguments) -> Result<Verdict, CommandError> {
    if args.contains(["-h", "--help"]) {
        print!("{HELP}");
        return Ok(Verdict::Right);
    }
    match args.subcommand()?.as_deref() {
        Some("run") => run::main(args),
        other => Err(CommandError::Unknown(other.map(str::to_owned))),
    }
}

/// Runs `work` on a runtime of its own.
fn block_on<T>(work: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = compio::runtime::Runtime::new().map_err(CommandError::Runtime)?;
    runtime.block_on(work)
}

/// Refuses arguments that no option took.
fn finish(args: Arguments) -> Result<(), CommandError> {
    let leftover = args.finish();
    if leftover.is_empty() {
        return Ok(());
    }
    Err(CommandError::Leftover(leftover))
}

/// Addresses separated by commas.
fn addresses(text: &str) -> Result<Vec<SocketAddr>, std::net::AddrParseError> {
    text.split(',').map(str::parse).collect()
}

/// A number that must be above 0, or its default.
fn positive(args: &mut Arguments, name: &'static str, default: f64) -> Result<f64, CommandError> {
    let value: f64 = args.opt_value_from_str(name)?.unwrap_or(default);
    if value.is_finite() && value > 0.0 {
        return Ok(value);
    }
    Err(CommandError::NotPositive(name))
}

fn write_file(path: &str, content: &str) -> Result<(), CommandError> {
    std::fs::write(path, content).map_err(|source| CommandError::File {
        path: path.to_owned(),
        source,
    })
}

fn write_json(path: &str, value: &impl serde::Serialize) -> Result<(), CommandError> {
    let content = serde_json::to_string_pretty(value).map_err(|source| CommandError::Json {
        path: path.to_owned(),
        source,
    })?;
    write_file(path, &(content + "\n"))
}
