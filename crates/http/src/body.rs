//! Response bodies of the servers and bounded reading of request bodies.

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

type LocalStream = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, Aborted>>>>;

/// Body of a response: nothing, one buffer, or a stream of chunks.
#[derive(Debug)]
pub struct Body(Kind);

#[derive(Debug)]
enum Kind {
    Buffer(BoxBody<Bytes, Infallible>),
    Stream(StreamBody<DebugStream>),
}

struct DebugStream(LocalStream);

impl std::fmt::Debug for DebugStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Stream")
    }
}

impl Stream for DebugStream {
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
            Kind::Buffer(body) => Pin::new(body)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Kind::Stream(body) => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.0 {
            Kind::Buffer(body) => body.is_end_stream(),
            Kind::Stream(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match &self.0 {
            Kind::Buffer(body) => body.size_hint(),
            Kind::Stream(body) => hyper::body::Body::size_hint(body),
        }
    }
}

/// Reason why a request body was not read whole.
#[derive(Debug, Error)]
pub enum BodyError {
    /// Body longer than its limit in bytes.
    #[error("body is longer than {limit_bytes} bytes")]
    TooLarge {
        /// Limit that was passed, in bytes.
        limit_bytes: usize,
    },
    /// Connection broke before the body's end.
    #[error("body broke off: {0}")]
    Interrupted(String),
}

/// Body without content.
#[must_use]
pub fn empty() -> Body {
    Body(Kind::Buffer(BoxBody::new(Empty::new())))
}

/// Body of one buffer.
pub fn full(content: impl Into<Bytes>) -> Body {
    Body(Kind::Buffer(BoxBody::new(Full::new(content.into()))))
}

/// Body that yields the chunks of `chunks` as they come.
///
/// Dropped when the reader goes away, so a drop guard inside the stream sees
/// the end of its connection.
pub fn stream(chunks: impl Stream<Item = Bytes> + 'static) -> Body {
    stream_until_abort(chunks.map(Ok))
}

/// Like [`stream`], for chunks that may end in an abort.
///
/// After an [`Aborted`] the connection is closed without the body's proper end,
/// so that its reader can tell that the answer is not whole.
pub fn stream_until_abort(chunks: impl Stream<Item = Result<Bytes, Aborted>> + 'static) -> Body {
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    Body(Kind::Stream(StreamBody::new(DebugStream(Box::pin(frames)))))
}

/// JSON response with `status`.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    // The types serialised here are this workspace's own: no map with a
    // non-string key is among them, so writing them can't fail.
    let content = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full(content));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

/// Reads a request's body whole, up to `limit_bytes`.
///
/// # Errors
/// [`BodyError::TooLarge`] past the limit, [`BodyError::Interrupted`] when the
/// connection ends early.
pub async fn collect(body: Incoming, limit_bytes: usize) -> Result<Bytes, BodyError> {
    match Limited::new(body, limit_bytes).collect().await {
        Ok(collected) => Ok(collected.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(BodyError::TooLarge { limit_bytes })
        }
        Err(error) => Err(BodyError::Interrupted(error.to_string())),
    }
}
