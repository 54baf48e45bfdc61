//! Connections to upstreams: opening, reuse, and what was written on them.
//!
//! A connection serves one call at a time. It is reused only after an answer
//! was read to its end, so a late byte of an abandoned answer can never reach
//! another call: an [`Answer`] dropped early closes its connection. Calls that
//! may not repeat never take a used connection, because a connection closed by
//! its other end in the same moment would leave it open whether they ran.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use futures_util::{Stream, StreamExt};
use http::{HeaderMap, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};

use crate::Target;
use crate::error::{SendError, Step};
use crate::traffic::ControlTraffic;

type Sender = SendRequest<Full<Bytes>>;

/// Settings of [`Connections`].
#[derive(Debug, Clone, Copy)]
pub struct ConnectionsOptions {
    /// Longest time to open a connection; 1 s by default.
    pub connect_timeout: Duration,
    /// Time after which an unused connection is closed; 5 s by default.
    pub idle_timeout: Duration,
    /// Unused connections kept for each address; 64 by default.
    pub idle_limit: usize,
}

impl Default for ConnectionsOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(5),
            idle_limit: 64,
        }
    }
}

/// Connections to all upstreams of a process. Clones share them.
#[derive(Debug, Clone)]
pub struct Connections(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    options: ConnectionsOptions,
    idle: RefCell<HashMap<SocketAddr, Vec<Idle>>>,
    control: Cell<ControlTraffic>,
}

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

impl Connections {
    /// No connection yet.
    #[must_use]
    pub fn new(options: ConnectionsOptions) -> Self {
        Self(Rc::new(Shared {
            options,
            idle: RefCell::default(),
            control: Cell::default(),
        }))
    }

    /// Sends a call that may be repeated, on a used connection if there is one.
    ///
    /// # Errors
    /// [`SendError`] when no head arrived by `deadline`.
    pub async fn send(
        &self,
        target: &Target,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Answer, SendError> {
        while let Some(mut sender) = self.take_idle(target.address) {
            let sent = within(
                deadline,
                target,
                Step::Head,
                sender.try_send_request(request),
            );
            match sent.await? {
                Ok(response) => return Ok(self.answer(target, sender, response)),
                Err(mut error) => match error.take_message() {
                    // Unwritten: the connection was closed while unused.
                    Some(unwritten) => request = unwritten,
                    None => return Err(broken(target, Step::Head, error.error())),
                },
            }
        }
        let opened = self.open(target, deadline).await?;
        opened.send(request, deadline).await
    }

    /// Opens a connection for one call of its own.
    ///
    /// # Errors
    /// [`SendError`] when it is not open by `deadline`; no call was written.
    pub async fn open(&self, target: &Target, deadline: Instant) -> Result<Opened, SendError> {
        let sender = self.connect(target, deadline).await?;
        Ok(Opened {
            sender,
            target: target.clone(),
            connections: self.clone(),
        })
    }

    fn answer(
        &self,
        target: &Target,
        sender: Sender,
        response: http::Response<Incoming>,
    ) -> Answer {
        let (head, body) = response.into_parts();
        Answer {
            status: head.status,
            headers: head.headers,
            target: target.clone(),
            body: Some(body),
            sender: Some(sender),
            connections: self.clone(),
        }
    }

    async fn connect(&self, target: &Target, deadline: Instant) -> Result<Sender, SendError> {
        let limit = deadline.min(Instant::now() + self.0.options.connect_timeout);
        let stream = within(
            limit,
            target,
            Step::Connect,
            TcpStream::connect(target.address),
        )
        .await?
        .map_err(|error| broken(target, Step::Connect, &error))?;
        // Without it a call of two writes waits for an acknowledgement; with
        // an error it still goes out.
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(HyperStream::new_plain(stream));
        let (sender, connection) = within(limit, target, Step::Connect, handshake)
            .await?
            .map_err(|error| broken(target, Step::Connect, &error))?;
        let address = target.address;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("upstream: connection to {address} ended: {error}");
            }
        })
        .detach();
        Ok(sender)
    }

    fn take_idle(&self, address: SocketAddr) -> Option<Sender> {
        let mut idle = self.0.idle.borrow_mut();
        let kept = idle.get_mut(&address)?;
        while let Some(entry) = kept.pop() {
            let fresh = entry.since.elapsed() < self.0.options.idle_timeout;
            if fresh && entry.sender.is_ready() {
                return Some(entry.sender);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, sender: Sender) {
        if sender.is_closed() {
            return;
        }
        let mut idle = self.0.idle.borrow_mut();
        let kept = idle.entry(address).or_default();
        let timeout = self.0.options.idle_timeout;
        kept.retain(|entry| entry.since.elapsed() < timeout && !entry.sender.is_closed());
        if kept.len() < self.0.options.idle_limit {
            kept.push(Idle {
                sender,
                since: Instant::now(),
            });
        }
    }

    /// Short calls to engines since the start: reports, orders and cancels.
    #[must_use]
    pub fn control_traffic(&self) -> ControlTraffic {
        self.0.control.get()
    }

    /// Adds a short call to the counts.
    pub(crate) fn count_control(&self, call: ControlTraffic) {
        self.0.control.set(self.0.control.get() + call);
    }

    /// Closes the unused connections to addresses that `keep` does not name.
    pub fn retain(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.0.idle.borrow_mut().retain(|address, _| keep(address));
    }
}

/// A connection that has carried nothing yet.
#[derive(Debug)]
pub struct Opened {
    sender: Sender,
    target: Target,
    connections: Connections,
}

impl Opened {
    /// Sends a call; the only one that this value can send.
    ///
    /// # Errors
    /// [`SendError`] when no head arrived by `deadline`.
    pub async fn send(
        mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<Answer, SendError> {
        let sending = self.sender.try_send_request(request);
        match within(deadline, &self.target, Step::Head, sending).await? {
            Ok(response) => {
                let connections = self.connections.clone();
                Ok(connections.answer(&self.target, self.sender, response))
            }
            Err(mut error) => {
                let step = match error.take_message() {
                    Some(_) => Step::Send,
                    None => Step::Head,
                };
                Err(broken(&self.target, step, error.error()))
            }
        }
    }

    /// Instance at the other end.
    #[must_use]
    pub fn target(&self) -> &Target {
        &self.target
    }
}

/// Head of an answer and the way to its body.
#[derive(Debug)]
pub struct Answer {
    /// Status of the answer.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    target: Target,
    body: Option<Incoming>,
    sender: Option<Sender>,
    connections: Connections,
}

impl Answer {
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
            Err(error) => Err(SendError::Broken {
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
            self.connections.put_idle(self.target.address, sender);
        }
    }
}

fn broken(target: &Target, step: Step, error: &(impl std::error::Error + ?Sized)) -> SendError {
    let cause = match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    SendError::Broken {
        step,
        peer: target.instance.clone(),
        cause,
    }
}

/// Waits for `future` until `deadline`.
pub(crate) async fn within<T>(
    deadline: Instant,
    target: &Target,
    step: Step,
    future: impl Future<Output = T>,
) -> Result<T, SendError> {
    compio::time::timeout_at(deadline, future)
        .await
        .map_err(|_elapsed| SendError::Timeout {
            step,
            peer: target.instance.clone(),
        })
}
