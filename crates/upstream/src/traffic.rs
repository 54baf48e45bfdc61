//! Counts of the short calls to engines, for the control budget.
//!
//! HTTP heads are counted as they are written by HTTP/1.1, TCP's and IP's
//! headers are not.

use std::ops::Add;

use http::{HeaderMap, Request, StatusCode};

/// Bytes of a head's first line besides the method and path, and of its end.
const HEAD_BASE_BYTES: u64 = "  HTTP/1.1\r\n\r\n".len() as u64;

/// Bytes of a header's separators.
const HEADER_BASE_BYTES: u64 = ": \r\n".len() as u64;

/// Digits of a status and the space after it.
const STATUS_BYTES: u64 = 4;

/// Calls and bytes, in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Calls that got an answer.
    pub calls: u64,
    /// Bytes of the requests.
    pub bytes_sent: u64,
    /// Bytes of the answers.
    pub bytes_received: u64,
}

impl Add for ControlTraffic {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self {
            calls: self.calls + other.calls,
            bytes_sent: self.bytes_sent + other.bytes_sent,
            bytes_received: self.bytes_received + other.bytes_received,
        }
    }
}

/// Bytes of a request with `body_bytes` of body.
pub(crate) fn request_bytes<B>(request: &Request<B>, body_bytes: usize) -> u64 {
    let path = request.uri().path_and_query();
    let line = request.method().as_str().len() + path.map_or(0, |path| path.as_str().len());
    HEAD_BASE_BYTES + (line + body_bytes) as u64 + header_bytes(request.headers())
}

/// Bytes of an answer's head.
pub(crate) fn answer_head_bytes(status: StatusCode, headers: &HeaderMap) -> u64 {
    let reason = status.canonical_reason().unwrap_or_default().len() as u64;
    HEAD_BASE_BYTES + STATUS_BYTES + reason + header_bytes(headers)
}

fn header_bytes(headers: &HeaderMap) -> u64 {
    let one = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        (name.as_str().len() + value.len()) as u64 + HEADER_BASE_BYTES
    };
    headers.iter().map(one).sum()
}
