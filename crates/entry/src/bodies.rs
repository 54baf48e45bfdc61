//! Reading of request bodies within the limits of size, time and memory.
//!
//! A body is kept until its request has ended, because a retry sends it again, and it may take
//! several megabytes.

use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::body::Incoming;
use mangofront_bodies::{Purpose, ReadError, room_deadline};

use crate::context::{Active, Entry};
use crate::error::EntryError;

/// Time after which a caller may retry when bodies take all memory set aside.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time for which a discarded body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest part of a body that is discarded, as a multiple of the limit on bodies.
const DISCARD_LIMIT_FACTOR: usize = 2;

/// Reads the body of a request within the limits of size, time and memory.
///
/// # Errors
/// There is no memory for it in time, or the body is too large, too slow or incomplete.
pub(crate) async fn read(active: &Active, deadline: Instant) -> Result<Bytes, EntryError> {
    let parts = active.entry().parts();
    let limits = &parts.limits;
    let body_deadline = deadline.min(Instant::now() + limits.body_timeout);
    let admitting = parts.body_memory.admit(
        Purpose::Request,
        active.announced_bytes(),
        limits.body_limit_bytes,
    );
    let room_deadline = room_deadline(Instant::now(), body_deadline);
    let reader = match compio::time::timeout_at(room_deadline, admitting).await {
        Ok(Ok(reader)) => reader,
        Ok(Err(ReadError::NoRoom(_))) | Err(_) => return Err(no_room()),
        Ok(Err(error)) => return Err(error.into()),
    };
    let Some(mut incoming) = active.take_body() else {
        return Ok(Bytes::new());
    };
    let reading = reader.collect(&mut incoming);
    let read = compio::time::timeout_at(body_deadline, reading).await;
    let refused = match read {
        Ok(Ok(content)) => return Ok(content),
        Ok(Err(ReadError::NoRoom(_))) => no_room(),
        Ok(Err(error)) => error.into(),
        Err(_elapsed) => return Err(EntryError::BodyTimeout),
    };
    discard(active.entry(), incoming).await;
    Err(refused)
}

fn no_room() -> EntryError {
    EntryError::Refused {
        code: "bodies_full",
        reason: "the bodies of requests in progress take all memory set aside".to_owned(),
        retry_after: RETRY_AFTER,
    }
}

/// Reads and discards the rest of a body for a limited time.
///
/// A connection that is closed with unread bytes is reset, and the caller may
/// receive the reset before the response that says why the request was refused.
pub(crate) async fn discard(entry: &Entry, mut incoming: Incoming) {
    let limit_bytes = entry.parts().limits.body_limit_bytes;
    let limit_bytes = limit_bytes.saturating_mul(DISCARD_LIMIT_FACTOR);
    let discarding = mangofront_bodies::discard(&mut incoming, limit_bytes);
    // If the body is not read in time, the connection may be reset.
    let _ = compio::time::timeout(DISCARD_TIMEOUT, discarding).await;
}
