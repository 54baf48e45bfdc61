//! Logs, metrics and always-on invariants.
//!
//! Owns the observability of a process: the log ([`logs`]), the metrics in
//! Prometheus text format ([`metrics`]), and the runtime checks of invariants
//! ([`invariants`]). Other crates log through the `log` crate with a prefix of
//! their own, record metrics on a clone of [`metrics::Metrics`], and call
//! [`invariants::check`] where an invariant could be violated. Only the binaries
//! set up the log and decide whether a violation aborts the process.

pub mod invariants;
pub mod logs;
pub mod metrics;
