//! nng sockets: one that listens and one for each peer that is dialled.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use nng::options::protocol::reqrep::ResendTime;
use nng::options::transport::tcp::{BoundPort, KeepAlive, NoDelay};
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Context, Dialer, DialerBuilder, Listener, ListenerBuilder};
use nng::{Message, Protocol, Socket};

use crate::completion::{Completions, Operation};
use crate::error::{LinkError, LinkStep, PeersError};

/// Largest message accepted, in bytes: a configuration of 1 MB and its header fit in.
const MESSAGE_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// Bound of the first pause between dial attempts; nng draws each pause at random below it.
const RECONNECT_MIN: Duration = Duration::from_millis(100);

/// Limit up to which the bound of the pause doubles.
const RECONNECT_MAX: Duration = Duration::from_secs(5);

/// The listening socket.
#[derive(Debug)]
pub(crate) struct Server {
    socket: Socket,
    address: SocketAddr,
    completions: Rc<Completions>,
    _listener: Listener,
}

impl Server {
    /// Listens on an address; port 0 selects a free one.
    pub(crate) fn bind(listen: SocketAddr) -> Result<Self, PeersError> {
        let socket = Socket::new(Protocol::Rep0).map_err(PeersError::Socket)?;
        socket
            .set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)
            .map_err(PeersError::Socket)?;
        let listen_error = |cause| PeersError::Listen {
            address: listen,
            cause,
        };
        let builder = ListenerBuilder::new(&socket, &url(listen)).map_err(listen_error)?;
        builder.set_opt::<NoDelay>(true).map_err(listen_error)?;
        builder.set_opt::<KeepAlive>(true).map_err(listen_error)?;
        let listener = builder.start().map_err(|(_, cause)| listen_error(cause))?;
        let port = match listen.port() {
            0 => listener.get_opt::<BoundPort>().map_err(listen_error)?,
            port => port,
        };
        Ok(Self {
            socket,
            address: SocketAddr::new(listen.ip(), port),
            completions: Completions::start(),
            _listener: listener,
        })
    }

    /// Address listened on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// A context that handles one request at a time.
    pub(crate) fn context(&self) -> nng::Result<Context> {
        Context::new(&self.socket)
    }

    /// A new operation that isn't running.
    pub(crate) fn operation(&self) -> nng::Result<Operation> {
        self.completions.operation()
    }

    /// A connection whose results are delivered by the same task.
    pub(crate) fn dial(&self, address: SocketAddr) -> nng::Result<Connection> {
        Connection::open(address, Rc::clone(&self.completions))
    }

    /// Closes every connection and frees the address.
    pub(crate) fn close(&self) {
        self.socket.close();
    }
}

/// The dialling socket towards one peer.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: Socket,
    completions: Rc<Completions>,
    _dialer: Dialer,
}

impl Connection {
    /// Starts to dial; a request sent before the connection is established waits for it.
    fn open(address: SocketAddr, completions: Rc<Completions>) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)?;
        // Without a resend time nng never sends a request twice. If the connection breaks,
        // the request fails with a reset instead.
        socket.set_opt::<ResendTime>(None)?;
        socket.set_opt::<ReconnectMinTime>(Some(RECONNECT_MIN))?;
        socket.set_opt::<ReconnectMaxTime>(Some(RECONNECT_MAX))?;
        let builder = DialerBuilder::new(&socket, &url(address))?;
        builder.set_opt::<NoDelay>(true)?;
        builder.set_opt::<KeepAlive>(true)?;
        let dialer = builder.start(true).map_err(|(_, cause)| cause)?;
        Ok(Self {
            socket,
            completions,
            _dialer: dialer,
        })
    }

    /// Sends one request and receives its reply within the timeout.
    pub(crate) async fn request(
        &self,
        request: &[u8],
        timeout: Duration,
    ) -> Result<Message, LinkError> {
        let open = LinkError::at(LinkStep::Open);
        let context = Context::new(&self.socket).map_err(&open)?;
        let operation = self.completions.operation().map_err(&open)?;
        operation.set_timeout(Some(timeout)).map_err(&open)?;
        let started = Instant::now();
        operation
            .send(&context, Message::from(request))
            .await
            .map_err(LinkError::at(LinkStep::Send))?;
        let receive = LinkError::at(LinkStep::Receive);
        let left = timeout
            .checked_sub(started.elapsed())
            .filter(|left| !left.is_zero())
            .ok_or_else(|| receive(nng::Error::TimedOut))?;
        operation.set_timeout(Some(left)).map_err(&receive)?;
        operation.receive(&context).await.map_err(receive)
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.socket.close();
    }
}

/// An address as nng's URL.
fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
