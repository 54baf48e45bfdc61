//! Logs, metrics and always-on invariants.
//!
//! Owns how a process tells what it does: the log ([`logs`]), the instruments
//! and their Prometheus text ([`metrics`]), and the checks of what must always
//! hold ([`invariants`]). Slices write to the log by the `log` crate with their
//! own prefix, get a clone of [`metrics::Metrics`], and call
//! [`invariants::check`] where a point could break. Only the binaries set up
//! the log and decide whether a broken invariant ends the process.

pub mod invariants;
pub mod logs;
pub mod metrics;
