//! Membership, incarnations and links between daemons.
//!
//! Maintains a daemon's view of the others: which ones there are, in which incarnation
//! and state ([`Member`], [`MemberState`]), what each last published on a [`Topic`], and
//! the request and reply traffic between two of them ([`Peers::call`]). All daemons are
//! equal. Nothing is stored on disk: a process that restarts has a higher incarnation
//! and receives everything again from its neighbours.
//!
//! The embedder passes the platform's list of instances, which may be outdated, to
//! [`Peers::set_listed`] and answers calls in the responder given to [`Peers::start`].
//! It doesn't handle sockets. `examples/embed.rs` embeds the crate alone.
//!
//! One task for each neighbour (`link`) sends heartbeats that carry changes and applies
//! the answers; one task (`maintenance`) applies timeouts and chooses the neighbours
//! (`topology`); a few tasks (`serve`) answer requests. They share one `state`.
//! `gossip` documents the traffic budget.

mod call;
mod completion;
mod counters;
mod error;
mod freshness;
mod gossip;
mod link;
mod maintenance;
mod member;
mod options;
mod peers;
mod publication;
mod serve;
mod state;
pub mod table;
mod topology;
mod transport;
mod wire;
mod zone_heartbeat;

pub use call::{CallError, Service};
pub use counters::{Counters, Traffic};
pub use error::PeersError;
pub use member::{ListedPeer, Member, MemberChange, MemberState, Record};
pub use options::{PeersOptions, PeersOptionsBuilder};
pub use peers::{OnChange, Peers, Responder};
pub use publication::{
    PUBLICATION_LIMIT_BYTES, PublishError, Published, Scope, Subscription, Topic,
};
