//! Operator's command line tool.
//!
//! Owns the output and the exit codes of `mangofront`. It reads documents with the
//! `settings` crate, calls a daemon's admin listener over HTTP, runs the emulators
//! of the `standin` crate, and delegates `load` to the load tool. Each command has
//! a module.
//!
//! Exit codes: 0 for success; 1 if the checked document is invalid, the daemon
//! refuses the request, or no log line matches; 2 if the command could not be
//! carried out (invalid arguments, an unreadable file, an unreachable daemon).

mod admin;
mod audit;
mod check;
mod error;
mod evacuations;
mod explain;
mod log_lines;
mod losses;
mod output;
mod quarantine;
mod rate_limits;
mod standin;
mod status;
mod table;
mod trace;

use std::process::ExitCode;

use mangofront_build_info::Build;
use pico_args::Arguments;

use error::CliError;

const HELP: &str = "\
mangofront: operator's tool of the mangofront serving layer

USAGE
  mangofront check FILE [--kind settings|configuration]
      Checks a settings file or a published configuration; the kind is told
      by its content unless given. Exit 0 when good, 1 with the line and column
      of each fault, 2 when unreadable.
  mangofront status --admin ADDR [--json]
      Shows what a daemon sees and does.
  mangofront audit --admin ADDR [--after N] [--json] [--follow]
      Shows a daemon's trail of changes after entry N; --json prints one entry
      a line, --follow goes on until it is stopped.
  mangofront explain --admin ADDR --model M --tokens N [--class C]
                     [--organisation O] [--json]
      Shows where a prompt of N tokens would go, and why, without running it.
  mangofront quarantine --admin ADDR [--lift FINGERPRINT] [--json]
  mangofront quarantine --admin ADDR --lift-part ID --service NAME [--json]
      Shows the requests and parts of prompts that are kept from all upstreams,
      as these crash under them, or ends the quarantine of one at all daemons.
  mangofront rate-limits --admin ADDR [--json]
      Shows the upstreams that name a rate limit, and who grants permits for it.
  mangofront evacuations --admin ADDR [--json]
      Shows the availability zones whose upstreams get no new work.
  mangofront trace ID [FILE]...
      Shows a request's story out of the structured logs of any number of
      daemons, read from the files or from standard input. Exit 1 when no line
      names the request.
  mangofront losses [FILE]...
      Counts what callers got of prompts of each size, out of the structured
      logs of any number of daemons, read from the files or from standard input:
      a row for each route and each tenth of its requests by size.
  mangofront standin engine|service|platform|weights --address ADDR
                     [--count N] [--settings FILE] [--set NAME=VALUE]...
      Runs an emulator until SIGTERM or SIGINT, or N alike on consecutive ports. A VALUE is JSON, or else a
      string; @FILE stands for the JSON in FILE. A NAME with dots goes down
      into sections.
  mangofront load ...
      Drives daemons with a scenario; see `mangofront load --help`.
  mangofront --help | --version

ADDR is an IP address and port.
";

/// Runs the tool with the arguments of the process.
#[must_use]
pub fn main() -> ExitCode {
    match dispatch(Arguments::from_env()) {
        Ok(code) => code,
        Err(error) => {
            error.report();
            error.exit_code()
        }
    }
}

fn dispatch(mut arguments: Arguments) -> Result<ExitCode, CliError> {
    let command = arguments.subcommand()?;
    if command.as_deref() == Some("load") {
        // The load tool has its own help and its own exit codes.
        return Ok(mangofront_load::cli::main(arguments));
    }
    if arguments.contains(["-h", "--help"]) || command.as_deref() == Some("help") {
        output::print(HELP)?;
        return Ok(ExitCode::SUCCESS);
    }
    match command.as_deref() {
        Some("check") => check::run(arguments)?,
        Some("status") => status::run(arguments)?,
        Some("audit") => audit::run(arguments)?,
        Some("explain") => explain::run(arguments)?,
        Some("quarantine") => quarantine::run(arguments)?,
        Some("rate-limits") => rate_limits::run(arguments)?,
        Some("evacuations") => evacuations::run(arguments)?,
        Some("trace") => return trace::run(arguments),
        Some("losses") => return losses::run(arguments),
        Some("standin") => standin::run(arguments)?,
        Some(other) => return Err(CliError::UnknownCommand(other.to_owned())),
        None => print_version(arguments)?,
    }
    Ok(ExitCode::SUCCESS)
}

/// Prints the build if `--version` is given. Any other call without a command fails.
fn print_version(mut arguments: Arguments) -> Result<(), CliError> {
    let is_version_requested = arguments.contains(["-V", "--version"]);
    finish(arguments)?;
    if !is_version_requested {
        return Err(CliError::NoCommand);
    }
    output::print(&format!("mangofront {}\n", Build::current()))
}

/// Fails if any argument was not consumed.
fn finish(arguments: Arguments) -> Result<(), CliError> {
    let unused = arguments.finish();
    if unused.is_empty() {
        return Ok(());
    }
    let words: Vec<_> = unused.iter().map(|word| word.to_string_lossy()).collect();
    Err(CliError::UnusedArguments(words.join(" ")))
}

/// Runs `future` on a new runtime.
fn block_on<T>(future: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    let runtime = compio::runtime::Runtime::new().map_err(CliError::Runtime)?;
    runtime.block_on(future)
}
