//! By whom the news of each daemon reaches all others.
//!
//! In a small fleet each daemon tells every other by itself. That makes as many
//! datagrams as the fleet has requests, at each of its daemons. In a large one a few
//! daemons of each availability zone relay: they collect what they hear for a moment
//! and pass it on in one datagram, to the relays of the other zones and to the
//! daemons of their own.
//!
//! The relays of a zone are ranked. The first passes on after [`COALESCING_WINDOW`]. The others
//! hold the same news for longer, and drop what they see passed on; so they take over
//! from one that is gone without anybody having to notice.
//!
//! Nothing in here does input or output. [`LatestSequences`] tells what is new, [`Topology`]
//! whom to tell, [`PendingBatches`] what to pass on and when.

mod batch;
mod pending;
mod sequences;
mod topology;

pub use batch::{Batch, IncarnationId, Origin, Sequence, incarnation_id};
pub use pending::{COALESCING_WINDOW, PendingBatches, STANDBY_DELAY, Scope};
pub use sequences::LatestSequences;
pub use topology::{Peer, RELAY_TIMEOUT, RELAYS_PER_ZONE, Shard, Topology};
