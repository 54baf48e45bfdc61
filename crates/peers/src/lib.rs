//! Membership, incarnations and links between daemons.
//!
//! Owns a daemon's view of the others: who is there, in which life
//! ([`Member`], [`MemberState`]), what each last published on a [`Topic`], and
//! the request and reply traffic between two of them ([`Peers::call`]). All
//! daemons are equal; nothing is written down, so a process that restarts comes
//! back with a higher incarnation and learns everything again from its
//! neighbours.
//!
//! `platform` feeds the lagging list of instances in through
//! [`Peers::set_listed`] and relays revisions with [`Topic::Platform`]; `once`
//! and `placement` answer calls in the responder given to [`Peers::start`].
//! None of them sees a socket. `examples/embed.rs` embeds the crate alone.
//!
//! Inside, one task for each neighbour (`link`) sends a heartbeat with news
//! and reads the answer; one task (`keeper`) watches the clock, picks the
//! neighbours (`topology`) and ages suspicions; a few tasks (`serve`)
//! answer. They share one `state`. The budget for all of it is worked out
//! in `gossip`.

mod call;
mod completion;
mod counters;
mod error;
mod freshness;
mod gossip;
mod keeper;
mod link;
mod member;
mod options;
mod peers;
mod publication;
mod pulse;
mod serve;
mod state;
pub mod table;
mod topology;
mod transport;
mod wire;

pub use call::{CallError, Service};
pub use counters::{Counters, Traffic};
pub use error::PeersError;
pub use member::{ListedPeer, Member, MemberChange, MemberState, Record};
pub use options::{PeersOptions, PeersOptionsBuilder};
pub use peers::{OnChange, Peers, Responder};
pub use publication::{
    PUBLICATION_LIMIT_BYTES, PublishError, Published, Reach, Subscription, Topic,
};
