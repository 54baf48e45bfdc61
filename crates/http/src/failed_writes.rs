//! The halves of a client's connection, of which the read half reports a failed write.
//!
//! The kernel reports the reset of a connection once, to the call that comes first. If that is a
//! write, the next read finds the end of the connection, as after an orderly end, and an answer
//! without a length and chunks looks complete. Its end is certain only if no write has failed
//! before.

use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::task::Poll;

use compio::buf::{BufResult, IoBuf, IoBufMut, IoVectoredBuf};
use compio::io::{AsyncRead, AsyncWrite};
use futures_util::future::poll_fn;

/// State of the write half, as the read half sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
enum WriteState {
    /// No write has failed, and none is in progress.
    #[default]
    Idle,
    /// A write is in progress; its result may have arrived without being polled yet.
    InProgress,
    /// A write has failed.
    Failed,
}

#[derive(Debug, Clone, Default)]
struct SharedWrites(Rc<Cell<WriteState>>);

impl SharedWrites {
    /// Awaits a write and records whether it is in progress or has failed; a failure stays.
    async fn record<T>(
        &self,
        write: impl Future<Output = BufResult<usize, T>>,
    ) -> BufResult<usize, T> {
        let has_failed = self.0.get() == WriteState::Failed;
        if !has_failed {
            self.0.set(WriteState::InProgress);
        }
        let written = write.await;
        self.0.set(match written.0 {
            Ok(_) if !has_failed => WriteState::Idle,
            Ok(_) | Err(_) => WriteState::Failed,
        });
        written
    }
}

/// Read half that fails instead of ending once a write has failed.
#[derive(Debug)]
pub struct CheckedReader<R> {
    inner: R,
    writes: SharedWrites,
}

/// Write half whose failures the read half reports.
#[derive(Debug)]
pub struct RecordingWriter<W> {
    inner: W,
    writes: SharedWrites,
}

/// Connects the halves of a connection, so that the read half ends only if no write has failed.
///
/// Both must be polled by the same task.
pub fn report_failed_writes<R, W>(reader: R, writer: W) -> (CheckedReader<R>, RecordingWriter<W>) {
    let writes = SharedWrites::default();
    let reader = CheckedReader {
        inner: reader,
        writes: writes.clone(),
    };
    let writer = RecordingWriter {
        inner: writer,
        writes,
    };
    (reader, writer)
}

impl<R: AsyncRead> AsyncRead for CheckedReader<R> {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let BufResult(read, buffer) = self.inner.read(buffer).await;
        if !matches!(read, Ok(0)) {
            return BufResult(read, buffer);
        }
        if self.writes.0.get() == WriteState::InProgress {
            yield_to_writer().await;
        }
        let end = match self.writes.0.get() {
            WriteState::Idle | WriteState::InProgress => Ok(0),
            WriteState::Failed => Err(io::Error::new(
                io::ErrorKind::ConnectionReset,
                "a write failed before the connection ended",
            )),
        };
        BufResult(end, buffer)
    }
}

/// Lets the task poll the other half of the connection once.
async fn yield_to_writer() {
    let mut has_yielded = false;
    poll_fn(|cx| {
        if has_yielded {
            return Poll::Ready(());
        }
        has_yielded = true;
        cx.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

impl<W: AsyncWrite> AsyncWrite for RecordingWriter<W> {
    async fn write<T: IoBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        self.writes.record(self.inner.write(buffer)).await
    }

    async fn write_vectored<T: IoVectoredBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        let write = self.inner.write_vectored(buffer);
        self.writes.record(write).await
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.inner.flush().await
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        self.inner.shutdown().await
    }
}
