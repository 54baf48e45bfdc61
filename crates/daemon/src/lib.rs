//! Assembly of the daemon: parts, admin listener, shutdown.
//!
//! Owns the process: its command line, the order in which the parts start and
//! stop, and the tasks that carry news from one part to another (`feeds`,
//! `engines`). It takes no decision on a request.

mod address_wait;
mod admin;
mod arguments;
mod control;
mod engines;
mod error;
mod explain;
mod feeds;
mod gateway;
mod gateway_admin;
mod lag;
mod membership;
mod orders;
mod parts;
mod relay;
mod run;
mod status;
mod views;
mod watchers;

pub use error::DaemonError;

use std::process::ExitCode;

use arguments::Arguments;

/// Runs a daemon with the process's arguments until it is told to stop.
#[must_use]
pub fn main() -> ExitCode {
    match Arguments::read().and_then(start) {
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
    mangofront_telemetry::invariants::set_fatal(settings.fatal_invariants);
    let runtime = compio::runtime::Runtime::new().map_err(|cause| DaemonError::Io {
        step: "start runtime",
        cause,
    })?;
    match settings.gateway.clone() {
        Some(own) => runtime.block_on(gateway::run(settings, arguments.settings, own)),
        None => runtime.block_on(run::run(settings, arguments.policy)),
    }
}
