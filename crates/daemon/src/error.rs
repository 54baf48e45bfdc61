//! Reasons why a daemon does not start.

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

/// A daemon that did not start or did not stop cleanly.
#[derive(Debug, Error, Diagnostic)]
pub enum DaemonError {
    /// Help was asked for.
    #[error("help")]
    Help,
    /// Command line not understood.
    #[error("{0}")]
    #[diagnostic(help("see mangofrontd --help"))]
    Arguments(String),
    /// Settings file not taken.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Settings(#[from] SettingsError),
    /// Log could not be set up.
    #[error("log: {0}")]
    Logs(#[from] LogsError),
    /// HTTP client could not be made.
    #[error(transparent)]
    Client(#[from] ClientError),
    /// Links to other daemons could not be started.
    #[error(transparent)]
    Peers(#[from] PeersError),
    /// News between daemons could not be listened for.
    #[error(transparent)]
    StateExchange(#[from] StateExchangeError),
    /// Metrics could not be set up.
    #[error(transparent)]
    Metrics(#[from] MetricsError),
    /// An address could not be listened on.
    #[error("listen on {address} failed: {cause}")]
    Listen {
        /// Address of the settings.
        address: SocketAddr,
        /// System's words.
        cause: std::io::Error,
    },
    /// The system refused something else.
    #[error("{step} failed: {cause}")]
    Io {
        /// What was tried.
        step: &'static str,
        /// System's words.
        cause: std::io::Error,
    },
}

impl DaemonError {
    /// Whether an address could not be listened on because a process has it.
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
            | Self::Io { .. } => false,
        }
    }
}
