//! Counters of the traffic on the links, to check it against the control budget.

use std::cell::Cell;

/// Bytes that nng adds to a message: its length and the request's number.
pub(crate) const FRAMING_BYTES: u64 = 12;

/// Messages and bytes, including nng's framing but not TCP's headers.
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

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counters {
    /// Heartbeats and gossip: the control traffic.
    pub gossip: Traffic,
    /// Calls and their replies.
    pub calls: Traffic,
    /// Messages dropped because they could not be decoded.
    pub malformed: u64,
    /// Heartbeats without an answer in time.
    pub heartbeats_missed: u64,
    /// Records of this daemon as suspect or dead that it refuted.
    pub refutations: u64,
    /// Records in which another process claims this instance's name.
    pub duplicate_instances: u64,
    /// Links that started over because two views stayed different.
    pub resyncs: u64,
}

/// Counters that can be updated through a shared reference.
#[derive(Debug, Default)]
pub(crate) struct LiveCounters(Cell<Counters>);

impl LiveCounters {
    /// The present values.
    pub(crate) fn get(&self) -> Counters {
        self.0.get()
    }

    /// Updates the counters.
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
