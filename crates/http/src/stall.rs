//! Bound on the time for which a peer takes no bytes.

use std::io;
use std::pin::pin;
use std::time::Duration;

use compio::buf::{BufResult, IoBuf, IoVectoredBuf};
use compio::io::AsyncWrite;
use compio::net::TcpStream;
use futures_channel::oneshot;
use futures_util::future::{Either, select};

/// Told once, when a write made no progress for its timeout.
pub(crate) type Stalled = oneshot::Receiver<()>;

/// Write half of a connection that tells of a write without progress.
///
/// A write ends as soon as the socket takes some of its bytes, so a slow
/// reader is never told of, only one that takes none. The write itself goes
/// on: its buffer belongs to the driver until it ends, so only dropping the
/// whole connection ends it early.
#[derive(Debug)]
pub(crate) struct WatchedWriter {
    stream: TcpStream,
    timeout: Duration,
    stalled: Option<oneshot::Sender<()>>,
}

impl WatchedWriter {
    pub(crate) fn new(stream: TcpStream, timeout: Duration) -> (Self, Stalled) {
        let (sender, receiver) = oneshot::channel();
        let writer = Self {
            stream,
            timeout,
            stalled: Some(sender),
        };
        (writer, receiver)
    }
}

impl AsyncWrite for WatchedWriter {
    async fn write<T: IoBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        watch(self.stream.write(buffer), self.timeout, &mut self.stalled).await
    }

    async fn write_vectored<T: IoVectoredBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        let writing = self.stream.write_vectored(buffer);
        watch(writing, self.timeout, &mut self.stalled).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}

async fn watch<T>(
    writing: impl Future<Output = T>,
    timeout: Duration,
    stalled: &mut Option<oneshot::Sender<()>>,
) -> T {
    match select(pin!(writing), pin!(compio::time::sleep(timeout))).await {
        Either::Left((written, _)) => written,
        Either::Right(((), writing)) => {
            if let Some(stalled) = stalled.take() {
                // A connection that is ending already needs no signal.
                let _ = stalled.send(());
            }
            writing.await
        }
    }
}
