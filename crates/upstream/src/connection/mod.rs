//! Connections to upstreams: opening, reuse, and whether a call was written.
//!
//! A connection serves one call at a time. It is reused only after the response
//! was read to its end, so that no late byte of an abandoned response can reach
//! another call: dropping an [`UpstreamResponse`] early closes its connection.
//! Calls that must not be repeated never use an idle connection: if the upstream
//! closed it at the same moment, it would be unknown whether the call ran.

mod idle;
mod response;
mod sender;

use std::cell::Cell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::{TcpSocket, TcpStream};
use cyper_core::HyperStream;
use http::Request;
use http_body_util::Full;
use hyper::client::conn::http1;
use mangofront_bodies::BodyMemory;
use mangofront_http::{ShortWrites, report_failed_writes};
use socket2::{SockRef, TcpKeepalive};

use crate::Target;
use crate::error::{ConnectionFault, SendError, Step};
use crate::traffic::ControlTraffic;

pub use response::UpstreamResponse;

use idle::IdleConnections;
use sender::{LimitingReader, Sender, UnusedBytes};

/// Time without data after which the kernel sends keepalive probes, and the
/// interval between them; 1 s is the kernel's minimum.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Time after which a new connection shows whether its server is exiting: it may still accept a
/// connection and close it immediately.
const SETTLING_TIME: Duration = Duration::from_millis(50);

/// Largest head of a response, in bytes.
const HEAD_LIMIT_BYTES: usize = 64 * 1024;

/// Settings of [`Connections`].
#[derive(Debug, Clone)]
pub struct ConnectionsOptions {
    /// Maximum time to open a connection; 1 s by default.
    pub connect_timeout: Duration,
    /// Time after which an idle connection is no longer reused; 5 s by default.
    pub idle_timeout: Duration,
    /// Maximum number of idle connections per address; 64 by default.
    pub idle_limit: usize,
    /// Address to connect from; chosen by the operating system by default.
    pub local_ip: Option<IpAddr>,
    /// Memory for the bodies of responses; unbounded by default.
    pub body_memory: BodyMemory,
}

impl Default for ConnectionsOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_secs(5),
            idle_limit: 64,
            local_ip: None,
            body_memory: BodyMemory::unbounded(),
        }
    }
}

/// Connections of a process to all its upstreams. Clones share them.
#[derive(Debug, Clone)]
pub struct Connections(Rc<Shared>);

#[derive(Debug)]
struct Shared {
    connect_timeout: Duration,
    local_ip: Option<IpAddr>,
    body_memory: BodyMemory,
    idle: IdleConnections,
    control: Cell<ControlTraffic>,
}

impl Connections {
    /// Creates an empty pool of connections.
    #[must_use]
    pub fn new(options: ConnectionsOptions) -> Self {
        let idle = IdleConnections::new(options.idle_timeout, options.idle_limit);
        Self(Rc::new(Shared {
            connect_timeout: options.connect_timeout,
            local_ip: options.local_ip,
            body_memory: options.body_memory,
            idle,
            control: Cell::default(),
        }))
    }

    /// Sends a call that may be repeated, on an idle connection if there is one.
    ///
    /// # Errors
    /// [`SendError`] when no response head arrived by `deadline`.
    pub async fn send(
        &self,
        target: &Target,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<UpstreamResponse, SendError> {
        self.send_if(target, request, deadline, || true).await
    }

    /// Sends a call that may be repeated, unless it is no longer wanted once a
    /// connection is available.
    ///
    /// # Errors
    /// [`SendError::Withdrawn`] if `is_wanted` returned false right before the call
    /// would have been written, any other when no response head arrived by
    /// `deadline`.
    pub async fn send_if(
        &self,
        target: &Target,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        is_wanted: impl Fn() -> bool,
    ) -> Result<UpstreamResponse, SendError> {
        let connect_deadline = deadline;
        self.send_prepared(target, request, connect_deadline, deadline, |_| is_wanted())
            .await
    }

    /// Like [`Self::send_if`]; a new connection has to be open by `connect_deadline`, and
    /// `prepare` may change the call right before it is written.
    ///
    /// # Errors
    /// As for [`Self::send_if`].
    pub async fn send_prepared(
        &self,
        target: &Target,
        mut request: Request<Full<Bytes>>,
        connect_deadline: Instant,
        deadline: Instant,
        prepare: impl Fn(&mut Request<Full<Bytes>>) -> bool,
    ) -> Result<UpstreamResponse, SendError> {
        while let Some(mut sender) = self.0.idle.take(target.address) {
            if !prepare(&mut request) {
                return Err(withdrawn(target));
            }
            let sent = with_deadline(
                deadline,
                target,
                Step::Head,
                sender.try_send_request(request),
            );
            match sent.await? {
                Ok(response) => return UpstreamResponse::new(self, target, sender, response),
                Err(mut error) => match error.take_message() {
                    // Not written: the connection was closed while it was idle.
                    Some(unsent) => request = unsent,
                    None => return Err(connection_failed(target, Step::Head, error.error())),
                },
            }
        }
        let opened = self.open(target, connect_deadline.min(deadline)).await?;
        opened.send_prepared(request, deadline, prepare).await
    }

    /// Opens a new connection for one call.
    ///
    /// # Errors
    /// [`SendError`] when the connection is not open by `deadline`; no call was
    /// written.
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
        let stream = with_deadline(
            limit,
            target,
            Step::Connect,
            self.connect_socket(target.address),
        )
        .await?
        .map_err(|error| {
            let fault = ConnectionFault::from(&error);
            connection_failed_by(fault, target, Step::Connect, &error)
        })?;
        // Without this option a call of two writes waits for an acknowledgement.
        // An error is ignored, as the call can be sent all the same.
        let _ = stream.set_nodelay(true);
        enable_keepalive(&stream);
        let (reader, writer) = stream.into_split();
        let unused = UnusedBytes::default();
        let reader = LimitingReader::new(reader, unused.clone());
        let halves = report_failed_writes(reader, writer);
        let handshake = http1::Builder::new()
            .max_buf_size(HEAD_LIMIT_BYTES)
            .handshake(ShortWrites::new(HyperStream::new_plain(halves)));
        let (requests, connection) = with_deadline(limit, target, Step::Connect, handshake)
            .await?
            .map_err(|error| connection_failed(target, Step::Connect, &error))?;
        let address = target.address;
        compio::runtime::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!("upstream: connection to {address} ended: {error}");
            }
        })
        .detach();
        Ok(Sender::new(requests, unused))
    }

    async fn connect_socket(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let Some(local_ip) = self.0.local_ip else {
            return TcpStream::connect(address).await;
        };
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4().await?,
            SocketAddr::V6(_) => TcpSocket::new_v6().await?,
        };
        socket.bind(SocketAddr::new(local_ip, 0)).await?;
        socket.connect(address).await
    }

    /// Traffic of the control calls to engines since the start of the process:
    /// reports, orders and cancellations.
    #[must_use]
    pub fn control_traffic(&self) -> ControlTraffic {
        self.0.control.get()
    }

    /// Adds a control call to the counts.
    pub(crate) fn count_control(&self, call: ControlTraffic) {
        self.0.control.set(self.0.control.get() + call);
    }

    /// Sets the maximum number of idle connections of single addresses, where it is below that of
    /// all, and closes those beyond it.
    pub fn set_idle_limits(&self, limits: HashMap<SocketAddr, usize>) {
        self.0.idle.set_limits(limits);
    }

    /// Addresses to which there is an idle open connection.
    #[must_use]
    pub fn idle_addresses(&self) -> HashSet<SocketAddr> {
        self.0.idle.addresses()
    }

    /// Closes the idle connections to all addresses for which `keep` returns false.
    pub fn retain_idle(&self, keep: impl Fn(&SocketAddr) -> bool) {
        self.0.idle.retain(keep);
    }
}

/// An open connection on which no call was sent yet.
#[derive(Debug)]
pub struct FreshConnection {
    sender: Sender,
    target: Target,
    connections: Connections,
}

impl FreshConnection {
    /// Sends a call and consumes this handle.
    ///
    /// # Errors
    /// [`SendError`] when no response head arrived by `deadline`.
    pub async fn send(
        self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Result<UpstreamResponse, SendError> {
        self.send_if(request, deadline, || true).await
    }

    /// Sends a call, unless it is no longer wanted, and consumes this handle.
    ///
    /// # Errors
    /// [`SendError::Withdrawn`] if `is_wanted` returns false, any other when no
    /// response head arrived by `deadline`.
    pub async fn send_if(
        self,
        request: Request<Full<Bytes>>,
        deadline: Instant,
        is_wanted: impl Fn() -> bool,
    ) -> Result<UpstreamResponse, SendError> {
        self.send_prepared(request, deadline, |_| is_wanted()).await
    }

    /// Like [`Self::send_if`]; `prepare` may also change the call right before it is
    /// written.
    ///
    /// # Errors
    /// As for [`Self::send_if`].
    pub async fn send_prepared(
        mut self,
        mut request: Request<Full<Bytes>>,
        deadline: Instant,
        prepare: impl Fn(&mut Request<Full<Bytes>>) -> bool,
    ) -> Result<UpstreamResponse, SendError> {
        if !prepare(&mut request) {
            return Err(withdrawn(&self.target));
        }
        let sending = self.sender.try_send_request(request);
        match with_deadline(deadline, &self.target, Step::Head, sending).await? {
            Ok(response) => {
                UpstreamResponse::new(&self.connections, &self.target, self.sender, response)
            }
            Err(mut error) => {
                let step = match error.take_message() {
                    Some(_) => Step::Send,
                    None => Step::Head,
                };
                Err(connection_failed(&self.target, step, error.error()))
            }
        }
    }

    /// Adds the connection to the idle ones; returns whether it is still open.
    pub fn return_to_pool(self) -> bool {
        let is_open = !self.sender.is_closed();
        let idle = &self.connections.0.idle;
        idle.put(self.target.address, self.sender, None);
        is_open
    }

    /// Adds the connection to the idle ones once it has been open for a moment; returns whether it
    /// still is.
    pub async fn settle(self) -> bool {
        compio::time::sleep(SETTLING_TIME).await;
        self.return_to_pool()
    }

    /// Instance to which the connection was opened.
    #[must_use]
    pub fn target(&self) -> &Target {
        &self.target
    }
}

/// Enables TCP keepalive probes and a limit on unacknowledged data.
///
/// A peer that is partitioned off or has lost power sends no reset; without
/// probes a call would wait for its response until its deadline.
fn enable_keepalive(stream: &TcpStream) {
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let socket = SockRef::from(stream);
    let result = socket
        .set_tcp_keepalive(&probes)
        .and_then(|()| socket.set_tcp_user_timeout(Some(KEEPALIVE_INTERVAL * KEEPALIVE_PROBES)));
    if let Err(error) = result {
        log::debug!("upstream: TCP keepalive could not be enabled: {error}");
    }
}

fn withdrawn(target: &Target) -> SendError {
    SendError::Withdrawn {
        peer: target.instance.clone(),
    }
}

fn connection_failed(
    target: &Target,
    step: Step,
    error: &(impl std::error::Error + ?Sized),
) -> SendError {
    connection_failed_by(ConnectionFault::Other, target, step, error)
}

fn connection_failed_by(
    fault: ConnectionFault,
    target: &Target,
    step: Step,
    error: &(impl std::error::Error + ?Sized),
) -> SendError {
    let cause = match error.source() {
        Some(source) => format!("{error}: {source}"),
        None => error.to_string(),
    };
    SendError::ConnectionFailed {
        step,
        fault,
        peer: target.instance.clone(),
        cause,
    }
}

/// Awaits `future` until `deadline`; [`SendError::Timeout`] at `step` after it.
pub(crate) async fn with_deadline<T>(
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
