//! Sending of calls on a connection, with a limit on bytes of which nothing is passed on.
//!
//! The HTTP library skips any number of interim responses before a head, and of zeros before the
//! size of a chunk. As long as they arrive it reads on, so a server that sends nothing else would
//! keep the whole process from other work.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use bytes::Bytes;
use compio::buf::{BufResult, IoBufMut};
use compio::io::AsyncRead;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::TrySendError;
use hyper::client::conn::http1::SendRequest;

use super::HEAD_LIMIT_BYTES;

/// Most bytes that may arrive before something of them is passed on: a head, what frames a body, and
/// what the library reads beyond them at once.
const UNUSED_LIMIT_BYTES: usize = 2 * HEAD_LIMIT_BYTES;

/// Number of bytes that have arrived since a head or a part of a body was passed on.
#[derive(Debug, Clone, Default)]
pub(super) struct UnusedBytes(Rc<Cell<usize>>);

impl UnusedBytes {
    /// Adds bytes that were read.
    fn record(&self, bytes: usize) -> io::Result<usize> {
        let unused_bytes = self.0.get().saturating_add(bytes);
        self.0.set(unused_bytes);
        match unused_bytes > UNUSED_LIMIT_BYTES {
            true => Err(io::Error::new(
                io::ErrorKind::InvalidData,
                format!("no head or part of a body in {unused_bytes} bytes"),
            )),
            false => Ok(bytes),
        }
    }

    /// Records that something was passed on.
    fn reset(&self) {
        self.0.set(0);
    }
}

/// Read half of a connection, which fails when too many bytes arrive of which nothing is passed on.
#[derive(Debug)]
pub(super) struct LimitingReader<R> {
    inner: R,
    unused: UnusedBytes,
}

impl<R> LimitingReader<R> {
    pub(super) fn new(inner: R, unused: UnusedBytes) -> Self {
        Self { inner, unused }
    }
}

impl<R: AsyncRead> AsyncRead for LimitingReader<R> {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let BufResult(read, buffer) = self.inner.read(buffer).await;
        BufResult(read.and_then(|bytes| self.unused.record(bytes)), buffer)
    }
}

/// Body of a response, which counts what it passes on.
#[derive(Debug)]
pub(super) struct ResponseBody {
    inner: Incoming,
    unused: UnusedBytes,
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = Pin::new(&mut self.inner).poll_frame(cx);
        if frame.is_ready() {
            self.unused.reset();
        }
        frame
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

/// Sends calls on a connection, one at a time.
#[derive(Debug)]
pub(super) struct Sender {
    requests: SendRequest<Full<Bytes>>,
    unused: UnusedBytes,
}

impl Sender {
    /// Sender on the connection whose reader shares `unused`.
    pub(super) fn new(requests: SendRequest<Full<Bytes>>, unused: UnusedBytes) -> Self {
        Self { requests, unused }
    }

    /// Sends a call and waits for the head of its response.
    ///
    /// # Errors
    /// As for the library's function, and if too many bytes arrive without a head.
    pub(super) async fn try_send_request(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, TrySendError<Request<Full<Bytes>>>> {
        self.unused.reset();
        let response = self.requests.try_send_request(request).await?;
        self.unused.reset();
        let unused = self.unused.clone();
        Ok(response.map(|inner| ResponseBody { inner, unused }))
    }

    pub(super) fn is_ready(&self) -> bool {
        self.requests.is_ready()
    }

    pub(super) fn is_closed(&self) -> bool {
        self.requests.is_closed()
    }
}
