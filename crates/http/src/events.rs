//! Parsing of server-sent events.

use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use thiserror::Error;

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
    /// The connection failed.
    #[error("event stream broke: {0}")]
    Interrupted(String),
    /// The bytes are not an event stream.
    #[error("event stream is malformed: {0}")]
    Malformed(String),
}

/// Parses a stream of chunks into events.
///
/// # Errors
/// An item may be an [`EventsError`]; the stream yields nothing useful after one.
pub fn events<B, E>(
    chunks: impl Stream<Item = Result<B, E>>,
) -> impl Stream<Item = Result<Event, EventsError>>
where
    B: AsRef<[u8]>,
    E: std::fmt::Display,
{
    chunks.eventsource().map(|item| match item {
        Ok(event) => Ok(Event {
            id: event.id,
            data: event.data,
        }),
        Err(eventsource_stream::EventStreamError::Transport(error)) => {
            Err(EventsError::Interrupted(error.to_string()))
        }
        Err(error) => Err(EventsError::Malformed(error.to_string())),
    })
}
