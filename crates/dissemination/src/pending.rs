//! What a relay holds until it passes it on.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::batch::{Batch, IncarnationId, Sequence};

/// Time for which the first relay of a zone collects news.
///
/// It bounds the datagrams that a daemon hears to fifty a second, whatever the
/// fleet's load, and is short against the tens of milliseconds that an engine takes
/// to read a prompt: what is placed meanwhile is rarely at the same engine.
pub const COALESCING_WINDOW: Duration = Duration::from_millis(20);

/// Time by which each further relay waits longer than the one before it.
///
/// Above the delay with which a busy first relay still passes on, so that news goes
/// out twice only when that one is in trouble.
pub const STANDBY_DELAY: Duration = Duration::from_millis(60);

/// Whom a telling is still to be passed on to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The daemons of the relay's zone and the relays of the others.
    Fleet,
    /// The daemons of the relay's zone.
    Zone,
}

#[derive(Debug)]
struct Entry<T> {
    telling: Batch<T>,
    scope: Scope,
    due: Instant,
}

/// Tellings that a relay has not passed on yet.
#[derive(Debug)]
pub struct PendingBatches<T> {
    entries: Vec<Entry<T>>,
}

impl<T> Default for PendingBatches<T> {
    fn default() -> Self {
        Self {
            entries: Vec::new(),
        }
    }
}

impl<T> PendingBatches<T> {
    /// Holds a telling as the relay of `rank`, the first being 0.
    pub fn add(&mut self, telling: Batch<T>, scope: Scope, rank: usize, now: Instant) {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let due = now + COALESCING_WINDOW + STANDBY_DELAY.saturating_mul(rank);
        self.entries.push(Entry {
            telling,
            scope,
            due,
        });
    }

    /// Drops what another relay of the zone has passed on.
    pub fn remove_forwarded(
        &mut self,
        by_another: impl IntoIterator<Item = (IncarnationId, Sequence)>,
    ) {
        if self.entries.is_empty() {
            return;
        }
        let known: HashSet<(IncarnationId, Sequence)> = by_another.into_iter().collect();
        self.entries.retain(|entry| {
            let telling = &entry.telling;
            !known.contains(&(telling.origin.incarnation_id(), telling.sequence))
        });
    }

    /// When the first of them is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.entries.iter().map(|entry| entry.due).min()
    }

    /// Takes out what is due, in the order in which it came.
    ///
    /// One that is due takes those along that came after it, as long as they wait for
    /// the same time: they need no datagram of their own then.
    pub fn take_due(&mut self, now: Instant) -> Vec<(Scope, Batch<T>)> {
        if self.next_due().is_none_or(|due| due > now) {
            return Vec::new();
        }
        let until = now + COALESCING_WINDOW;
        let (due, waiting) = std::mem::take(&mut self.entries)
            .into_iter()
            .partition(|entry| entry.due <= until);
        self.entries = waiting;
        due.into_iter()
            .map(|entry| (entry.scope, entry.telling))
            .collect()
    }
}
