//! Response bodies, and reading of request bodies.

use std::convert::Infallible;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{Empty, Full, StreamBody};
use hyper::body::{Body as _, Frame, Incoming};
use mangofront_bodies::{BodyMemory, Purpose, ReadError};
use serde::Serialize;

use crate::connection::Aborted;
use crate::metered_heads::RequestGuard;

type BoxedFrames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Aborted>>>>;

/// Body of a response: empty, one buffer, or a stream of chunks.
#[derive(Debug)]
pub struct Body {
    inner: Inner,
    /// Dropped with the body.
    _guard: Option<RequestGuard>,
}

impl Body {
    fn new(inner: Inner) -> Self {
        Self {
            inner,
            _guard: None,
        }
    }

    /// Holds `guard` until the body is written or dropped.
    pub(crate) fn with_guard(mut self, guard: RequestGuard) -> Self {
        self._guard = Some(guard);
        self
    }
}

#[derive(Debug)]
enum Inner {
    Buffer(BoxBody<Bytes, Infallible>),
    Stream(StreamBody<FrameStream>),
}

struct FrameStream(BoxedFrames);

impl std::fmt::Debug for FrameStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Stream")
    }
}

impl Stream for FrameStream {
    type Item = Result<Frame<Bytes>, Aborted>;

    fn poll_next(
        mut self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Self::Item>> {
        self.0.as_mut().poll_next(cx)
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Aborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<Frame<Bytes>, Aborted>>> {
        match &mut self.get_mut().inner {
            Inner::Buffer(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Inner::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.inner {
            Inner::Buffer(body) => body.is_end_stream(),
            Inner::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.inner {
            Inner::Buffer(body) => body.size_hint(),
            Inner::Stream(body) => hyper::body::Body::size_hint(body),
        }
    }
}

/// Body without content.
#[must_use]
pub fn empty() -> Body {
    Body::new(Inner::Buffer(BoxBody::new(Empty::new())))
}

/// Body of one buffer.
pub fn full(content: impl Into<Bytes>) -> Body {
    Body::new(Inner::Buffer(BoxBody::new(Full::new(content.into()))))
}

/// Streaming body that sends each chunk as `chunks` yields it.
///
/// The stream is dropped when the client disconnects, so a drop guard inside it
/// detects the end of the connection.
pub fn stream(chunks: impl Stream<Item = Bytes> + 'static) -> Body {
    stream_until_abort(chunks.map(Ok))
}

/// Like [`stream`], for a stream that may end with an abort.
///
/// After an [`Aborted`] the connection is closed without terminating the body,
/// so that the client can tell that the response is incomplete.
pub fn stream_until_abort(chunks: impl Stream<Item = Result<Bytes, Aborted>> + 'static) -> Body {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    Body::new(Inner::Stream(StreamBody::new(FrameStream(Box::pin(
        frames,
    )))))
}

/// JSON response of `value` with `status`.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    // Only types of this workspace are serialised here. None of them has a map
    // with non-string keys, so serialisation can't fail.
    let content = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Reads a request's body of up to `limit_bytes` to its end, as soon as there is room for it.
///
/// # Errors
/// [`ReadError`]; nothing of the body is kept.
pub async fn read_body(
    memory: &BodyMemory,
    purpose: Purpose,
    mut body: Incoming,
    limit_bytes: usize,
) -> Result<Bytes, ReadError> {
    let announced_bytes = body.size_hint().exact();
    let reader = memory.admit(purpose, announced_bytes, limit_bytes).await?;
    reader.collect(&mut body).await
}

/// Reads a body like [`read_body`], for a server that trusts its callers with its memory.
///
/// # Errors
/// As for [`read_body`].
pub async fn collect(body: Incoming, limit_bytes: usize) -> Result<Bytes, ReadError> {
    let memory = BodyMemory::unbounded();
    read_body(&memory, Purpose::Request, body, limit_bytes).await
}
