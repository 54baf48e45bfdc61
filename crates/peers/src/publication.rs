//! Latest values that daemons publish, and who listens.
//!
//! A value replaces an older one of its topic and origin, by incarnation and
//! then sequence. A subscription keeps only the latest value of each origin
//! until it is read, so that a slow reader holds no more than one value a
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

use crate::table::Teacher;
use crate::wire::Publication;

/// Largest value, in bytes.
pub const PUBLICATION_LIMIT_BYTES: usize = 2048;

/// What a value is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Topic {
    /// Revisions and digests of published configurations.
    Platform,
    /// Own placements, for the load view.
    Load,
    /// An embedder's own.
    Custom(u8),
}

/// How far values travel once the fleet has outgrown a small one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// To the origin's links and on within its availability zone.
    Zone,
    /// To everyone.
    Fleet,
}

impl Topic {
    /// How far its values travel; in a fleet of up to 64 all go to everyone.
    #[must_use]
    pub fn reach(self) -> Reach {
        match self {
            Self::Platform | Self::Load => Reach::Zone,
            Self::Custom(_) => Reach::Fleet,
        }
    }
}

/// A value as a subscriber sees it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Published {
    /// Daemon that published it.
    pub origin: InstanceId,
    /// Life of that daemon.
    pub incarnation: Incarnation,
    /// Number of the value within that life and topic.
    pub sequence: u64,
    /// The value.
    pub value: Bytes,
}

/// Value that was not published.
#[derive(Debug, Error)]
pub enum PublishError {
    /// It is larger than [`PUBLICATION_LIMIT_BYTES`].
    #[error("value of {bytes} bytes is larger than a publication may be")]
    TooLarge {
        /// Its size.
        bytes: usize,
    },
}

/// Key of a value: the later one of a key replaces the earlier one.
type Key = (Topic, InstanceId);

/// A stored value.
#[derive(Debug)]
pub(crate) struct Stored {
    pub(crate) published: Published,
    pub(crate) learned_from: Option<Teacher>,
    change: u64,
}

/// All latest values. Each stands in `changes` under exactly its `change`.
#[derive(Debug, Default)]
pub(crate) struct Publications {
    values: BTreeMap<Key, Stored>,
    changes: BTreeMap<u64, Key>,
    last_change: u64,
    subscribers: Vec<(Topic, Weak<RefCell<Pending>>)>,
}

impl Publications {
    /// Takes a value in; true when it was news.
    pub(crate) fn learn(&mut self, publication: Publication, from: Option<Teacher>) -> bool {
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
        self.tell(publication.topic, &published);
        self.last_change += 1;
        self.changes.insert(self.last_change, key.clone());
        let stored = Stored {
            published,
            learned_from: from,
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
    pub(crate) fn changes_after(&self, change: u64) -> impl Iterator<Item = (u64, Topic, &Stored)> {
        self.changes
            .range(change.saturating_add(1)..)
            .filter_map(|(number, key)| Some((*number, key.0, self.values.get(key)?)))
    }

    /// Starts a subscription with the values that are there.
    pub(crate) fn subscribe(&mut self, topic: Topic) -> Subscription {
        let mut pending = Pending::default();
        for ((of, _), stored) in &self.values {
            if *of == topic {
                pending.put(stored.published.clone());
            }
        }
        let pending = Rc::new(RefCell::new(pending));
        self.subscribers.retain(|(_, weak)| weak.strong_count() > 0);
        self.subscribers.push((topic, Rc::downgrade(&pending)));
        Subscription(pending)
    }

    fn tell(&self, topic: Topic, published: &Published) {
        for (of, weak) in &self.subscribers {
            if *of != topic {
                continue;
            }
            if let Some(pending) = weak.upgrade() {
                pending.borrow_mut().put(published.clone());
            }
        }
    }
}

/// Values that a subscriber has not read: the latest of each origin.
#[derive(Debug, Default)]
struct Pending {
    values: BTreeMap<InstanceId, Published>,
    waker: Option<Waker>,
}

impl Pending {
    fn put(&mut self, published: Published) {
        self.values.insert(published.origin.clone(), published);
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }
}

/// Stream of a topic's values, own ones included; it never ends by itself.
#[derive(Debug)]
pub struct Subscription(Rc<RefCell<Pending>>);

impl Stream for Subscription {
    type Item = Published;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Published>> {
        let mut pending = self.0.borrow_mut();
        match pending.values.pop_first() {
            Some((_, published)) => Poll::Ready(Some(published)),
            None => {
                pending.waker = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}
