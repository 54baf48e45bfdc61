//! Broadcast of load updates between daemons, directly or through relays.
//!
//! In a small fleet each daemon sends its updates to every other one. Each daemon then
//! receives as many datagrams as the whole fleet has updates. In a large fleet a few
//! daemons of each availability zone act as relays: they collect the batches that they
//! receive for a short time and forward them in one datagram, to the relays of the
//! other zones and to the daemons of their own zone.
//!
//! The relays of a zone are ranked. The first one forwards after [`COALESCING_WINDOW`].
//! The others keep the same batches for longer and drop those that they see forwarded.
//! So they take over from a failed relay without any failure detection.
//!
//! This crate does no input or output. [`LatestSequences`] tells which batches are new,
//! [`Topology`] where to send them, [`PendingBatches`] which to forward and when.

mod batch;
mod pending;
mod sequences;
mod topology;

pub use batch::{Batch, IncarnationId, Origin, Sequence, incarnation_id};
pub use pending::{COALESCING_WINDOW, PendingBatches, STANDBY_DELAY, Scope};
pub use sequences::LatestSequences;
pub use topology::{Peer, RELAY_TIMEOUT, RELAYS_PER_ZONE, Shard, Topology};
