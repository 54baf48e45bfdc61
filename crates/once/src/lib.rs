//! At-most-once execution of non-repeatable orders.
//!
//! Decides which process may run an order that must not be repeated, and stores
//! the outcome for replays. There is no store, no shared state and no consensus
//! group: all daemons are equal, and every record is only in the memory of
//! processes.
//!
//! There are two kinds of keys:
//!
//! - A *minted* key ([`Once::mint`]) is decided by the process that issued it, its
//!   *home*, alone. Another daemon that receives the order requests a one-time
//!   grant from the home and then runs the order itself, so bodies are not sent
//!   between daemons. This is safe because the home records the claim before it
//!   replies, grants the key to no other claim until the claim's own process
//!   reports that it will never run, and a claim is used for at most one run. A
//!   lost grant blocks its key, but never leads to a second run. A process that
//!   shuts down gracefully hands its records over; keys that it never granted are
//!   then decided by the voters.
//! - A *plain* key (any text) is decided by the region's voters ([`view`]): a run
//!   needs the votes of a majority, and a voter grants a key to one claim only.
//!
//! Grants need no lease. They are kept for the idempotency window plus a margin,
//! and a claim's run begins within `run_start_limit` of its opening. This is
//! checked immediately before the first byte ([`RunPermit::begin`]) on the
//! monotonic clock, which also advances while a process is stopped. So a process
//! that resumes after a pause either does not begin, or begins under a grant that
//! all voters still hold. The remaining risk is a pause between that check and the
//! send that is longer than the whole window, with a caller that reuses the key
//! afterwards: see `docs/design/at-most-once.md`, which also discusses
//! alternatives.
//!
//! The daemon implements [`Transport`] over its links, calls [`Once::set_view`]
//! with the platform's instance list and [`Once::set_rules`] with the
//! configuration, spawns [`Once::maintain`], and sends an order only with the
//! [`Begun`] returned by its [`RunPermit`].

mod claims;
mod core;
mod execute;
mod fence;
mod gather;
mod gather_minted;
mod grant_table;
mod hand_over;
mod handlers;
mod ids;
mod key;
mod key_issuer;
mod message;
mod once;
mod open_claim;
mod options;
mod outcome;
mod status;
mod synchronise;
mod transport;
pub mod view;
mod voter;
mod voting_rules;

pub use crate::claims::{BeginError, Begun, RunPermit};
pub use crate::execute::Order;
pub use crate::hand_over::HandOverReport;
pub use crate::ids::{ClaimId, Process};
pub use crate::key::{Fingerprint, MintedKey, OrderKey};
pub use crate::once::{MintError, Once};
#[cfg(feature = "weaken")]
pub use crate::options::DisabledSafeguard;
pub use crate::options::OnceOptions;
pub use crate::outcome::{
    Answer, Decision, NotRunReason, OrderError, RunOutcome, StoredBody, UnknownReason,
};
pub use crate::status::{Counters, Status};
pub use crate::transport::{Transport, TransportError};
pub use crate::view::{ListedInstance, VoterView};
