//! Parsing of server-sent events.
//!
//! The parser keeps what it has read of an event until its end, so an event without end is cut off
//! at a limit.

use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use mangofront_bodies::{BodyMemory, Purpose, Reservation};
use thiserror::Error;

/// Size of the largest event.
pub const EVENT_LIMIT_BYTES: usize = 1024 * 1024;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, or an empty string.
    pub id: String,
    /// Value of the `data` fields, joined by line breaks.
    pub data: String,
}

/// Reason why an event stream ended early.
#[derive(Debug, Error)]
pub enum EventsError {
    /// The connection failed, or an event exceeds [`EVENT_LIMIT_BYTES`].
    #[error("event stream broke: {0}")]
    Interrupted(String),
    /// The bytes are not an event stream.
    #[error("event stream is malformed: {0}")]
    Malformed(String),
}

/// Parses a stream of chunks into events.
///
/// An event that is not complete takes memory of `pending_event`.
///
/// # Errors
/// An item may be an [`EventsError`]; the stream yields nothing useful after one.
pub fn events_within<B, E>(
    chunks: impl Stream<Item = Result<B, E>>,
    mut pending_event: Reservation,
) -> impl Stream<Item = Result<Event, EventsError>>
where
    B: AsRef<[u8]>,
    E: std::fmt::Display,
{
    let mut size = EventSize::default();
    let limited = chunks.map(move |chunk| {
        let chunk = chunk.map_err(|error| error.to_string())?;
        let largest_bytes = size.observe(chunk.as_ref());
        if largest_bytes > EVENT_LIMIT_BYTES {
            return Err(format!("an event exceeds {EVENT_LIMIT_BYTES} bytes"));
        }
        pending_event.shrink_to(largest_bytes);
        let kept = pending_event.grow_to(largest_bytes);
        kept.map_err(|no_room| no_room.to_string())?;
        Ok(chunk)
    });
    limited.eventsource().map(|item| match item {
        Ok(event) => Ok(Event {
            id: event.id,
            data: event.data,
        }),
        Err(eventsource_stream::EventStreamError::Transport(error)) => {
            Err(EventsError::Interrupted(error))
        }
        Err(error) => Err(EventsError::Malformed(error.to_string())),
    })
}

/// Like [`events_within`], for chunks of a process that is trusted with the memory of this one.
///
/// # Errors
/// As for [`events_within`].
pub fn events<B, E>(
    chunks: impl Stream<Item = Result<B, E>>,
) -> impl Stream<Item = Result<Event, EventsError>>
where
    B: AsRef<[u8]>,
    E: std::fmt::Display,
{
    let memory = BodyMemory::unbounded();
    events_within(chunks, memory.reserve_growing(Purpose::Stream))
}

/// Size of the event that is being read.
#[derive(Debug, Default)]
struct EventSize {
    bytes: usize,
    is_in_line: bool,
    /// Whether the last byte was a carriage return, of which a line feed may be the second half.
    is_after_return: bool,
}

impl EventSize {
    /// Adds bytes; returns the largest size that an event had meanwhile.
    fn observe(&mut self, bytes: &[u8]) -> usize {
        let mut largest = self.bytes;
        for byte in bytes {
            match byte {
                b'\n' if self.is_after_return => {}
                // An empty line ends an event.
                b'\n' | b'\r' if !self.is_in_line => self.bytes = 0,
                b'\n' | b'\r' => self.is_in_line = false,
                _ => {
                    self.is_in_line = true;
                    self.bytes += 1;
                }
            }
            self.is_after_return = *byte == b'\r';
            largest = largest.max(self.bytes);
        }
        largest
    }
}
