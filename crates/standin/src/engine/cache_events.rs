//! Bounded log of cache events, published with a delay and, if a fault is
//! switched on, with gaps.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use mangofront_prompt::BlockHash;
use serde::Serialize;

use super::memory::BlockChanges;
use super::state::State;

/// Events kept for readers; older ones are lost to them.
const LOG_CAPACITY_EVENTS: usize = 8192;

/// Kind of a cache event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EventKind {
    /// Blocks were added.
    Stored,
    /// Blocks were evicted.
    Evicted,
}

/// Event in its published form.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) kind: EventKind,
    pub(crate) blocks: Vec<String>,
}

/// Events with the time at which each becomes visible; `None` is a dropped one.
///
/// Invariant: sequence numbers and times are in ascending order.
#[derive(Debug, Default)]
pub(crate) struct CacheEvents {
    events: VecDeque<(Instant, Option<CacheEvent>)>,
    next_sequence: u64,
}

/// Events visible to a reader.
#[derive(Debug)]
pub(crate) struct VisibleEvents {
    pub(crate) next_sequence: u64,
    pub(crate) events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// Sequence number of the next event.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the events from sequence number `from` that are visible at `now`.
    pub(crate) fn visible(&self, from: u64, now: Instant) -> VisibleEvents {
        let first = self.next_sequence - self.events.len() as u64;
        let visible_count = self.events.partition_point(|(at, _)| *at <= now);
        let already_read = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let events = self.events.iter().take(visible_count).skip(already_read);
        VisibleEvents {
            next_sequence: first + visible_count as u64,
            events: events.filter_map(|(_, event)| event.clone()).collect(),
        }
    }

    /// Time at which the next event becomes visible.
    pub(crate) fn next_visible_at(&self, now: Instant) -> Option<Instant> {
        self.events.iter().map(|(at, _)| *at).find(|at| *at > now)
    }

    fn push(&mut self, kind: EventKind, blocks: &[BlockHash], at: Instant, dropped: bool) {
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let event = CacheEvent {
            sequence,
            kind,
            blocks: blocks.iter().map(|hash| hex(*hash)).collect(),
        };
        self.events.push_back((at, (!dropped).then_some(event)));
        if self.events.len() > LOG_CAPACITY_EVENTS {
            self.events.pop_front();
        }
    }
}

impl State {
    /// Appends cache changes to the log. Returns whether there were any.
    pub(crate) fn record_cache_changes(&mut self, changes: BlockChanges, now: Instant) -> bool {
        let delay = Duration::from_millis(self.switches.cache_event_delay_ms);
        let dropped = self.switches.drop_cache_events;
        let last = self.cache_events.events.back().map(|(at, _)| *at);
        let at = last.unwrap_or(now).max(now + delay);
        // Evictions come first, as a step evicts blocks to make room for new ones.
        let kinds = [
            (EventKind::Evicted, changes.evicted),
            (EventKind::Stored, changes.stored),
        ];
        let mut recorded = false;
        for (kind, blocks) in kinds {
            if !blocks.is_empty() {
                self.cache_events.push(kind, &blocks, at, dropped);
                recorded = true;
            }
        }
        recorded
    }
}

/// Formats a block hash as 16 hex digits, its published form.
pub(crate) fn hex(hash: BlockHash) -> String {
    format!("{hash:016x}")
}

/// Parses a block hash of 16 hex digits.
pub(crate) fn from_hex(text: &str) -> Option<BlockHash> {
    if text.len() != 16 {
        return None;
    }
    BlockHash::from_str_radix(text, 16).ok()
}
