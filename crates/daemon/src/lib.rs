//! Assembly of the daemon: components, admin listener, shutdown.
//!
//! Owns the process: its command line, the order in which the components start and
//! stop, and the tasks that pass updates from one component to another
//! (`platform_updates`, `engines`). It makes no decisions about requests.

mod address_wait;
mod admin;
mod arguments;
mod body_memory;
mod build;
mod components;
mod control_metrics;
mod engines;
mod error;
mod event_loop_lag;
mod explain;
mod gateway;
mod gateway_admin;
mod membership;
mod orders;
mod placement_views;
mod platform_updates;
mod relay;
mod run;
mod settings_watch;
mod signals;
mod status;
mod watchers;

pub use error::DaemonError;

use std::process::ExitCode;

use arguments::Arguments;

/// Runs a daemon with the process's arguments until it receives a stop signal.
#[must_use]
pub fn main() -> ExitCode {
    match Arguments::parse().and_then(start) {
        Ok(()) => ExitCode::SUCCESS,
        Err(DaemonError::Help) => {
            println!("{}", arguments::HELP);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{:?}", miette::Report::new(error));
            ExitCode::FAILURE
        }
    }
}

fn start(arguments: Arguments) -> Result<(), DaemonError> {
    let settings = mangofront_settings::process::read_daemon_settings(&arguments.settings)?;
    mangofront_telemetry::logs::init(&settings.logs)?;
    build::log();
    mangofront_telemetry::invariants::set_fatal(settings.fatal_invariants);
    let runtime = compio::runtime::Runtime::new().map_err(|cause| DaemonError::Io {
        step: "start runtime",
        cause,
    })?;
    match settings.gateway.clone() {
        Some(gateway_settings) => {
            runtime.block_on(gateway::run(settings, arguments.settings, gateway_settings))
        }
        None => runtime.block_on(run::run(settings, arguments.settings, arguments.policy)),
    }
}
