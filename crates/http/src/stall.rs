//! Detection of peers that accept no bytes.

use std::io;
use std::pin::pin;
use std::time::Duration;

use compio::buf::{BufResult, IoBuf, IoVectoredBuf};
use compio::io::AsyncWrite;
use compio::net::TcpStream;
use futures_channel::oneshot;
use futures_util::future::{Either, select};

/// Resolves when a write has made no progress for the timeout.
pub(crate) type StallSignal = oneshot::Receiver<()>;

/// Write half of a connection that signals a write without progress.
///
/// A write completes as soon as the socket accepts some of its bytes, so only a
/// peer that accepts none is reported, never a slow one. The write itself is not
/// cancelled: the driver owns its buffer until it completes, so only dropping the
/// whole connection ends it early.
#[derive(Debug)]
pub(crate) struct StallDetectingWriter {
    stream: TcpStream,
    timeout: Duration,
    stall_sender: Option<oneshot::Sender<()>>,
}

impl StallDetectingWriter {
    pub(crate) fn new(stream: TcpStream, timeout: Duration) -> (Self, StallSignal) {
        let (sender, receiver) = oneshot::channel();
        let writer = Self {
            stream,
            timeout,
            stall_sender: Some(sender),
        };
        (writer, receiver)
    }
}

impl AsyncWrite for StallDetectingWriter {
    async fn write<T: IoBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        signal_stall(
            self.stream.write(buffer),
            self.timeout,
            &mut self.stall_sender,
        )
        .await
    }

    async fn write_vectored<T: IoVectoredBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        let write = self.stream.write_vectored(buffer);
        signal_stall(write, self.timeout, &mut self.stall_sender).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.stream.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.stream.shutdown().await
    }
}

async fn signal_stall<T>(
    write: impl Future<Output = T>,
    timeout: Duration,
    stall_sender: &mut Option<oneshot::Sender<()>>,
) -> T {
    match select(pin!(write), pin!(compio::time::sleep(timeout))).await {
        Either::Left((written, _)) => written,
        Either::Right(((), write)) => {
            if let Some(stall_sender) = stall_sender.take() {
                // Sending fails only if the connection is already being closed.
                let _ = stall_sender.send(());
            }
            write.await
        }
    }
}
