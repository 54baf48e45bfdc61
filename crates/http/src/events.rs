//! Server-sent events read from a stream of chunks.

use eventsource_stream::Eventsource;
use futures_util::{Stream, StreamExt};
use thiserror::Error;

/// One server-sent event.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Event {
    /// Value of the `id` field, empty when there is none.
    pub id: String,
    /// Value of the `data` fields.
    pub data: String,
}

/// Reason why an event stream ended early.
#[derive(Debug, Error)]
pub enum EventsError {
    /// Connection broke.
    #[error("event stream broke: {0}")]
    Interrupted(String),
    /// Bytes are no event stream.
    #[error("event stream is malformed: {0}")]
    Malformed(String),
}

/// Events of a stream of chunks.
///
/// # Errors
/// Each item may be an [`EventsError`]; the stream is of no use after one.
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
