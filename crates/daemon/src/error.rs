//! Errors that prevent a daemon from starting.

use std::io::ErrorKind;
use std::net::SocketAddr;

use mangofront_gateway::StateExchangeError;
use mangofront_http::ClientError;
use mangofront_peers::PeersError;
use mangofront_settings::check::SettingsError;
use mangofront_telemetry::logs::LogsError;
use mangofront_telemetry::metrics::MetricsError;
use miette::Diagnostic;
use thiserror::Error;

/// Reason why a daemon did not start or did not stop cleanly.
#[derive(Debug, Error, Diagnostic)]
pub enum DaemonError {
    /// `--help` was given.
    #[error("help")]
    Help,
    /// The command line is invalid.
    #[error("{0}")]
    #[diagnostic(help("see mangofrontd --help"))]
    Arguments(String),
    /// The settings file is unreadable or invalid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// The log could not be set up.
    #[error("log: {0}")]
    Logs(#[from] LogsError),
    /// The HTTP client could not be created.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// The links to other daemons could not be started.
    #[error(transparent)]
    Peers(#[from] PeersError),
    /// The exchange of state between daemons could not be started.
    #[error(transparent)]
    StateExchange(#[from] StateExchangeError),
    /// The metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// The memory set aside for bodies doesn't fit.
    #[error("memory: {cause}")]
    #[diagnostic(help("{help}"))]
    Memory {
        /// What doesn't fit.
        cause: String,
        /// What to change.
        help: &'static str,
    },
    /// An address could not be bound.
    #[error("listen on {address} failed: {cause}")]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// Another call of the operating system failed.
    #[error("{step} failed: {cause}")]
    Io {
        /// Operation that failed.
        step: &'static str,
        /// Error of the operating system.
        cause: std::io::Error,
    },
}

impl DaemonError {
    /// Whether an address could not be bound because a process is using it.
    pub(crate) fn is_address_in_use(&self) -> bool {
        match self {
            Self::Listen { cause, .. } => cause.kind() == ErrorKind::AddrInUse,
            Self::Peers(error) => error.is_address_in_use(),
            Self::StateExchange(error) => error.is_address_in_use(),
            Self::Help
            | Self::Arguments(_)
            | Self::Settings(_)
            | Self::Logs(_)
            | Self::Client(_)
            | Self::Metrics(_)
            | Self::Memory { .. }
            | Self::Io { .. } => false,
        }
    }
}
