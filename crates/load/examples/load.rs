//! `mangofront load` on its own.

fn main() -> std::process::ExitCode {
    mangofront_load::cli::main(pico_args::Arguments::from_env())
}
