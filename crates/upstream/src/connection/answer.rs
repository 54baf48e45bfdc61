//! An answer, and its connection's way back among the unused ones.

use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::{Connections, Sender, broken, within};
use crate::Target;
use crate::error::{SendError, Step};

/// Header in which the other end announces how long it keeps a connection.
const KEEP_ALIVE: &str = "keep-alive";

/// Head of an answer and the way to its body.
///
/// Invariant: `sender` goes back only once the body was read to its end;
/// dropped before, it closes the connection.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    target: Target,
    body: Option<Incoming>,
    sender: Option<Sender>,
    connections: Connections,
}

impl UpstreamResponse {
    pub(super) fn new(
        connections: &Connections,
        target: &Target,
        sender: Sender,
        response: http::Response<Incoming>,
    ) -> Self {
        let (head, body) = response.into_parts();
        Self {
            status: head.status,
            headers: head.headers,
            target: target.clone(),
            body: Some(body),
            sender: Some(sender),
            connections: connections.clone(),
        }
    }

    /// Reads the body whole, up to `limit_bytes`.
    ///
    /// # Errors
    /// [`SendError`] when it breaks, is longer, or is not whole by `deadline`.
    pub async fn bytes(
        mut self,
        limit_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, SendError> {
        let Some(body) = self.body.take() else {
            return Ok(Bytes::new());
        };
        let limited = http_body_util::Limited::new(body, limit_bytes);
        let collected = within(deadline, &self.target, Step::Body, limited.collect()).await?;
        match collected {
            Ok(collected) => {
                self.release();
                Ok(collected.to_bytes())
            }
            Err(error) => Err(SendError::ConnectionFailed {
                step: Step::Body,
                peer: self.target.instance.clone(),
                cause: error.to_string(),
            }),
        }
    }

    /// Chunks of the body as they come.
    pub fn chunks(mut self) -> impl Stream<Item = Result<Bytes, SendError>> {
        let body = self.body.take();
        let chunks = body.map(|body| body.into_data_stream());
        futures_util::stream::unfold((self, chunks), |(mut answer, chunks)| async move {
            let mut chunks = chunks?;
            match chunks.next().await {
                Some(Ok(chunk)) => Some((Ok(chunk), (answer, Some(chunks)))),
                Some(Err(error)) => {
                    let error = broken(&answer.target, Step::Body, &error);
                    Some((Err(error), (answer, None)))
                }
                None => {
                    answer.release();
                    None
                }
            }
        })
    }

    /// Gives the connection back; only right after the body's end.
    fn release(&mut self) {
        if let Some(sender) = self.sender.take() {
            let announced = idle_timeout(&self.headers);
            self.connections
                .0
                .idle
                .put(self.target.address, sender, announced);
        }
    }
}

/// Time after which the other end closes an unused connection, if it says so.
fn idle_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE)?.to_str().ok()?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
