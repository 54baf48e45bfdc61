//! What daemons say to each other by datagram.

use std::time::{Duration, Instant};

use mangofront_dissemination::{Scope, Sequence, Teller, Telling};
use mangofront_engines::News;
use mangofront_routes::{ConfigurationVersion, Upstream, UpstreamId};
use serde::{Deserialize, Serialize};

use crate::dialect::Position;
use crate::registrations::{Record, RegistrationState};
use crate::source_availability::AnsweredPeriod;

/// Version of the datagrams; a daemon drops any other.
const VERSION: u8 = 8;

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
    /// Asks how far the receiver knows what is published, and for the changes of upstreams
    /// after a position.
    Ask(Nonce, Option<Position>),
    /// Answer to [`Message::Ask`].
    ///
    /// The changes are the first page of those that were asked for, if they are known.
    Confirmed(Nonce, Confirmation, Option<UpstreamChanges>),
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
    /// Changes of upstreams.
    pub(crate) upstreams: UpstreamChanges,
    /// Whether something else has changed, or may have.
    pub(crate) has_others: bool,
    /// Since when and until when the sender knows that the source answered.
    pub(crate) answered: Option<AnsweredAges>,
}

/// All changes of upstreams between two positions, in order.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamChanges {
    /// Position from which on they are all.
    pub after: Position,
    /// Position up to which they are all; later ones may be among them.
    pub up_to: Position,
    /// The changes.
    pub changes: Vec<UpstreamChange>,
}

/// The last change of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamChange {
    /// What has changed.
    pub kind: UpstreamChangeKind,
    /// Time for which somebody has known it, in milliseconds.
    pub known_for_ms: u32,
}

/// What has changed of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamChangeKind {
    /// It was registered, or its registration changed.
    Registered(Upstream),
    /// It is no longer registered, or not so that it can be used.
    Gone {
        /// The upstream.
        id: UpstreamId,
        /// Position of the change.
        position: Position,
        /// Whether it is known to have said before that it leaves.
        is_announced: bool,
    },
}

/// How far a daemon knows what is published.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Confirmation {
    /// Position up to which it knows all changes of upstreams.
    pub(crate) upstreams_position: Position,
    /// Position up to which it knows all changes of the configuration.
    pub(crate) configuration_position: Position,
    /// Configuration that it has in force.
    pub(crate) configuration: Option<ConfigurationVersion>,
    /// Time since all of that was known to be current, in milliseconds.
    pub(crate) age_ms: u32,
    /// Whether neither a call of its own failed nor the last question to others.
    pub(crate) is_in_touch: bool,
    /// Since when and until when it knows that the source answered.
    pub(crate) answered: Option<AnsweredAges>,
}

/// Time since the first and the last of the answers that the source gave without a break,
/// as far as the teller knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct AnsweredAges {
    pub(crate) since_ms: u32,
    pub(crate) until_ms: u32,
}

impl Confirmation {
    /// Time since what it tells was known to be current.
    pub(crate) fn age(&self) -> Duration {
        Duration::from_millis(u64::from(self.age_ms))
    }
}

impl AnsweredAges {
    /// The same as ages at `now`.
    pub(crate) fn of(answered: AnsweredPeriod, now: Instant) -> Self {
        Self {
            since_ms: whole_ms(now.saturating_duration_since(answered.since)),
            until_ms: whole_ms(now.saturating_duration_since(answered.until)),
        }
    }

    /// The same as moments, told at `now`; none if they lie before this machine's clock.
    pub(crate) fn at(self, now: Instant) -> Option<AnsweredPeriod> {
        let ago = |ms: u32| now.checked_sub(Duration::from_millis(u64::from(ms)));
        Some(AnsweredPeriod {
            since: ago(self.since_ms)?,
            until: ago(self.until_ms)?,
        })
    }
}

impl UpstreamChange {
    /// The change that a record holds.
    pub(crate) fn of(id: &UpstreamId, record: &Record) -> Self {
        let kind = match &record.state {
            RegistrationState::Registered(upstream) => {
                UpstreamChangeKind::Registered(upstream.clone())
            }
            RegistrationState::Removed { is_announced } => UpstreamChangeKind::Gone {
                id: id.clone(),
                position: record.position,
                is_announced: *is_announced,
            },
        };
        Self {
            kind,
            known_for_ms: whole_ms(record.known_for()),
        }
    }

    /// Position of the change.
    #[must_use]
    pub fn position(&self) -> Position {
        match &self.kind {
            UpstreamChangeKind::Registered(upstream) => upstream.registered_at,
            UpstreamChangeKind::Gone { position, .. } => *position,
        }
    }

    /// Time for which somebody has known it.
    pub(crate) fn known_for(&self) -> Duration {
        Duration::from_millis(u64::from(self.known_for_ms))
    }
}

impl UpstreamChanges {
    /// All `changes` between two positions, in pages that fit into a datagram each.
    ///
    /// Changes beyond `up_to` are told too; of others as late as they nothing is known, so
    /// no page vouches for that.
    #[must_use]
    pub fn pages(after: Position, up_to: Position, mut changes: Vec<UpstreamChange>) -> Vec<Self> {
        changes.sort_by_key(UpstreamChange::position);
        let mut pages: Vec<Self> = Vec::new();
        for changes in parts(changes) {
            let after = pages.last().map_or(after, |page| page.up_to);
            let last = changes.last().map_or(after, UpstreamChange::position);
            pages.push(Self {
                after,
                up_to: last.min(up_to).max(after),
                changes,
            });
        }
        match pages.last_mut() {
            Some(last) => last.up_to = last.up_to.max(up_to),
            None => pages.push(Self {
                after,
                up_to,
                changes: Vec::new(),
            }),
        }
        pages
    }
}

/// Whole milliseconds of a time, as far as they can be told.
fn whole_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
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
