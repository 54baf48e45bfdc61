//! The log of cache events: late, bounded, and with gaps on demand.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use mangofront_prompt::BlockHash;
use serde::Serialize;

use super::memory::BlockChanges;
use super::state::State;

/// Events kept for readers; older ones are a gap to them.
const LOG_LIMIT: usize = 8192;

/// Whether blocks came or went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum EventKind {
    /// Blocks came in.
    Stored,
    /// Blocks were evicted.
    Evicted,
}

/// One event as it is published.
#[derive(Debug, Clone, Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    pub(crate) kind: EventKind,
    pub(crate) blocks: Vec<String>,
}

/// Events with the time at which each may be seen.
///
/// Invariant: sequences ascend, and so do the times.
#[derive(Debug, Default)]
pub(crate) struct CacheEvents {
    events: VecDeque<(Instant, Option<CacheEvent>)>,
    next_sequence: u64,
}

/// Events that a reader gets.
#[derive(Debug)]
pub(crate) struct VisibleEvents {
    pub(crate) next_sequence: u64,
    pub(crate) events: Vec<CacheEvent>,
}

impl CacheEvents {
    /// Number of the next event.
    pub(crate) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Events from number `from` that may be seen by now.
    pub(crate) fn visible(&self, from: u64, now: Instant) -> VisibleEvents {
        let first = self.next_sequence - self.events.len() as u64;
        let seen = self.events.partition_point(|(at, _)| *at <= now);
        let known = usize::try_from(from.saturating_sub(first)).unwrap_or(usize::MAX);
        let events = self.events.iter().take(seen).skip(known);
        VisibleEvents {
            next_sequence: first + seen as u64,
            events: events.filter_map(|(_, event)| event.clone()).collect(),
        }
    }

    /// When the first event that is not seen yet may be seen.
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
        if self.events.len() > LOG_LIMIT {
            self.events.pop_front();
        }
    }
}

impl State {
    /// Writes changes of the cache to the log; whether there were any.
    pub(crate) fn record_cache_changes(&mut self, changes: BlockChanges, now: Instant) -> bool {
        let delay = Duration::from_millis(self.switches.cache_event_delay_ms);
        let dropped = self.switches.drop_cache_events;
        let last = self.cache_events.events.back().map(|(at, _)| *at);
        let at = last.unwrap_or(now).max(now + delay);
        // Evicted first: a step evicts to make room for what it stores.
        let kinds = [
            (EventKind::Evicted, changes.evicted),
            (EventKind::Stored, changes.stored),
        ];
        let mut wrote = false;
        for (kind, blocks) in kinds {
            if !blocks.is_empty() {
                self.cache_events.push(kind, &blocks, at, dropped);
                wrote = true;
            }
        }
        wrote
    }
}

/// A block's hash as it is published: 16 hex digits.
pub(crate) fn hex(hash: BlockHash) -> String {
    format!("{hash:016x}")
}

/// A block's hash read from 16 hex digits.
pub(crate) fn from_hex(text: &str) -> Option<BlockHash> {
    if text.len() != 16 {
        return None;
    }
    BlockHash::from_str_radix(text, 16).ok()
}
