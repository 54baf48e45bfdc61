//! Tests of request sessions and faults with real processes on loopback.
//!
//! Each test starts its own fleet on its own IP address, so that tests run in
//! parallel. Waits poll a condition with a generous time limit. Durations are
//! asserted only where the daemon guarantees them, with a generous slack.

mod answers;
mod client;
mod configuration;
mod control;
mod fleet;
mod frozen;
mod leaving;
mod link;
mod memory;
mod not_run;
mod once;
mod orders;
mod paused;
mod process;
mod requests;
mod services;
mod sessions;
mod soak;
mod stop;
