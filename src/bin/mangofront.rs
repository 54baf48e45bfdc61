//! Entry point of `mangofront`, the operator's command line tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    mangofront_cli::main()
}
