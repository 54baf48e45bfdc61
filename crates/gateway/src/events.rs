//! Splits a stream of chunks into complete events.
//!
//! An upstream may stop in the middle of an event, and another one may resume after the
//! last complete event. Only complete events are forwarded, unchanged, and the id of the
//! last one is recorded.

use bytes::{Bytes, BytesMut};
use mangofront_bodies::Buffer;
use memchr::memmem;

use crate::dialect::EventId;

/// End of an event with LF line endings.
const END: &[u8] = b"\n\n";

/// End of an event with CRLF line endings.
const END_CRLF: &[u8] = b"\r\n\r\n";

/// Field that holds an event's id.
const ID_FIELD: &[u8] = b"id:";

/// Field without which an event is a comment.
const DATA_FIELD: &[u8] = b"data";

/// Largest event, in bytes; a stream with a longer one is rejected.
const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// Splits chunks into complete events.
#[derive(Debug, Default)]
pub struct EventFramer {
    pending: Buffer,
    /// Part of `pending` in which no event ends.
    searched_bytes: usize,
    last_id: Option<EventId>,
    /// Whether an event without an id followed the one with the last id.
    has_trailing_event: bool,
    /// Whether the stream is still before the event with the last id.
    is_repeating: bool,
}

/// Complete events from one chunk.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct FramedEvents {
    /// Bytes of the events, unchanged.
    pub bytes: Bytes,
    /// Number of events.
    pub count: usize,
    /// Number of those that are comments, without an id and data.
    pub comments: usize,
}

impl EventFramer {
    /// Creates a framer that resumes after the event `last_id`.
    #[must_use]
    pub fn after(last_id: Option<EventId>) -> Self {
        Self {
            last_id,
            ..Self::default()
        }
    }

    /// Creates a framer of a stream that starts somewhere before the event `last_id`.
    #[must_use]
    pub fn before(last_id: Option<EventId>) -> Self {
        Self {
            is_repeating: true,
            ..Self::after(last_id)
        }
    }

    /// Adds a chunk; returns the events that it completes.
    ///
    /// Events whose id was already forwarded are dropped, and so are those without an id
    /// between them. Returns `None` if an event exceeds the size limit.
    pub fn push(&mut self, chunk: &[u8]) -> Option<FramedEvents> {
        self.pending.extend(chunk).ok()?;
        let mut begin = 0;
        let mut complete = BytesMut::new();
        let mut count = 0;
        let mut comments = 0;
        while let Some(end) = self.event_end(begin) {
            let event = &self.pending.as_ref()[begin..end];
            begin = end;
            let id = event_id(event);
            if id.is_some() {
                self.is_repeating = id < self.last_id;
            }
            if self.is_repeating || (id.is_some() && id == self.last_id) {
                continue;
            }
            let has_data = has_data(event);
            self.last_id = id.or(self.last_id);
            self.has_trailing_event = id.is_none() && (has_data || self.has_trailing_event);
            count += 1;
            comments += usize::from(id.is_none() && !has_data);
            complete.extend_from_slice(event);
        }
        if begin > 0 {
            self.pending.remove_first(begin);
        }
        self.searched_bytes = self.pending.len();
        (self.pending.len() <= EVENT_LIMIT_BYTES).then(|| FramedEvents {
            bytes: complete.freeze(),
            count,
            comments,
        })
    }

    /// End of the complete event that begins at `begin`.
    fn event_end(&self, begin: usize) -> Option<usize> {
        let searched_bytes = self.searched_bytes.saturating_sub(begin);
        let end = event_end(&self.pending.as_ref()[begin..], searched_bytes);
        end.map(|end| begin + end)
    }

    /// Id of the last event that was forwarded.
    #[must_use]
    pub fn last_id(&self) -> Option<EventId> {
        self.last_id
    }

    /// Whether the last forwarded event has an id, so that another stream can go on after it.
    #[must_use]
    pub fn ends_with_id(&self) -> bool {
        !self.has_trailing_event
    }

    /// Whether the stream is still before the last event that was forwarded.
    #[must_use]
    pub fn is_repeating(&self) -> bool {
        self.is_repeating
    }

    /// Memory that the event takes which is not complete yet, in bytes.
    #[must_use]
    pub fn pending_bytes(&self) -> usize {
        self.pending.capacity()
    }

    /// Whether the last chunk ended in the middle of an event.
    #[must_use]
    pub fn is_mid_event(&self) -> bool {
        !self.pending.is_empty()
    }
}

/// Length of the first complete event, of which the first `searched_bytes` contain no end.
fn event_end(bytes: &[u8], searched_bytes: usize) -> Option<usize> {
    // An end may begin before what was searched ends.
    let from = searched_bytes.saturating_sub(END_CRLF.len() - 1);
    let bytes = bytes.get(from..)?;
    let plain = memmem::find(bytes, END).map(|at| at + END.len());
    let with_returns = memmem::find(bytes, END_CRLF).map(|at| at + END_CRLF.len());
    let end = match (plain, with_returns) {
        (Some(one), Some(other)) => Some(one.min(other)),
        (one, other) => one.or(other),
    };
    end.map(|end| from + end)
}

fn event_id(event: &[u8]) -> Option<EventId> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let value = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}

fn has_data(event: &[u8]) -> bool {
    let mut lines = event.split(|byte| *byte == b'\n');
    lines.any(|line| line.starts_with(DATA_FIELD))
}
