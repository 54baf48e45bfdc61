//! nng sockets as futures.
//!
//! nng calls back on threads of its own. A callback here only pushes the result
//! into a channel that wakes the compio task. Its own handle to the operation
//! goes first: were it the last one, nng would wait on its own thread for the
//! callback that it is running. For the same reason [`Operation`] waits on drop
//! until no callback runs.

use std::net::SocketAddr;
use std::time::Duration;

use futures_channel::mpsc::{UnboundedReceiver, unbounded};
use futures_util::StreamExt;
use nng::options::protocol::reqrep::ResendTime;
use nng::options::transport::tcp::{BoundPort, KeepAlive, NoDelay};
use nng::options::{Options, ReconnectMaxTime, ReconnectMinTime, RecvMaxSize};
use nng::{Aio, AioResult, Context, Dialer, DialerBuilder, Listener, ListenerBuilder};
use nng::{Message, Protocol, Socket};

use crate::error::{LinkError, LinkStep, PeersError};

/// Largest message taken, in bytes: a configuration of a megabyte and its head.
const MESSAGE_LIMIT_BYTES: usize = 2 * 1024 * 1024;

/// First pause before a dial is tried again; nng draws each pause at random below its bound.
const RECONNECT_MIN: Duration = Duration::from_millis(100);

/// Bound that the pause doubles up to.
const RECONNECT_MAX: Duration = Duration::from_secs(5);

/// One asynchronous operation at a time, and its results.
#[derive(Debug)]
pub(crate) struct Operation {
    aio: Aio,
    results: UnboundedReceiver<AioResult>,
}

impl Operation {
    /// An idle operation.
    pub(crate) fn new() -> nng::Result<Self> {
        let (sender, results) = unbounded();
        let aio = Aio::new(move |aio, result| {
            drop(aio);
            // The receiver is gone only when nobody waits any more.
            let _ = sender.unbounded_send(result);
        })?;
        Ok(Self { aio, results })
    }

    /// Bounds the next operations.
    pub(crate) fn set_timeout(&self, timeout: Option<Duration>) -> nng::Result<()> {
        self.aio.set_timeout(timeout)
    }

    /// Sends on a context.
    pub(crate) async fn send(&mut self, context: &Context, message: Message) -> nng::Result<()> {
        context
            .send(&self.aio, message)
            .map_err(|(_, cause)| cause)?;
        match self.results.next().await {
            Some(AioResult::Send(Ok(()))) => Ok(()),
            Some(AioResult::Send(Err((_, cause)))) => Err(cause),
            _ => Err(nng::Error::IncorrectState),
        }
    }

    /// Receives on a context.
    pub(crate) async fn receive(&mut self, context: &Context) -> nng::Result<Message> {
        context.recv(&self.aio)?;
        match self.results.next().await {
            Some(AioResult::Recv(result)) => result,
            _ => Err(nng::Error::IncorrectState),
        }
    }
}

impl Drop for Operation {
    fn drop(&mut self) {
        self.aio.cancel();
        self.aio.wait();
    }
}

/// The listening side.
#[derive(Debug)]
pub(crate) struct Server {
    socket: Socket,
    address: SocketAddr,
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

    /// Ends every connection and frees the address.
    pub(crate) fn close(&self) {
        self.socket.close();
    }
}

/// The dialling side, towards one peer.
#[derive(Debug)]
pub(crate) struct Connection {
    socket: Socket,
    _dialer: Dialer,
}

impl Connection {
    /// Starts to dial; a request sent before the connection stands waits for it.
    pub(crate) fn open(address: SocketAddr) -> nng::Result<Self> {
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
        let mut operation = Operation::new().map_err(&open)?;
        operation.set_timeout(Some(timeout)).map_err(&open)?;
        let started = std::time::Instant::now();
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
