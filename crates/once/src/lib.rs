//! At-most-once execution of non-repeatable orders.
//!
//! Owns who may run an order that must not repeat, and what is remembered of it.
//! There is no store, no shared state and no consensus group: all daemons are
//! equal, and every record is in some process's memory only.
//!
//! Two kinds of keys:
//!
//! - A *minted* key ([`Once::mint`]) is decided by the process that issued it,
//!   alone. Another daemon at which the order enters asks that process for a
//!   one-time grant and then runs the order itself, so that bodies don't travel.
//!   That is safe because the home notes the grant's claim before it answers,
//!   gives the key to no other claim until that claim's own process says that it
//!   never will run, and a claim is used for one run or none. A grant that is
//!   lost on its way blocks its key, and never doubles it. A process that stops
//!   as planned hands its records over; keys that it never granted pass to the
//!   voters.
//! - A *plain* key (any text) is put to the region's voters ([`view`]): a run
//!   needs the votes of a majority, and a voter gives a key to one claim only.
//!
//! Grants need no lease. They are kept for the idempotency window and a margin,
//! and a claim's run begins within `run_start_limit` of its opening, checked on
//! the monotonic clock, which goes on while a process is stopped, immediately
//! before the first byte ([`RunPermit::begin`]). So a process that is paused and
//! wakes later either does not begin, or begins under a grant that all voters
//! still hold. What remains is a pause between that check and the send, longer
//! than the whole window, with a caller that reuses the key after it: see
//! `docs/design/at-most-once.md`, which also weighs other ways.
//!
//! Neighbours: the daemon implements [`Transport`] over its links, feeds
//! [`Once::set_view`] from the platform's list and [`Once::set_rules`] from the
//! configuration, spawns [`Once::maintain`], and sends an order only with the
//! [`Begun`] that its [`RunPermit`] gives.

mod answers;
mod ballots;
mod claims;
mod core;
mod execute;
mod fence;
mod gather;
mod gather_minted;
mod hand_over;
mod ids;
mod key;
mod message;
mod mint;
mod once;
mod open_claim;
mod options;
mod outcome;
mod seat;
mod status;
mod synchronise;
mod transport;
pub mod view;
mod voting_rules;

pub use crate::claims::{BeginError, Begun, RunPermit};
pub use crate::execute::Order;
pub use crate::hand_over::HandOverReport;
pub use crate::ids::{ClaimId, Process};
pub use crate::key::{Fingerprint, MintedKey, OrderKey};
pub use crate::once::{MintError, Once};
pub use crate::options::OnceOptions;
#[cfg(feature = "weaken")]
pub use crate::options::Weakness;
pub use crate::outcome::{
    Answer, Decision, NotRunReason, OrderError, RunOutcome, StoredBody, UnknownReason,
};
pub use crate::status::{Counters, Status};
pub use crate::transport::{Transport, TransportError};
pub use crate::view::{ListedInstance, VoterView};
