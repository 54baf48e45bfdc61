//! Response bodies, and reading of request bodies up to a size limit.

use std::convert::Infallible;
use std::pin::Pin;

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Empty, Full, Limited, StreamBody};
use hyper::body::{Frame, Incoming};
use serde::Serialize;
use thiserror::Error;

use crate::connection::Aborted;

type BoxedFrames = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Aborted>>>>;

/// Body of a response: empty, one buffer, or a stream of chunks.
#[derive(Debug)]
pub struct Body(Inner);

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
        match &mut self.get_mut().0 {
            Inner::Buffer(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Inner::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Inner::Buffer(body) => body.is_end_stream(),
            Inner::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.0 {
            Inner::Buffer(body) => body.size_hint(),
            Inner::Stream(body) => hyper::body::Body::size_hint(body),
        }
    }
}

/// Reason why a request body was not read to its end.
#[derive(Debug, Error)]
pub enum BodyError {
    /// The body is longer than the limit.
    #[error("body is longer than {limit_bytes} bytes")]
    TooLarge {
        /// Limit that was exceeded, in bytes.
        limit_bytes: usize,
    },
    /// The connection failed before the end of the body.
    #[error("body broke off: {0}")]
    Interrupted(String),
}

/// Body without content.
#[must_use]
pub fn empty() -> Body {
    Body(Inner::Buffer(BoxBody::new(Empty::new())))
}

/// Body of one buffer.
pub fn full(content: impl Into<Bytes>) -> Body {
    Body(Inner::Buffer(BoxBody::new(Full::new(content.into()))))
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
    Body(Inner::Stream(StreamBody::new(FrameStream(Box::pin(
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

/// Reads a request's body to its end, up to `limit_bytes`.
///
/// # Errors
/// [`BodyError::TooLarge`] beyond the limit, [`BodyError::Interrupted`] when the
/// connection ends before the body.
pub async fn collect(body: Incoming, limit_bytes: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge { limit_bytes })
        }
        Err(error) => Err(BodyError::Interrupted(error.to_string())),
    }
}
