//! Logs, metrics and always-on invariants.
//!
//! Owns how a process tells what it does: the log ([`logs`]). Slices write by
//! the `log` crate with their own prefix; only the binaries call
//! [`logs::init`].

pub mod logs;
