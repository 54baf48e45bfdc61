//! Memory budget for the bodies of all requests in progress.
//!
//! A body is kept until its request has ended, because a retry sends it again, and
//! it may take several megabytes. So that many concurrent long prompts can't use up
//! the memory of a small instance, the memory of each body is reserved from a fixed
//! budget before its first byte is read.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mangofront_http::collect;

use crate::context::{Active, Entry};
use crate::error::EntryError;

/// Time after which a caller may retry when the budget is used up.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum time for which a discarded body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(500);

/// A body that was read, and the memory reserved for it.
#[derive(Debug)]
pub(crate) struct BufferedBody {
    /// Body as received.
    pub(crate) content: Bytes,
    _memory: BodyMemory,
}

/// Reads the body of a request within the limits of size, time and memory.
///
/// # Errors
/// The budget is used up, or the body is too large, too slow or incomplete.
pub(crate) async fn read(active: &Active, deadline: Instant) -> Result<BufferedBody, EntryError> {
    let entry = active.entry();
    let limits = &entry.parts().limits;
    let bytes_to_reserve = bytes_to_reserve(active.announced_bytes(), limits.body_limit_bytes);
    let mut memory = BodyMemory::reserve(entry, bytes_to_reserve)?;
    let Some(incoming) = active.take_body() else {
        return Ok(BufferedBody {
            content: Bytes::new(),
            _memory: memory,
        });
    };
    let body_deadline = deadline.min(Instant::now() + limits.body_timeout);
    let reading = collect(incoming, limits.body_limit_bytes);
    let content = match compio::time::timeout_at(body_deadline, reading).await {
        Ok(content) => content?,
        Err(_elapsed) => return Err(EntryError::BodyTimeout),
    };
    memory.shrink_to(content.len());
    Ok(BufferedBody {
        content,
        _memory: memory,
    })
}

/// Reads and discards the rest of a body for a limited time.
///
/// A connection that is closed with unread bytes is reset, and the caller may
/// receive the reset before the response that says why the request was refused.
pub(crate) async fn discard(entry: &Entry, mut incoming: Incoming) {
    let limit_bytes = entry.parts().limits.body_limit_bytes;
    let mut read_bytes = 0;
    let reading = async {
        while let Some(Ok(frame)) = incoming.frame().await {
            read_bytes += frame.data_ref().map_or(0, Bytes::len);
            if read_bytes > limit_bytes {
                break;
            }
        }
    };
    // If the body is not read in time, the connection may be reset.
    let _ = compio::time::timeout(DISCARD_TIMEOUT, reading).await;
}

/// Memory to reserve for a body: its announced length, or the limit if it has none.
///
/// A body whose announced length exceeds the limit is refused while it is read, as
/// no more than the limit is read.
fn bytes_to_reserve(announced_bytes: Option<u64>, limit_bytes: usize) -> usize {
    let announced = announced_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    announced.unwrap_or(limit_bytes).min(limit_bytes)
}

/// Memory reserved from the budget, released when dropped.
#[derive(Debug)]
struct BodyMemory {
    entry: Entry,
    bytes: usize,
}

impl BodyMemory {
    fn reserve(entry: &Entry, bytes: usize) -> Result<Self, EntryError> {
        let reserved_bytes = entry.bodies_bytes().get() + bytes;
        if reserved_bytes > entry.parts().limits.bodies_limit_bytes {
            return Err(EntryError::Refused {
                code: "bodies_full",
                reason: "the bodies of requests in progress take all memory set aside".to_owned(),
                retry_after: RETRY_AFTER,
            });
        }
        entry.bodies_bytes().set(reserved_bytes);
        Ok(Self {
            entry: entry.clone(),
            bytes,
        })
    }

    fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        let reserved = self.entry.bodies_bytes();
        reserved.set(reserved.get() - released);
        self.bytes -= released;
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let reserved = self.entry.bodies_bytes();
        reserved.set(reserved.get() - self.bytes);
    }
}
