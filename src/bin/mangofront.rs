//! The operator's tool.

use std::process::ExitCode;

fn main() -> ExitCode {
    mangofront_cli::main()
}
