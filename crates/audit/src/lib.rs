//! Bounded trail of changes.
//!
//! Owns what an operator reads to learn what changed and why: a closed set of
//! events ([`AuditEvent`]) in a ring of fixed capacity ([`AuditLog`]). Each
//! slice records its own changes through a clone of the one log that the
//! daemon makes; the daemon's admin listener serves pages of it, and the
//! command line tool prints them. Nothing is kept beyond the process.

mod event;
mod ring;

pub use event::AuditEvent;
pub use ring::{AuditEntry, AuditLog, AuditPage, Sequence};
