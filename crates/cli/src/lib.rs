//! Operator's command line tool.
//!
//! Owns what `mangofront` prints and how it exits. It reads documents by
//! `settings`, talks to a daemon's admin listener over HTTP, starts the
//! emulators of `standin` as processes, and passes `load` on to the load tool.
//! One module holds one command.
//!
//! Exit codes: 0 when all is well, 1 when what was asked about is at fault
//! (a broken document, a refusal of the daemon), 2 when the question could not
//! be put (wrong arguments, an unreadable file, nobody at the address).

mod admin;
mod audit;
mod check;
mod error;
mod explain;
mod lines;
mod losses;
mod output;
mod quarantine;
mod standin;
mod status;
mod table;
mod trace;

use std::process::ExitCode;

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
      Shows the requests that are kept from all upstreams, as these crash under
      them, or ends the quarantine of one at all daemons.
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
        Some("trace") => return trace::run(arguments),
        Some("losses") => return losses::run(arguments),
        Some("standin") => standin::run(arguments)?,
        Some(other) => return Err(CliError::UnknownCommand(other.to_owned())),
        None => version_or_nothing(arguments)?,
    }
    Ok(ExitCode::SUCCESS)
}

fn version_or_nothing(mut arguments: Arguments) -> Result<(), CliError> {
    let wanted = arguments.contains(["-V", "--version"]);
    finish(arguments)?;
    if !wanted {
        return Err(CliError::NoCommand);
    }
    output::print(concat!("mangofront ", env!("CARGO_PKG_VERSION"), "\n"))
}

/// Refuses arguments that no option took.
fn finish(arguments: Arguments) -> Result<(), CliError> {
    let leftover = arguments.finish();
    if leftover.is_empty() {
        return Ok(());
    }
    let words: Vec<_> = leftover.iter().map(|word| word.to_string_lossy()).collect();
    Err(CliError::Leftover(words.join(" ")))
}

/// Runs `work` on a runtime of its own.
fn block_on<T>(work: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    let runtime = compio::runtime::Runtime::new().map_err(CliError::Runtime)?;
    runtime.block_on(work)
}
