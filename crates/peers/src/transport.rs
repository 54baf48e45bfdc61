//! nng sockets: the listening side and one for each peer that is dialled.

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

/// Largest message taken, in bytes: a configuration of a megabyte and its head.
const MESSAGE_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// First pause before a dial is tried again; nng draws each pause at random below its bound.
const RECONNECT_MIN: Duration = Duration::from_millis(100);

/// Bound that the pause doubles up to.
const RECONNECT_MAX: Duration = Duration::from_secs(5);

/// The listening side.
#[derive(Debug)]
pub(crate) struct Server {
    socket: Socket,
    address: SocketAddr,
    completions: Rc<Completions>,
    _listener: Listener,
}

impl Server {
    /// Listens on an address; port 0 takes a free one.
    pub(crate) fn bind(listen: SocketAddr) -> Result<Self, PeersError> {
        let socket = Socket::new(Protocol::Rep0).map_err(PeersError::Socket)?;
        socket
            .set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)
            .map_err(PeersError::Socket)?;
        let refused = |cause| PeersError::Listen {
            address: listen,
            cause,
        };
        let builder = ListenerBuilder::new(&socket, &url(listen)).map_err(refused)?;
        builder.set_opt::<NoDelay>(true).map_err(refused)?;
        builder.set_opt::<KeepAlive>(true).map_err(refused)?;
        let listener = builder.start().map_err(|(_, cause)| refused(cause))?;
        let port = match listen.port() {
            0 => listener.get_opt::<BoundPort>().map_err(refused)?,
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

    /// A context that takes one request at a time.
    pub(crate) fn context(&self) -> nng::Result<Context> {
        Context::new(&self.socket)
    }

    /// An idle operation.
    pub(crate) fn operation(&self) -> nng::Result<Operation> {
        self.completions.operation()
    }

    /// A connection whose results come the same way.
    pub(crate) fn dial(&self, address: SocketAddr) -> nng::Result<Connection> {
        Connection::open(address, Rc::clone(&self.completions))
    }

    /// Ends every connection and frees the address.
    pub(crate) fn close(&self) {
        self.socket.close();
    }
}

/// The dialling side, towards one peer.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: Socket,
    completions: Rc<Completions>,
    _dialer: Dialer,
}

impl Connection {
    /// Starts to dial; a request sent before the connection stands waits for it.
    fn open(address: SocketAddr, completions: Rc<Completions>) -> nng::Result<Self> {
        let socket = Socket::new(Protocol::Req0)?;
        socket.set_opt::<RecvMaxSize>(MESSAGE_LIMIT_BYTES)?;
        // Without a resend time nng never sends a request twice, also when the
        // connection breaks: the request fails with a reset instead.
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

    /// One request and its reply within a time.
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

/// nng's form of an address.
fn url(address: SocketAddr) -> String {
    format!("tcp://{address}")
}
