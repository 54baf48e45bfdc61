//! Bodies of callers' requests.
//!
//! The body of a request that is refused is never kept. It is discarded as it arrives, as a
//! connection that is closed with unread bytes is reset, and its caller may not get the answer. A
//! body that is too long or too slow for that ends its connection.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::{Body as _, Incoming};
use mangofront_bodies::{BodyMemory, Purpose, ReadError, discard, room_deadline};

use crate::refusal::Refusal;

/// Time after which a caller may retry when bodies take all memory set aside; by then many of them
/// have been answered.
const RETRY_AFTER_NO_ROOM: Duration = Duration::from_millis(500);

/// Longest time for which a body is discarded.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest body that is discarded, as a multiple of the largest that is allowed.
const DISCARD_LIMIT_FACTOR: usize = 2;

/// Reads the body of a request that can be served until `deadline`.
pub(crate) async fn read(
    memory: &BodyMemory,
    body: &mut Incoming,
    limit_bytes: usize,
    deadline: Instant,
) -> Result<Bytes, Refusal> {
    let admitting = memory.admit(Purpose::Request, body.size_hint().exact(), limit_bytes);
    let reader =
        match compio::time::timeout_at(room_deadline(Instant::now(), deadline), admitting).await {
            Ok(admitted) => admitted.map_err(refusal)?,
            Err(_late) => return Err(no_room()),
        };
    match compio::time::timeout_at(deadline, reader.collect(body)).await {
        Ok(read) => read.map_err(refusal),
        Err(_late) => Err(Refusal::BodyLate),
    }
}

/// Reads the rest of the body of a refused request; returns whether it came to its end.
pub(crate) async fn discard_rest(body: &mut Incoming, limit_bytes: usize) -> bool {
    if body.is_end_stream() {
        return true;
    }
    let limit_bytes = limit_bytes.saturating_mul(DISCARD_LIMIT_FACTOR);
    let discarding = discard(body, limit_bytes);
    let is_read = compio::time::timeout(DISCARD_TIMEOUT, discarding).await;
    is_read.unwrap_or(false)
}

fn refusal(error: ReadError) -> Refusal {
    match error {
        ReadError::TooLarge { .. } => Refusal::BodyTooLarge,
        ReadError::NoRoom(_) => no_room(),
        ReadError::Interrupted(_) => Refusal::BodyBroken,
    }
}

fn no_room() -> Refusal {
    Refusal::NotRun {
        reason: "no_memory_for_body",
        retry_after: RETRY_AFTER_NO_ROOM,
    }
}
