//! Response of an upstream, which returns its connection to the pool of idle
//! ones once the body is complete.

use std::ops::RangeInclusive;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use http::response::Parts;
use http::{HeaderMap, StatusCode, header};
use http_body_util::BodyExt;
use hyper::body::Body as _;
use mangofront_bodies::{BodyMemory, NoRoom, Purpose, ReadError, discard};

use super::sender::ResponseBody;
use super::{Connections, Sender, connection_failed, with_deadline};
use crate::Target;
use crate::error::{ConnectionFault, SendError, Step};

/// Header with which a server announces its timeout for idle connections.
const KEEP_ALIVE_HEADER: &str = "keep-alive";

/// Statuses of final responses. No call asks for a change of the protocol, so a 101 answers none; HTTP
/// defines none above.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// Head of a response, with access to its body.
///
/// Invariant: `sender` is returned to the pool only after the body was read to
/// its end. Dropping the response earlier closes the connection.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Status of the response.
    pub status: StatusCode,
    /// Headers of the response.
    pub headers: HeaderMap,
    target: Target,
    body: Option<ResponseBody>,
    sender: Option<Sender>,
    connections: Connections,
}

impl UpstreamResponse {
    /// Takes the head of a response.
    ///
    /// # Errors
    /// [`SendError::ConnectionFailed`] if its status is none of a final response, or its transfer
    /// coding is unknown; the connection is closed.
    pub(super) fn new(
        connections: &Connections,
        target: &Target,
        sender: Sender,
        response: http::Response<ResponseBody>,
    ) -> Result<Self, SendError> {
        let (head, body) = response.into_parts();
        check_head(&head).map_err(|cause| SendError::ConnectionFailed {
            step: Step::Head,
            fault: ConnectionFault::Other,
            peer: target.instance.clone(),
            cause,
        })?;
        Ok(Self {
            status: head.status,
            headers: head.headers,
            target: target.clone(),
            body: Some(body),
            sender: Some(sender),
            connections: connections.clone(),
        })
    }

    /// Whether the end of the body can be told from a connection that was closed early.
    ///
    /// Without a length and chunks a body ends with its connection, so one that is cut off by the
    /// end of the upstream's process looks complete.
    #[must_use]
    pub fn has_framing(&self) -> bool {
        let has_no_body = matches!(
            self.status,
            StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
        );
        has_no_body
            || self.headers.contains_key(header::CONTENT_LENGTH)
            || self.headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Reads the body to its end, up to `limit_bytes`.
    ///
    /// # Errors
    /// [`SendError`] when the connection fails, the body exceeds the limit, there is no memory for
    /// it, or it is not complete by `deadline`.
    pub async fn bytes(
        mut self,
        purpose: Purpose,
        limit_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, SendError> {
        let Some(mut body) = self.body.take() else {
            return Ok(Bytes::new());
        };
        let memory = self.body_memory().clone();
        let admitting = memory.admit(purpose, body.size_hint().exact(), limit_bytes);
        let reader = match with_deadline(deadline, &self.target, Step::Body, admitting).await {
            Ok(admitted) => admitted.map_err(|error| self.read_failed(error))?,
            Err(_late) => return Err(self.read_failed(ReadError::NoRoom(NoRoom))),
        };
        let reading = reader.collect(&mut body);
        let read = with_deadline(deadline, &self.target, Step::Body, reading).await?;
        let body = read.map_err(|error| self.read_failed(error))?;
        self.release();
        Ok(body)
    }

    /// Reads the body like [`Self::bytes`], and checks that one without framing is complete.
    ///
    /// The end of the server's process closes its connections in order too, so such a body is
    /// complete only if the server takes a new connection after it.
    ///
    /// # Errors
    /// As for [`Self::bytes`], and when the server takes no connection.
    pub async fn complete_bytes(
        self,
        purpose: Purpose,
        limit_bytes: usize,
        deadline: Instant,
    ) -> Result<Bytes, SendError> {
        let unframed =
            (!self.has_framing()).then(|| (self.connections.clone(), self.target.clone()));
        let body = self.bytes(purpose, limit_bytes, deadline).await?;
        let Some((connections, target)) = unframed else {
            return Ok(body);
        };
        let cause = match connections.open(&target, deadline).await {
            Ok(opened) => match opened.settle().await {
                true => return Ok(body),
                false => "the server closes new connections".to_owned(),
            },
            Err(error) => error.to_string(),
        };
        Err(SendError::ConnectionFailed {
            step: Step::Body,
            fault: ConnectionFault::Other,
            peer: target.instance,
            cause: format!("the response has no length, and may be cut: {cause}"),
        })
    }

    /// Reads the body to its end, up to `limit_bytes`, and keeps nothing of it. After that its
    /// connection can be reused.
    pub async fn discard(mut self, limit_bytes: usize, deadline: Instant) {
        let Some(mut body) = self.body.take() else {
            return;
        };
        let discarding = discard(&mut body, limit_bytes);
        let is_read = with_deadline(deadline, &self.target, Step::Body, discarding).await;
        if matches!(is_read, Ok(true)) {
            self.release();
        }
    }

    fn read_failed(&self, error: ReadError) -> SendError {
        let peer = self.target.instance.clone();
        match error {
            ReadError::NoRoom(_) => SendError::NoRoom { peer },
            error @ (ReadError::TooLarge { .. } | ReadError::Interrupted(_)) => {
                SendError::ConnectionFailed {
                    step: Step::Body,
                    fault: ConnectionFault::Other,
                    peer,
                    cause: error.to_string(),
                }
            }
        }
    }

    /// Memory for bodies.
    #[must_use]
    pub fn body_memory(&self) -> &BodyMemory {
        &self.connections.0.body_memory
    }

    /// Streams the body, one chunk at a time.
    pub fn chunks(mut self) -> impl Stream<Item = Result<Bytes, SendError>> {
        let body = self.body.take();
        let chunks = body.map(|body| body.into_data_stream());
        futures_util::stream::unfold((self, chunks), |(mut response, chunks)| async move {
            let mut chunks = chunks?;
            match chunks.next().await {
                Some(Ok(chunk)) => Some((Ok(chunk), (response, Some(chunks)))),
                Some(Err(error)) => {
                    let error = connection_failed(&response.target, Step::Body, &error);
                    Some((Err(error), (response, None)))
                }
                None => {
                    response.release();
                    None
                }
            }
        })
    }

    /// Returns the connection to the pool. Must only be called after the body was
    /// read to its end.
    fn release(&mut self) {
        if let Some(sender) = self.sender.take() {
            let keep_alive_timeout = keep_alive_timeout(&self.headers);
            self.connections
                .0
                .idle
                .put(self.target.address, sender, keep_alive_timeout);
        }
    }
}

/// Checks what the HTTP library accepts, and a caller can't use.
///
/// # Errors
/// What is wrong with the head.
fn check_head(head: &Parts) -> Result<(), String> {
    let status = head.status.as_u16();
    if !FINAL_STATUSES.contains(&status) {
        return Err(format!("{status} is no status of a final response"));
    }
    // The library reads a body with any other coding to the end of its connection, and decodes none
    // but the last of several.
    let mut codings = head.headers.get_all(header::TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => Ok(()),
        (Some(coding), None) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => Ok(()),
        (Some(coding), _) => Err(format!("unknown transfer coding {coding:?}")),
    }
}

/// Time after which the server closes an idle connection, if it announces one.
fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    let value = headers.get(KEEP_ALIVE_HEADER)?.to_str().ok()?;
    let mut parts = value.split(',').map(str::trim);
    let seconds = parts.find_map(|part| part.strip_prefix("timeout="))?;
    seconds.parse().ok().map(Duration::from_secs)
}
