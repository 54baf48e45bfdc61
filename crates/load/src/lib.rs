//! Load generator, scenarios and reports.
//!
//! Sends a random schedule of requests to daemons (or emulated engines), checks
//! every answer in full and reports what callers saw. [`cli::main`] is the
//! `mangofront load` subcommand. The tool talks to the other processes only
//! over HTTP, as a caller does. Each scenario contains the published
//! configuration to run it under, and `mangofront_standin::answer` gives the
//! emulated engine's expected answers.
//!
//! A run is [`scenario`] → [`schedule`] → [`generator`] (with [`requests`],
//! [`exchange`] and [`verify`] for each request) → [`report`].

pub mod answers;
pub mod capacity;
pub mod cli;
pub mod compare;
pub mod exchange;
pub mod executions;
pub mod generator;
pub mod idle;
pub mod latency;
pub mod probe;
pub mod process;
pub mod report;
pub mod requests;
pub mod sample;
pub mod scenario;
pub mod schedule;
pub mod text;
pub mod times;
pub mod verify;
mod wire;
