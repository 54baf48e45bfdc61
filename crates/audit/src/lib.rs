//! Bounded audit trail of state changes.
//!
//! Owns the record from which an operator learns what changed and why: a closed
//! set of events ([`AuditEvent`]) in a ring buffer of fixed capacity
//! ([`AuditLog`]). Each component records its changes through a clone of the
//! daemon's log. The daemon's admin listener serves pages of it, and the command
//! line tool prints them. The trail is kept in memory only and ends with the
//! process.

mod event;
mod ring;

pub use event::AuditEvent;
pub use ring::{AuditEntry, AuditLog, AuditPage, Sequence};
