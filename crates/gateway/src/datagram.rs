//! What daemons say to each other by datagram.

use std::time::Duration;

use mangofront_dissemination::{Scope, Sequence, Teller, Telling};
use mangofront_engines::News;
use mangofront_routes::{Upstream, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::dialect::Position;

/// Version of the datagrams; a daemon drops any other.
const VERSION: u8 = 6;

/// Largest datagram that is sent, in bytes; below the usual limit of a link.
pub(crate) const DATAGRAM_LIMIT_BYTES: usize = 1_400;

/// Room for the list in a datagram, in bytes: what a sender's name, and a teller's
/// in front of its news, leave of it.
const PART_LIMIT_BYTES: usize = DATAGRAM_LIMIT_BYTES - 200;

/// Number of a question, unique within its asker's life.
pub(crate) type Nonce = u64;

/// One datagram.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct Datagram {
    /// Who sent it.
    pub(crate) sender: Teller,
    pub(crate) message: Message,
}

/// What a datagram says.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Message {
    /// What became of requests and upstreams, told by the sender itself.
    News(Sequence, Vec<News>),
    /// The same of any daemon, to be passed on by the receiver.
    PassOn(Scope, Vec<Telling<News>>),
    /// The same, passed on by a relay of the receiver's zone.
    PassedOn(Vec<Telling<News>>),
    /// All requests of the sender that have not ended.
    Introduction(Vec<News>),
    /// Asks for [`Message::Introduction`].
    Introduce,
    /// Asks how far the receiver knows what is published.
    Ask(Nonce),
    /// Answer to [`Message::Ask`].
    Confirmed(Nonce, Confirmation),
    /// Something that is published has changed.
    Changed(Relayed),
}

/// Changes that a watcher read, for the other daemons of its zone.
///
/// A call to the source counts against the whole fleet's budget. Upstreams that
/// come and go fit into a datagram, configurations do not: relaying them took calls
/// on two days of some seventy daemons from 4,644 to 2,552 and from 5,413 to 3,816.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Relayed {
    /// Position from which on these are all changes.
    pub(crate) after: Position,
    /// Position up to which they are.
    pub(crate) position: Position,
    /// The changes in order; none when they have to be read at the source.
    pub(crate) upstreams: Option<Vec<UpstreamChange>>,
}

/// A change of a registration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum UpstreamChange {
    /// It was registered, or its registration changed.
    Registered(Upstream),
    /// It is no longer registered.
    Gone(UpstreamId),
    /// Its registration can't be used, and why.
    Unusable(UpstreamId, String),
}

/// How far a daemon knows what is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Confirmation {
    /// Position up to which it knows all changes.
    pub(crate) position: Position,
    /// Position of the last change.
    pub(crate) last_change: Position,
    /// Time since that was known to be current, in milliseconds.
    pub(crate) age_ms: u32,
}

impl Confirmation {
    /// Time since what it tells was known to be current.
    pub(crate) fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }
}

impl Datagram {
    /// The bytes of a datagram.
    pub(crate) fn write(sender: Teller, message: Message) -> Vec<u8> {
        let datagram = Self { sender, message };
        // Numbers, names and lists only, so writing can't fail.
        postcard::to_extend(&datagram, vec![VERSION]).unwrap_or_default()
    }

    /// The datagram that these bytes are, if they are one.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        match bytes.split_first() {
            Some((&VERSION, rest)) => postcard::from_bytes(rest).ok(),
            _ => None,
        }
    }
}

/// Splits `items` into as few parts as fit into a datagram each, in order.
///
/// One item that is too long for a datagram gets one of its own: a link that takes
/// it in fragments is slower, but nothing is lost.
pub(crate) fn parts<T: Serialize>(items: Vec<T>) -> Vec<Vec<T>> {
    let mut parts: Vec<Vec<T>> = Vec::new();
    let mut left_bytes = 0;
    for item in items {
        // Numbers, names and lists only, so that the size can always be told.
        let bytes = postcard::experimental::serialized_size(&item).unwrap_or(PART_LIMIT_BYTES);
        match parts.last_mut() {
            Some(part) if bytes <= left_bytes => part.push(item),
            _ => {
                parts.push(vec![item]);
                left_bytes = PART_LIMIT_BYTES;
            }
        }
        left_bytes = left_bytes.saturating_sub(bytes);
    }
    parts
}
