//! Published value with its history and visibility to readers.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::oneshot;

/// History of a value, and the watches that wait for its next change.
#[derive(Debug)]
pub(super) struct Published {
    first_revision: u64,
    /// Ordered by revision, without gaps.
    values: Vec<Entry>,
    lag: Duration,
    waiting: Vec<oneshot::Sender<()>>,
}

#[derive(Debug)]
struct Entry {
    value: Bytes,
    published_at: Instant,
}

/// Revision visible to a reader.
#[derive(Debug)]
pub(super) struct Visible {
    pub(super) revision: u64,
    pub(super) value: Bytes,
}

impl Published {
    pub(super) fn new(first_revision: u64, first: Option<Bytes>) -> Self {
        let mut published = Self {
            first_revision,
            values: Vec::new(),
            lag: Duration::ZERO,
            waiting: Vec::new(),
        };
        if let Some(value) = first {
            published.publish(value, Instant::now());
        }
        published
    }

    /// Adds `value` as the next revision and returns its number.
    pub(super) fn publish(&mut self, value: Bytes, now: Instant) -> u64 {
        let revision = self.revision(self.values.len());
        self.values.push(Entry {
            value,
            published_at: now,
        });
        self.wake();
        revision
    }

    /// Returns the newest value at least as old as the lag, or the first one if
    /// `stale` or if none is old enough.
    pub(super) fn visible(&self, now: Instant, stale: bool) -> Option<Visible> {
        let newest = self
            .values
            .iter()
            .rposition(|entry| entry.published_at + self.lag <= now);
        let index = if stale { 0 } else { newest.unwrap_or(0) };
        let entry = self.values.get(index)?;
        Some(Visible {
            revision: self.revision(index),
            value: entry.value.clone(),
        })
    }

    /// Time at which the next value hidden by the lag becomes visible.
    pub(super) fn next_visible(&self, now: Instant) -> Option<Instant> {
        let times = self
            .values
            .iter()
            .map(|entry| entry.published_at + self.lag);
        times.filter(|time| *time > now).min()
    }

    /// Resolves at the next change of the value or of a switch.
    pub(super) fn changed(&mut self) -> oneshot::Receiver<()> {
        self.waiting.retain(|waiting| !waiting.is_canceled());
        let (sender, receiver) = oneshot::channel();
        self.waiting.push(sender);
        receiver
    }

    /// Sets the lag if given, and wakes the watches in any case, as other
    /// switches may have changed.
    pub(super) fn set_lag(&mut self, lag: Option<Duration>) {
        self.lag = lag.unwrap_or(self.lag);
        self.wake();
    }

    fn revision(&self, index: usize) -> u64 {
        self.first_revision + index as u64
    }

    fn wake(&mut self) {
        for waiting in self.waiting.drain(..) {
            // The receiver is gone if the caller of the watch disconnected.
            let _ = waiting.send(());
        }
    }
}
