//! Errors of the commands, how they are printed, and their exit codes.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use mangofront_settings::check::CheckError;
use miette::{Diagnostic, GraphicalReportHandler};
use thiserror::Error;

/// Exit code for an invalid document, a refused request, or logs without a match.
const EXIT_NEGATIVE_RESULT: u8 = 1;

/// Exit code for a command that could not be carried out.
const EXIT_NOT_RUN: u8 = 2;

/// Width of a report, in characters.
const REPORT_WIDTH: usize = 100;

/// Reason why a command failed.
#[derive(Debug, Error, Diagnostic)]
pub(crate) enum CliError {
    #[error("no command given")]
    #[diagnostic(help("see `mangofront --help`"))]
    NoCommand,
    #[error("unknown command `{0}`")]
    #[diagnostic(help("see `mangofront --help`"))]
    UnknownCommand(String),
    #[error("arguments: {0}")]
    #[diagnostic(help("see `mangofront --help`"))]
    Arguments(pico_args::Error),
    #[error("arguments: nothing takes `{0}`")]
    #[diagnostic(help("see `mangofront --help`"))]
    UnusedArguments(String),
    #[error("{path} can't be read: {cause}")]
    Unreadable { path: String, cause: io::Error },
    #[error(transparent)]
    #[diagnostic(transparent)]
    InvalidDocument(#[from] CheckError),
    #[error("{step}: {address} can't be reached: {cause}")]
    #[diagnostic(help("is the daemon up, and is this its `admin_address`?"))]
    Unreachable {
        step: &'static str,
        address: SocketAddr,
        cause: String,
    },
    #[error("{step}: {address} answered {status}: {message}")]
    Refused {
        step: &'static str,
        address: SocketAddr,
        status: u16,
        message: String,
    },
    #[error("{step}: the answer of {address} can't be read: {cause}")]
    InvalidResponse {
        step: &'static str,
        address: SocketAddr,
        cause: serde_json::Error,
    },
    #[error("trace: none of {lines} lines names request {request}")]
    #[diagnostic(help("was it served by these daemons, and do the logs reach back so far?"))]
    RequestNotFound { request: String, lines: usize },
    #[error("losses: none of {lines} lines tells how a prompt ended")]
    #[diagnostic(help("are these the logs of daemons that serve published routes?"))]
    NoRequestsFound { lines: usize },
    #[error("stand-in: `{0}` is not NAME=VALUE")]
    InvalidOverride(String),
    #[error("stand-in: its settings don't fit: {0}")]
    InvalidSettings(serde_json::Error),
    #[error("stand-in: listening on {address} failed: {cause}")]
    Listen {
        address: SocketAddr,
        cause: io::Error,
    },
    #[error(transparent)]
    Logs(#[from] mangofront_telemetry::logs::LogsError),
    #[error("runtime: {0}")]
    Runtime(io::Error),
    #[error(transparent)]
    Client(#[from] mangofront_http::ClientError),
    #[error("output: {0}")]
    Output(io::Error),
}

// Not derived with `#[from]`, which would print the message a second time as its cause.
impl From<pico_args::Error> for CliError {
    fn from(error: pico_args::Error) -> Self {
        Self::Arguments(error)
    }
}

impl CliError {
    /// Exit code of the process for this error.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Output(cause) if is_broken_pipe(cause) => ExitCode::SUCCESS,
            Self::InvalidDocument(_)
            | Self::Refused { .. }
            | Self::RequestNotFound { .. }
            | Self::NoRequestsFound { .. } => ExitCode::from(EXIT_NEGATIVE_RESULT),
            _ => ExitCode::from(EXIT_NOT_RUN),
        }
    }

    /// Prints the error on standard error, unless the reader of the output closed the pipe.
    pub(crate) fn report(&self) {
        if matches!(self, Self::Output(cause) if is_broken_pipe(cause)) {
            return;
        }
        let mut text = String::new();
        // The handler uses colours and Unicode characters only on a terminal.
        let handler = GraphicalReportHandler::new().with_width(REPORT_WIDTH);
        match handler.render_report(&mut text, self) {
            Ok(()) => eprint!("{text}"),
            Err(_) => eprintln!("{self}"),
        }
    }
}

/// Whether the reader, such as `head`, closed the pipe, which is not an error.
fn is_broken_pipe(cause: &io::Error) -> bool {
    cause.kind() == io::ErrorKind::BrokenPipe
}
