//! Whole events out of a stream of chunks.
//!
//! An upstream may stop in the middle of an event, and another one may go on
//! after the last whole one. So only whole events are passed on, as they are,
//! and the number of the last one is kept.

use bytes::{Bytes, BytesMut};
use memchr::memmem;

use crate::dialect::EventId;

/// End of an event.
const END: &[u8] = b"\n\n";

/// End of an event whose lines end in a carriage return too.
const END_CRLF: &[u8] = b"\r\n\r\n";

/// Field that holds an event's number.
const ID_FIELD: &[u8] = b"id:";

/// Largest event, in bytes; a longer one is no event stream.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Cuts chunks into whole events.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: BytesMut,
    last_id: Option<EventId>,
}

/// Whole events out of one chunk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FramedEvents {
    /// The events' bytes, as they came.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
}

impl EventFramer {
    /// A framer that goes on after the event with `last_id`.
    #[must_use]
    pub fn after(last_id: Option<EventId>) -> Self {
        Self {
            pending: BytesMut::new(),
            last_id,
        }
    }

    /// Takes a chunk; returns the events that are whole by now.
    ///
    /// Events with a number that was passed on already are left out. `None`
    /// when an event is too long to be one.
    pub fn push(&mut self, chunk: &[u8]) -> Option<FramedEvents> {
        self.pending.extend_from_slice(chunk);
        let mut whole = BytesMut::new();
        let mut count = 0;
        while let Some(end) = event_end(&self.pending) {
            let event = self.pending.split_to(end);
            let id = event_id(&event);
            if id.is_some() && id <= self.last_id {
                continue;
            }
            self.last_id = id.or(self.last_id);
            count += 1;
            whole.unsplit(event);
        }
        (self.pending.len() <= EVENT_LIMIT_BYTES).then(|| FramedEvents {
            bytes: whole.freeze(),
            count,
        })
    }

    /// Number of the last event that was passed on.
    #[must_use]
    pub fn last_id(&self) -> Option<EventId> {
        self.last_id
    }

    /// Whether the last chunk ended in the middle of an event.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Length of the first whole event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let plain = memmem::find(bytes, END).map(|at| at + END.len());
    let with_returns = memmem::find(bytes, END_CRLF).map(|at| at + END_CRLF.len());
    match (plain, with_returns) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    }
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
