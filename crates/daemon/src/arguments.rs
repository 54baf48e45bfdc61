//! The daemon's command line.

use std::path::PathBuf;

use mangofront_build_info::Build;
use mangofront_placement::Policy;

use crate::error::DaemonError;

/// Text of `--help`.
pub(crate) const HELP: &str = "\
mangofrontd: serve model requests and service calls

Usage: mangofrontd --settings FILE

Options:
  --settings FILE   settings of this process, JSON with comments
  --experiment-policy length-aware|least-outstanding|round-robin
                    way of choosing engines, for comparisons only
  --version         print version, commit and target of the build
  --help            print this text

The process stops gracefully on SIGTERM and SIGINT.";

/// Parsed command line.
#[derive(Debug)]
pub(crate) struct Arguments {
    /// Settings file.
    pub(crate) settings: PathBuf,
    /// Policy that chooses engines; length-aware except in experiments.
    pub(crate) policy: Policy,
}

impl Arguments {
    /// Parses the process's arguments.
    ///
    /// # Errors
    /// [`DaemonError::Arguments`] for an unknown, missing or invalid argument,
    /// [`DaemonError::Help`] if `--help` is given.
    pub(crate) fn parse() -> Result<Self, DaemonError> {
        let mut arguments = pico_args::Arguments::from_env();
        if arguments.contains(["-h", "--help"]) {
            return Err(DaemonError::Help);
        }
        if arguments.contains("--version") {
            println!("mangofrontd {}", Build::current());
            std::process::exit(0);
        }
        let settings = arguments
            .value_from_os_str("--settings", |value| Ok::<_, String>(PathBuf::from(value)))
            .map_err(|error| DaemonError::Arguments(error.to_string()))?;
        let policy = arguments
            .opt_value_from_fn("--experiment-policy", parse_policy)
            .map_err(|error| DaemonError::Arguments(error.to_string()))?;
        let rest = arguments.finish();
        if let Some(unknown) = rest.first() {
            let unknown = unknown.to_string_lossy();
            return Err(DaemonError::Arguments(format!(
                "unknown argument {unknown}"
            )));
        }
        Ok(Self {
            settings,
            policy: policy.unwrap_or(Policy::LengthAware),
        })
    }
}

fn parse_policy(name: &str) -> Result<Policy, String> {
    match name {
        "length-aware" => Ok(Policy::LengthAware),
        "least-outstanding" => Ok(Policy::LeastOutstanding),
        "round-robin" => Ok(Policy::RoundRobin),
        _ => Err(format!("unknown policy {name}")),
    }
}
