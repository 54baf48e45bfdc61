//! Ring buffer of the latest audit entries.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{SystemTime, UNIX_EPOCH};

use serde::{Deserialize, Serialize};

use crate::event::AuditEvent;

/// Number of an entry: consecutive within one process, starting at 1.
pub type Sequence = u64;

/// One entry of the audit trail.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Sequence number of the entry.
    pub sequence: Sequence,
    /// Time at which it was recorded, in milliseconds since the Unix epoch.
    pub unix_time_ms: u64,
    /// The recorded event.
    #[serde(flatten)]
    pub event: AuditEvent,
}

/// Entries after a given sequence number.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AuditPage {
    /// Sequence number of the next entry to be recorded.
    pub next_sequence: Sequence,
    /// Sequence number of the oldest retained entry, or `next_sequence` if there is
    /// none. A reader that asks for entries after a number lower than
    /// `oldest_sequence - 1` has missed entries.
    #[serde(default)]
    pub oldest_sequence: Sequence,
    /// The entries, oldest first.
    pub entries: Vec<AuditEntry>,
}

/// The audit trail of a daemon; a clone shares the entries.
#[derive(Debug, Clone)]
pub struct AuditLog(Rc<RefCell<Ring>>);

/// Invariant: `entries` has consecutive sequence numbers that end at
/// `next_sequence - 1`, and never more than `capacity_entries` elements.
#[derive(Debug)]
struct Ring {
    capacity_entries: usize,
    next_sequence: Sequence,
    entries: VecDeque<AuditEntry>,
}

impl AuditLog {
    /// Creates a trail that retains the latest `capacity_entries` entries, but at least one.
    #[must_use]
    pub fn new(capacity_entries: usize) -> Self {
        Self(Rc::new(RefCell::new(Ring {
            capacity_entries: capacity_entries.max(1),
            next_sequence: 1,
            entries: VecDeque::new(),
        })))
    }

    /// Records `event` with the current time, logs it, and returns its sequence number.
    pub fn record(&self, event: AuditEvent) -> Sequence {
        log::info!("audit: {event}");
        self.0.borrow_mut().push(event, unix_time_ms())
    }

    /// Returns the retained entries whose sequence number is greater than `after`.
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

/// Current time in milliseconds since the Unix epoch; 0 if the clock is set before it.
/// The order of entries follows from their sequence numbers, so nothing depends on the
/// time.
fn unix_time_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| {
            u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
        })
}
