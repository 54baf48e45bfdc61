//! Sending of calls on a connection, with a limit on what arrives before the head of a response.
//!
//! The HTTP library limits a head, and skips any number of interim responses before it. As long as
//! they arrive it reads on, so a server that sends nothing else would keep the whole process from
//! other work.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use bytes::Bytes;
use compio::buf::{BufResult, IoBufMut};
use compio::io::AsyncRead;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;

use super::HEAD_LIMIT_BYTES;

/// Most bytes that may arrive up to the end of a head: the head, interim responses, and what the
/// library reads beyond them at once.
const BYTES_TO_HEAD_LIMIT: usize = 2 * HEAD_LIMIT_BYTES;

/// Number of bytes that have arrived while a head is awaited; `None` while none is.
#[derive(Debug, Clone, Default)]
pub(super) struct AwaitedHead(Rc<Cell<Option<usize>>>);

impl AwaitedHead {
    /// Adds bytes that were read.
    fn record(&self, bytes: usize) -> io::Result<usize> {
        if let Some(read_bytes) = self.0.get() {
            let read_bytes = read_bytes + bytes;
            if read_bytes > BYTES_TO_HEAD_LIMIT {
                return Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    format!("no head of a final response in {read_bytes} bytes"),
                ));
            }
            self.0.set(Some(read_bytes));
        }
        Ok(bytes)
    }
}

/// Read half of a connection, which fails when a head does not end within the limit.
#[derive(Debug)]
pub(super) struct HeadLimitingReader<R> {
    inner: R,
    head: AwaitedHead,
}

impl<R> HeadLimitingReader<R> {
    pub(super) fn new(inner: R, head: AwaitedHead) -> Self {
        Self { inner, head }
    }
}

impl<R: AsyncRead> AsyncRead for HeadLimitingReader<R> {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let BufResult(read, buffer) = self.inner.read(buffer).await;
        BufResult(read.and_then(|bytes| self.head.record(bytes)), buffer)
    }
}

/// Sends calls on a connection, one at a time.
#[derive(Debug)]
pub(super) struct Sender {
    requests: SendRequest<Full<Bytes>>,
    head: AwaitedHead,
}

impl Sender {
    /// Sender on the connection whose reader shares `head`.
    pub(super) fn new(requests: SendRequest<Full<Bytes>>, head: AwaitedHead) -> Self {
        Self { requests, head }
    }

    /// Sends a call and waits for the head of its response.
    ///
    /// # Errors
    /// As for the library's function, and if the head does not end within the limit.
    pub(super) async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>> {
        self.head.0.set(Some(0));
        let response = self.requests.try_send_request(request).await;
        self.head.0.set(None);
        response
    }

    pub(super) fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    pub(super) fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}
