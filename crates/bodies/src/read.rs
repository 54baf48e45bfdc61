//! Reading of a body to its end.

use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::future::{Either, select};
use http_body::Body;
use http_body_util::BodyExt;
use thiserror::Error;

use crate::buffer::Buffer;
use crate::memory::{NoRoom, Reservation};

/// Why a body was not read to its end.
#[derive(Debug, Error)]
pub enum ReadError {
    /// The body is longer than its limit.
    #[error("body is longer than {limit_bytes} bytes")]
    TooLarge {
        /// Limit that the body exceeds, in bytes.
        limit_bytes: usize,
    },
    /// There is no memory left for it.
    #[error(transparent)]
    NoRoom(#[from] NoRoom),
    /// The connection failed before the end of the body.
    #[error("body broke off: {0}")]
    Interrupted(String),
}

/// Longest time for which a body waits for room: another process may have some.
const ROOM_TIMEOUT: Duration = Duration::from_secs(5);

/// Time until which a request that is due at `deadline` may wait for room, so that there is as much
/// time left to run it.
#[must_use]
pub fn room_deadline(now: Instant, deadline: Instant) -> Instant {
    let time_left = deadline.saturating_duration_since(now);
    now + ROOM_TIMEOUT.min(time_left / 2)
}

/// Reads one body, for which there is room.
#[derive(Debug)]
pub struct BodyReader {
    pub(crate) reservation: Reservation,
    /// Length of the body, if it is known.
    pub(crate) announced_bytes: Option<usize>,
    pub(crate) limit_bytes: usize,
}

impl BodyReader {
    /// Reads `body` to its end.
    ///
    /// # Errors
    /// [`ReadError`]; what was read of the body is freed, and the rest can be discarded.
    pub async fn collect<B>(mut self, body: &mut B) -> Result<Bytes, ReadError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::error::Error,
    {
        let mut buffer = self.empty_buffer()?;
        while let Some(piece) = self.next_piece(body).await? {
            let length = buffer.len() + piece.len();
            if length > self.limit_bytes {
                let limit_bytes = self.limit_bytes;
                return Err(ReadError::TooLarge { limit_bytes });
            }
            if length > buffer.capacity() {
                let capacity = buffer.next_capacity(length, self.limit_bytes);
                self.reservation.grow_to(capacity)?;
                buffer.grow(capacity).map_err(NoRoom::from)?;
            }
            buffer.push(&piece);
            self.reservation.record_progress();
        }
        Ok(self.keep(buffer))
    }

    fn empty_buffer(&self) -> Result<Buffer, NoRoom> {
        let capacity = self.announced_bytes.unwrap_or_default();
        Ok(Buffer::with_capacity(capacity)?)
    }

    /// The next bytes of the body; `None` at its end.
    async fn next_piece<B>(&self, body: &mut B) -> Result<Option<Bytes>, ReadError>
    where
        B: Body<Data = Bytes> + Unpin,
        B::Error: std::error::Error,
    {
        loop {
            let frame = match select(pin!(self.reservation.ended()), body.frame()).await {
                Either::Left((no_room, _)) => return Err(no_room.into()),
                Either::Right((frame, _)) => frame,
            };
            match frame {
                Some(Ok(frame)) => {
                    // Trailers are not kept.
                    if let Ok(piece) = frame.into_data() {
                        return Ok(Some(piece));
                    }
                }
                Some(Err(error)) => return Err(ReadError::Interrupted(with_cause(&error))),
                None => return Ok(None),
            }
        }
    }

    /// The complete body, which counts until its last reference is dropped.
    fn keep(mut self, mut buffer: Buffer) -> Bytes {
        if buffer.is_empty() {
            return Bytes::new();
        }
        self.reservation.keep(buffer.shrink());
        Bytes::from_owner(KeptBody {
            buffer,
            _reservation: self.reservation,
        })
    }
}

/// Message of an error and of what caused it.
fn with_cause(error: &impl std::error::Error) -> String {
    match error.source() {
        Some(cause) => format!("{error}: {cause}"),
        None => error.to_string(),
    }
}

/// A complete body and its part of the memory.
struct KeptBody {
    buffer: Buffer,
    _reservation: Reservation,
}

impl AsRef<[u8]> for KeptBody {
    fn as_ref(&self) -> &[u8] {
        self.buffer.as_ref()
    }
}

/// Reads `body` without keeping any of it, up to `limit_bytes`; returns whether it was read to its
/// end.
pub async fn discard<B>(body: &mut B, limit_bytes: usize) -> bool
where
    B: Body<Data = Bytes> + Unpin,
{
    let mut read_bytes = 0;
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return false;
        };
        read_bytes += frame.data_ref().map_or(0, Bytes::len);
        if read_bytes > limit_bytes {
            return false;
        }
    }
    true
}
