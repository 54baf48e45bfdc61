//! What can go wrong, how it is shown, and the exit code it gives.

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use mangofront_settings::check::CheckError;
use miette::{Diagnostic, GraphicalReportHandler};
use thiserror::Error;

/// Exit code when what was asked about is at fault.
const EXIT_FAULT: u8 = 1;

/// Exit code when the question could not be put.
const EXIT_UNASKED: u8 = 2;

/// Width of a report, in characters.
const REPORT_WIDTH: usize = 100;

/// Command that did not end well.
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
    Leftover(String),
    #[error("{path} can't be read: {cause}")]
    Unreadable { path: String, cause: io::Error },
    #[error(transparent)]
    #[diagnostic(transparent)]
    Faulty(#[from] CheckError),
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
    BadAnswer {
        step: &'static str,
        address: SocketAddr,
        cause: serde_json::Error,
    },
    #[error("trace: none of {lines} lines names request {request}")]
    #[diagnostic(help("was it served by these daemons, and do the logs reach back so far?"))]
    NoSuchRequest { request: String, lines: usize },
    #[error("losses: none of {lines} lines tells how a prompt ended")]
    #[diagnostic(help("are these the logs of daemons that serve published routes?"))]
    NoRequests { lines: usize },
    #[error("stand-in: `{0}` is not NAME=VALUE")]
    BadSetting(String),
    #[error("stand-in: its settings don't fit: {0}")]
    UnfitSettings(serde_json::Error),
    #[error("stand-in: {address} can't be listened on: {cause}")]
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

// By hand, since `#[from]` would show the message a second time as its own cause.
impl From<pico_args::Error> for CliError {
    fn from(error: pico_args::Error) -> Self {
        Self::Arguments(error)
    }
}

impl CliError {
    /// Code that the process exits with.
    pub(crate) fn exit_code(&self) -> ExitCode {
        match self {
            Self::Output(cause) if is_closed(cause) => ExitCode::SUCCESS,
            Self::Faulty(_)
            | Self::Refused { .. }
            | Self::NoSuchRequest { .. }
            | Self::NoRequests { .. } => ExitCode::from(EXIT_FAULT),
            _ => ExitCode::from(EXIT_UNASKED),
        }
    }

    /// Shows the error on standard error.
    pub(crate) fn report(&self) {
        if matches!(self, Self::Output(cause) if is_closed(cause)) {
            return;
        }
        let mut text = String::new();
        // Without colours and with plain characters unless it is a terminal.
        let handler = GraphicalReportHandler::new().with_width(REPORT_WIDTH);
        match handler.render_report(&mut text, self) {
            Ok(()) => eprint!("{text}"),
            Err(_) => eprintln!("{self}"),
        }
    }
}

/// Whether a reader such as `head` has seen enough, which is no fault.
fn is_closed(cause: &io::Error) -> bool {
    cause.kind() == io::ErrorKind::BrokenPipe
}
