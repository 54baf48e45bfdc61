//! The ring that holds the latest entries.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::event::AuditEvent;

/// Number of an entry, from 1 without gaps within one process.
pub type Sequence = u64;

/// One entry of the trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Number of the entry.
    pub sequence: Sequence,
    /// When it was recorded, in milliseconds since 1970.
    pub unix_time_ms: u64,
    /// What changed.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// Entries after a sequence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Sequence that the next entry will get.
    pub next_sequence: Sequence,
    /// Sequence of the oldest entry still held; equals `next_sequence` when
    /// none is. A reader that asked from before it has missed entries.
    #[serde(default)]
    pub oldest_sequence: Sequence,
    /// Entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// The trail; a clone shares the same entries.
#[derive(Debug, Clone)]
pub struct AuditLog(Rc<RefCell<Ring>>);

/// Invariant: `entries` holds consecutive sequences that end at
/// `next_sequence - 1`, and never more than `capacity_entries` of them.
#[derive(Debug)]
struct Ring {
    capacity_entries: usize,
    next_sequence: Sequence,
    entries: VecDeque<AuditEntry>,
}

impl AuditLog {
    /// A trail that holds the latest `capacity_entries`, at least one.
    #[must_use]
    pub fn new(capacity_entries: usize) -> Self {
        Self(Rc::new(RefCell::new(Ring {
            capacity_entries: capacity_entries.max(1),
            next_sequence: 1,
            entries: VecDeque::new(),
        })))
    }

    /// Records `event` now, and logs it.
    pub fn record(&self, event: AuditEvent) -> Sequence {
        log::info!("audit: {event}");
        self.0.borrow_mut().push(event, unix_time_ms())
    }

    /// Entries whose sequence is higher than `after`.
    #[must_use]
    pub fn since(&self, after: Sequence) -> AuditPage {
        let ring = self.0.borrow();
        let first = ring
            .entries
            .partition_point(|entry| entry.sequence <= after);
        AuditPage {
            next_sequence: ring.next_sequence,
            oldest_sequence: ring.oldest_sequence(),
            entries: ring.entries.range(first..).cloned().collect(),
        }
    }
}

impl Ring {
    fn push(&mut self, event: AuditEvent, unix_time_ms: u64) -> Sequence {
        if self.entries.len() == self.capacity_entries {
            self.entries.pop_front();
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        self.entries.push_back(AuditEntry {
            sequence,
            unix_time_ms,
            event,
        });
        sequence
    }

    fn oldest_sequence(&self) -> Sequence {
        self.entries
            .front()
            .map_or(self.next_sequence, |entry| entry.sequence)
    }
}

/// A clock set before 1970 reads as 0: the order of entries is told by their
/// sequence, so nothing else hangs on it.
fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}
