//! Sessions and faults with real processes on loopback.
//!
//! Each test has a fleet of its own on an address of its own, so that tests
//! run side by side. Waits poll a condition with a generous limit; a duration is
//! asserted only where the promise is one, with a generous slack.

mod answers;
mod caller;
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
mod process;
mod requests;
mod services;
mod sessions;
mod soak;
mod stop;
