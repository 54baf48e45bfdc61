//! Memory for the bodies of all requests in progress.
//!
//! A body is kept until its request has ended, since another attempt sends it
//! again, and one body may be several megabytes. So that many long prompts at
//! once can't take all memory of a small instance, each body takes its share
//! of a fixed budget before its first byte is read.

use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use mangofront_http::collect;

use crate::context::{Active, Entry};
use crate::error::EntryError;

/// Time after which a caller may come back when the budget is used up.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Longest time for which an unwanted body is read.
const DISCARD_LIMIT: Duration = Duration::from_millis(500);

/// A body that was read, and its share of the budget.
#[derive(Debug)]
pub(crate) struct HeldBody {
    /// The body as it came.
    pub(crate) content: Bytes,
    _share: Share,
}

/// Reads the body of a request within the limits of size, time and memory.
///
/// # Errors
/// The budget is used up, or the body is too large, too slow or broken off.
pub(crate) async fn read(active: &Active, deadline: Instant) -> Result<HeldBody, EntryError> {
    let entry = active.entry();
    let limits = &entry.parts().limits;
    let wanted_bytes = wanted_bytes(active.announced_bytes(), limits.body_limit_bytes);
    let mut share = Share::take(entry, wanted_bytes)?;
    let Some(incoming) = active.take_body() else {
        return Ok(HeldBody {
            content: Bytes::new(),
            _share: share,
        });
    };
    let until = deadline.min(Instant::now() + limits.body_timeout);
    let reading = collect(incoming, limits.body_limit_bytes);
    let content = match compio::time::timeout_at(until, reading).await {
        Ok(content) => content?,
        Err(_elapsed) => return Err(EntryError::BodyTimeout),
    };
    share.shrink_to(content.len());
    Ok(HeldBody {
        content,
        _share: share,
    })
}

/// Reads what comes of a body that nobody wants, for a short while.
///
/// A connection closed with unread bytes is reset, and the reset may overtake
/// the answer that says why the request was refused.
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
    // What is left after that time is left to the reset.
    let _ = compio::time::timeout(DISCARD_LIMIT, reading).await;
}

/// What to set aside for a body: its announced length, or the most it may have.
///
/// A body that is announced too long is refused by the read, which takes no
/// more than the limit.
fn wanted_bytes(announced_bytes: Option<u64>, limit_bytes: usize) -> usize {
    let announced = announced_bytes.and_then(|bytes| usize::try_from(bytes).ok());
    announced.unwrap_or(limit_bytes).min(limit_bytes)
}

/// A part of the budget, given back when dropped.
#[derive(Debug)]
struct Share {
    entry: Entry,
    bytes: usize,
}

impl Share {
    fn take(entry: &Entry, bytes: usize) -> Result<Self, EntryError> {
        let taken_bytes = entry.bodies_bytes().get() + bytes;
        if taken_bytes > entry.parts().limits.bodies_limit_bytes {
            return Err(EntryError::Refused {
                code: "bodies_full",
                reason: "the bodies of requests in progress take all memory set aside".to_owned(),
                retry_after: RETRY_AFTER,
            });
        }
        entry.bodies_bytes().set(taken_bytes);
        Ok(Self {
            entry: entry.clone(),
            bytes,
        })
    }

    fn shrink_to(&mut self, bytes: usize) {
        let given_back = self.bytes.saturating_sub(bytes);
        let taken = self.entry.bodies_bytes();
        taken.set(taken.get() - given_back);
        self.bytes -= given_back;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let taken = self.entry.bodies_bytes();
        taken.set(taken.get() - self.bytes);
    }
}
