//! Logs, metrics and always-on invariants.
