//! Entry point of `mangofrontd`, the daemon that runs on each entry instance.

use std::process::ExitCode;

fn main() -> ExitCode {
    mangofront_daemon::main()
}
