//! Connections to upstreams: opening, reuse, and what was written on them.
//!
//! A connection serves one call at a time. It is reused only after an answer
//! was read to its end, so a late byte of an abandoned answer can never reach
//! another call: an [`UpstreamResponse`] dropped early closes its connection. Calls that
//! may not repeat never take a used connection, because a connection closed by
//! its other end in the same moment would leave it open whether they ran.

mod answer;
mod idle;

use std::cell::Cell;
use std::collections::HashSet;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use socket2::{SockRef, TcpKeepalive};

use crate::Target;
use crate::error::{SendError, Step};
use crate::traffic::ControlTraffic;

pub use answer::UpstreamResponse;

use idle::IdleConnections;

type Sender = SendRequest<Full<Bytes>>;

/// Silence after which a connection is probed; the least that the kernel takes.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Probes without an answer after which a connection is given up.
const PROBES: u32 = 2;

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
    connect_timeout: Duration,
    idle: IdleConnections,
    control: Cell<ControlTraffic>,
}

impl Connections {
    /// No connection yet.
    #[must_use]
    pub fn new(options: ConnectionsOptions) -> Self {
        let idle = IdleConnections::new(options.idle_timeout, options.idle_limit);
        Self(Rc::new(Shared {
            connect_timeout: options.connect_timeout,
            idle,
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
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<UpstreamResponse, SendError> {
        self.send_if(target, request, deadline, || true).await
    }

    /// Sends a call that may be repeated, unless it is not wanted any more by the time
    /// that a connection is there for it.
    ///
    /// # Errors
    /// [`SendError::Withdrawn`] if `is_wanted` said no right before the writing, any other
    /// when no head arrived by `deadline`.
    pub async fn send_if(
        &self,
        target: &Target,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
        is_wanted: impl Fn() -> bool,
    ) -> Result<UpstreamResponse, SendError> {
        while let Some(mut sender) = self.0.idle.take(target.address) {
            if !is_wanted() {
                return Err(withdrawn(target));
            }
            let sent = within(
                deadline,
                target,
                Step::Head,
                sender.try_send_request(request),
            );
            match sent.await? {
                Ok(response) => return Ok(UpstreamResponse::new(self, target, sender, response)),
                Err(mut error) => match error.take_message() {
                    // Unwritten: the connection was closed while unused.
                    Some(unwritten) => request = unwritten,
                    None => return Err(broken(target, Step::Head, error.error())),
                },
            }
        }
        let opened = self.open(target, deadline).await?;
        opened.send_if(request, deadline, is_wanted).await
    }

    /// Opens a connection for one call of its own.
    ///
    /// # Errors
    /// [`SendError`] when it is not open by `deadline`; no call was written.
    pub async fn open(
        &self,
        target: &Target,
        deadline: Instant,
    ) -> Result<FreshConnection, SendError> {
        let sender = self.connect(target, deadline).await?;
        Ok(FreshConnection {
            sender,
            target: target.clone(),
            connections: self.clone(),
        })
    }

    async fn connect(&self, target: &Target, deadline: Instant) -> Result<Sender, SendError> {
        let limit = deadline.min(Instant::now() + self.0.connect_timeout);
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
        watch_for_silence(&stream);
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

    /// Short calls to engines since the start: reports, orders and cancels.
    #[must_use]
    pub fn control_traffic(&self) -> ControlTraffic {
        self.0.control.get()
    }

    /// Adds a short call to the counts.
    pub(crate) fn count_control(&self, call: ControlTraffic) {
        self.0.control.set(self.0.control.get() + call);
    }

    /// Addresses to which a connection is open that no call uses.
    #[must_use]
    pub fn idle_addresses(&self) -> HashSet<SocketAddr> {
        self.0.idle.addresses()
    }

    /// Closes the unused connections to addresses that `keep` does not name.
    pub fn retain_idle(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.0.idle.retain(keep);
    }
}

/// A connection that has carried nothing yet.
#[derive(Debug)]
pub struct FreshConnection {
    sender: Sender,
    target: Target,
    connections: Connections,
}

impl FreshConnection {
    /// Sends a call; the only one that this value can send.
    ///
    /// # Errors
    /// [`SendError`] when no head arrived by `deadline`.
    pub async fn send(
        self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<UpstreamResponse, SendError> {
        self.send_if(request, deadline, || true).await
    }

    /// Sends a call, unless it is not wanted any more; the only one that this value can send.
    ///
    /// # Errors
    /// [`SendError::Withdrawn`] if `is_wanted` says no, any other when no head arrived by
    /// `deadline`.
    pub async fn send_if(
        mut self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        is_wanted: impl Fn() -> bool,
    ) -> Result<UpstreamResponse, SendError> {
        if !is_wanted() {
            return Err(withdrawn(&self.target));
        }
        let sending = self.sender.try_send_request(request);
        match within(deadline, &self.target, Step::Head, sending).await? {
            Ok(response) => {
                let connections = &self.connections;
                Ok(UpstreamResponse::new(
                    connections,
                    &self.target,
                    self.sender,
                    response,
                ))
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

    /// Keeps the connection for a later call; whether it is still open.
    pub fn return_to_pool(self) -> bool {
        let is_open = !self.sender.is_closed();
        let idle = &self.connections.0.idle;
        idle.put(self.target.address, self.sender, None);
        is_open
    }

    /// Instance at the other end.
    #[must_use]
    pub fn target(&self) -> &Target {
        &self.target
    }
}

/// Has the kernel probe a connection whose other end says nothing.
///
/// A peer behind a partition or without power resets nothing; without probes
/// an answer would be awaited up to its deadline.
fn watch_for_silence(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(PROBE_PERIOD)
        .with_interval(PROBE_PERIOD)
        .with_retries(PROBES);
    let socket = SockRef::from(stream);
    let set = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(PROBE_PERIOD * PROBES)));
    if let Err(error) = set {
        log::debug!("upstream: connection without probes: {error}");
    }
}

fn withdrawn(target: &Target) -> SendError {
    SendError::Withdrawn {
        peer: target.instance.clone(),
    }
}

fn broken(target: &Target, step: Step, error: &(impl std::error::Error + ?Sized)) -> SendError {
    let cause = match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    SendError::ConnectionFailed {
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
