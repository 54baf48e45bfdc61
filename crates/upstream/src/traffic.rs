//! Traffic counters of the control calls to engines, for the control budget.
//!
//! HTTP heads are counted with their size in HTTP/1.1; TCP and IP headers are not
//! counted.

use std::ops::Add;

use http::{HeaderMap, Request, StatusCode};

/// Bytes of a head that are neither method, path, status nor header: separators,
/// version and line ends.
const HEAD_OVERHEAD_BYTES: u64 = "  HTTP/1.1\r\n\r\n".len() as u64;

/// Bytes of a header line besides its name and value.
const HEADER_OVERHEAD_BYTES: u64 = ": \r\n".len() as u64;

/// Bytes of the status digits and the space after them.
const STATUS_BYTES: u64 = 4;

/// Number of calls, and bytes in both directions.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlTraffic {
    /// Calls that got a response.
    pub calls: u64,
    /// Bytes of the requests.
    pub bytes_sent: u64,
    /// Bytes of the responses.
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

/// Size of a request with a body of `body_bytes`, in bytes.
pub(crate) fn request_bytes<B>(request: &Request<B>, body_bytes: usize) -> u64 {
    let path = request.uri().path_and_query();
    let line = request.method().as_str().len() + path.map_or(0, |path| path.as_str().len());
    HEAD_OVERHEAD_BYTES + (line + body_bytes) as u64 + header_bytes(request.headers())
}

/// Size of a response's head, in bytes.
pub(crate) fn response_head_bytes(status: StatusCode, headers: &HeaderMap) -> u64 {
    let reason = status.canonical_reason().unwrap_or_default().len() as u64;
    HEAD_OVERHEAD_BYTES + STATUS_BYTES + reason + header_bytes(headers)
}

fn header_bytes(headers: &HeaderMap) -> u64 {
    let size = |(name, value): (&http::HeaderName, &http::HeaderValue)| {
        (name.as_str().len() + value.len()) as u64 + HEADER_OVERHEAD_BYTES
    };
    headers.iter().map(size).sum()
}
