//! Published values and subscriptions to them.
//!
//! A value replaces an older one of its topic and origin; they are ordered by incarnation
//! and then sequence. A subscription keeps only the latest value of each origin
//! until it is read, so that a slow subscriber stores at most one value for each
//! member.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll, Waker};

use bytes::Bytes;
use futures_util::Stream;
use mangofront_settings::ids::{Incarnation, InstanceId};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::table::Sender;
use crate::wire::Publication;

/// Largest value, in bytes.
pub const PUBLICATION_LIMIT_BYTES: usize = 2048;

/// Subject of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Revisions and digests of published configurations.
    Platform,
    /// Own placements, for the load view.
    Load,
    /// A topic that the embedder defines.
    Custom(u8),
}

/// The daemons that values are sent to in a fleet of more than 64.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Scope {
    /// The neighbours of the origin, and from there the origin's availability zone.
    Zone,
    /// All daemons.
    Fleet,
}

impl Topic {
    /// Scope of the topic's values; in a fleet of up to 64 all values go to all daemons.
    #[must_use]
    pub fn scope(self) -> Scope {
        match self {
            Self::Platform | Self::Load => Scope::Zone,
            Self::Custom(_) => Scope::Fleet,
        }
    }
}

/// A value as a subscriber receives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// Daemon that published it.
    pub origin: InstanceId,
    /// Incarnation of that daemon.
    pub incarnation: Incarnation,
    /// Number of the value within that incarnation and topic.
    pub sequence: u64,
    /// The value.
    pub value: Bytes,
}

/// The value was not published.
#[derive(Debug, Error)]
pub enum PublishError {
    /// It is larger than [`PUBLICATION_LIMIT_BYTES`].
    #[error("value of {bytes} bytes is larger than a publication may be")]
    TooLarge {
        /// Size of the value.
        bytes: usize,
    },
}

/// Key of a value; a later value of the same key replaces an earlier one.
type Key = (Topic, InstanceId);

/// A value with the daemon that sent it and the number of its change.
#[derive(Debug)]
pub(crate) struct StoredValue {
    pub(crate) published: Published,
    pub(crate) received_from: Option<Sender>,
    change: u64,
}

/// The latest values. Each is in `changes` under exactly its `change`.
#[derive(Debug, Default)]
pub(crate) struct Publications {
    values: BTreeMap<Key, StoredValue>,
    changes: BTreeMap<u64, Key>,
    last_change: u64,
    subscribers: Vec<(Topic, Weak<RefCell<Unread>>)>,
}

impl Publications {
    /// Merges a value; returns whether it was new.
    pub(crate) fn merge(&mut self, publication: Publication, from: Option<Sender>) -> bool {
        let key = (publication.topic, publication.origin.clone());
        let order = (publication.incarnation, publication.sequence);
        let known = self.values.get(&key);
        if known.is_some_and(|k| (k.published.incarnation, k.published.sequence) >= order) {
            return false;
        }
        if let Some(known) = known {
            self.changes.remove(&known.change);
        }
        let published = Published {
            origin: publication.origin,
            incarnation: publication.incarnation,
            sequence: publication.sequence,
            value: Bytes::from(publication.value),
        };
        self.notify(publication.topic, &published);
        self.last_change += 1;
        self.changes.insert(self.last_change, key.clone());
        let stored = StoredValue {
            published,
            received_from: from,
            change: self.last_change,
        };
        self.values.insert(key, stored);
        true
    }

    /// Sequence of the next value of a topic.
    pub(crate) fn next_sequence(&self, topic: Topic, origin: &InstanceId) -> u64 {
        let known = self.values.get(&(topic, origin.clone()));
        known.map_or(1, |known| known.published.sequence + 1)
    }

    /// Forgets the values of origins that are no longer known.
    pub(crate) fn retain(&mut self, known: impl Fn(&InstanceId) -> bool) {
        let changes = &mut self.changes;
        self.values.retain(|(_, origin), stored| {
            let keep = known(origin);
            if !keep {
                changes.remove(&stored.change);
            }
            keep
        });
    }

    /// Number of the last change.
    pub(crate) fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Changes after a number, oldest first.
    pub(crate) fn changes_after(
        &self,
        change: u64,
    ) -> impl Iterator<Item = (u64, Topic, &StoredValue)> {
        self.changes
            .range(change.saturating_add(1)..)
            .filter_map(|(number, key)| Some((*number, key.0, self.values.get(key)?)))
    }

    /// Starts a subscription that begins with the values already known.
    pub(crate) fn subscribe(&mut self, topic: Topic) -> Subscription {
        let mut unread = Unread::default();
        for ((value_topic, _), stored) in &self.values {
            if *value_topic == topic {
                unread.insert(stored.published.clone());
            }
        }
        let unread = Rc::new(RefCell::new(unread));
        self.subscribers.retain(|(_, weak)| weak.strong_count() > 0);
        self.subscribers.push((topic, Rc::downgrade(&unread)));
        Subscription(unread)
    }

    fn notify(&self, topic: Topic, published: &Published) {
        for (subscribed, weak) in &self.subscribers {
            if *subscribed != topic {
                continue;
            }
            if let Some(unread) = weak.upgrade() {
                unread.borrow_mut().insert(published.clone());
            }
        }
    }
}

/// Values that a subscriber hasn't read yet: the latest of each origin.
#[derive(Debug, Default)]
struct Unread {
    values: BTreeMap<InstanceId, Published>,
    waker: Option<Waker>,
}

impl Unread {
    fn insert(&mut self, published: Published) {
        self.values.insert(published.origin.clone(), published);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// Stream of a topic's values, own ones included; it never ends by itself.
#[derive(Debug)]
pub struct Subscription(Rc<RefCell<Unread>>);

impl Stream for Subscription {
    type Item = Published;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Published>> {
        let mut unread = self.0.borrow_mut();
        match unread.values.pop_first() {
            Some((_, published)) => Poll::Ready(Some(published)),
            None => {
                unread.waker = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}
