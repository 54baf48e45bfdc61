//! Sessions and faults with real processes on loopback.
//!
//! Each test has a fleet of its own on an address of its own, so that tests
//! run side by side. Waits poll a condition with a generous limit; no test
//! asserts a duration.

mod caller;
mod control;
mod fleet;
mod orders;
mod sessions;
mod stop;
