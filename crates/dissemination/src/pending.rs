//! Batches that a relay has yet to forward.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::batch::{Batch, IncarnationId, Sequence};

/// Time for which the first relay of a zone collects batches before it forwards them.
///
/// It limits the datagrams that a daemon receives to 50 a second, whatever the fleet's
/// load. It is short compared to the tens of milliseconds that an engine takes for a
/// prefill, so that two daemons rarely choose the same engine within one window.
pub const COALESCING_WINDOW: Duration = Duration::from_millis(20);

/// Time by which each further relay waits longer than the one ranked before it.
///
/// Longer than a busy first relay takes to forward, so that batches are forwarded twice
/// only when the first relay is overloaded or down.
pub const STANDBY_DELAY: Duration = Duration::from_millis(60);

/// The daemons that a relay has to forward a batch to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Scope {
    /// The daemons of the relay's own zone and the relays of all other zones.
    Fleet,
    /// The daemons of the relay's own zone.
    Zone,
}

#[derive(Debug)]
struct Entry<T> {
    batch: Batch<T>,
    scope: Scope,
    due: Instant,
}

/// Batches that a relay has not forwarded yet.
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
    /// Adds a batch, to be forwarded by the relay of `rank`; the first rank is 0.
    pub fn add(&mut self, batch: Batch<T>, scope: Scope, rank: usize, now: Instant) {
        let rank = u32::try_from(rank).unwrap_or(u32::MAX);
        let due = now + COALESCING_WINDOW + STANDBY_DELAY.saturating_mul(rank);
        self.entries.push(Entry { batch, scope, due });
    }

    /// Removes the batches that another relay of the zone has forwarded.
    pub fn remove_forwarded(
        &mut self,
        forwarded: impl IntoIterator<Item = (IncarnationId, Sequence)>,
    ) {
        if self.entries.is_empty() {
            return;
        }
        let forwarded: HashSet<(IncarnationId, Sequence)> = forwarded.into_iter().collect();
        self.entries.retain(|entry| {
            let batch = &entry.batch;
            !forwarded.contains(&(batch.origin.incarnation_id(), batch.sequence))
        });
    }

    /// When the next batch is due.
    #[must_use]
    pub fn next_due(&self) -> Option<Instant> {
        self.entries.iter().map(|entry| entry.due).min()
    }

    /// Removes and returns the batches that are due, in the order in which they were added.
    ///
    /// Once one is due, those that become due within the next [`COALESCING_WINDOW`] are
    /// returned with it, as they then need no datagram of their own.
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
            .map(|entry| (entry.scope, entry.batch))
            .collect()
    }
}
