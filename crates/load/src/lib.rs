//! Load generator, scenarios and reports.
//!
//! Owns the tool that drives daemons (and emulated engines) with a drawn
//! schedule of requests, checks every answer whole and reports what callers
//! saw. [`cli::main`] is the `mangofront load` subcommand. It meets the others
//! only over HTTP, as a caller does; the scenarios carry the published
//! configuration that they are to be run under, and the emulated engine's
//! answers are known from `mangofront_standin::answer`.
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
