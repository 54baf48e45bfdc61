//! By whom the news of each daemon reaches all others.
//!
//! In a small fleet each daemon tells every other by itself. That makes as many
//! datagrams as the fleet has requests, at each of its daemons. In a large one a few
//! daemons of each availability zone relay: they collect what they hear for a moment
//! and pass it on in one datagram, to the relays of the other zones and to the
//! daemons of their own.
//!
//! The relays of a zone are ranked. The first passes on after [`WINDOW`]. The others
//! hold the same news for longer, and drop what they see passed on; so they take over
//! from one that is gone without anybody having to notice.
//!
//! Nothing in here does input or output. [`Sequences`] tells what is new, [`Paths`]
//! whom to tell, [`Held`] what to pass on and when.

mod held;
mod paths;
mod sequences;
mod telling;

pub use held::{Held, STANDBY_DELAY, Scope, WINDOW};
pub use paths::{Neighbour, Paths, RELAY_SILENCE, RELAYS, Slice};
pub use sequences::Sequences;
pub use telling::{Life, Sequence, Teller, Telling, life_of};
