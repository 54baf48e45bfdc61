//! Counts of what the links carried, for the control budget.

use std::cell::Cell;

/// Bytes that nng adds to a message: its length and the request's number.
pub(crate) const FRAMING_BYTES: u64 = 12;

/// Messages and bytes, nng's framing included and TCP's headers not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages sent.
    pub messages_sent: u64,
    /// Messages received.
    pub messages_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

/// Counts since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Heartbeats and gossip: the control traffic.
    pub gossip: Traffic,
    /// Calls and their replies.
    pub calls: Traffic,
    /// Messages dropped because they could not be read.
    pub malformed: u64,
    /// Heartbeats without an answer in time.
    pub heartbeats_missed: u64,
    /// Times that this daemon refuted a record of its own death or suspicion.
    pub refutations: u64,
    /// Records that claim this instance's name for another process.
    pub duplicate_instances: u64,
    /// Links that began anew because two views stayed different.
    pub resyncs: u64,
}

/// The counts while they grow.
#[derive(Debug, Default)]
pub(crate) struct LiveCounters(Cell<Counters>);

impl LiveCounters {
    /// The counts now.
    pub(crate) fn get(&self) -> Counters {
        self.0.get()
    }

    /// Changes the counts.
    pub(crate) fn update(&self, change: impl FnOnce(&mut Counters)) {
        let mut counters = self.0.get();
        change(&mut counters);
        self.0.set(counters);
    }
}

impl Traffic {
    /// Counts a message sent.
    pub(crate) fn sent(&mut self, bytes: usize) {
        self.messages_sent += 1;
        self.bytes_sent += bytes as u64 + FRAMING_BYTES;
    }

    /// Counts a message received.
    pub(crate) fn received(&mut self, bytes: usize) {
        self.messages_received += 1;
        self.bytes_received += bytes as u64 + FRAMING_BYTES;
    }
}
