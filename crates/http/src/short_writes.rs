//! A connection that passes on long writes in parts.
//!
//! The stream below copies what it is given to write and keeps the room for it as long as the
//! connection is open, so a body that it gets in one piece would be held twice, and its room stay
//! with each connection.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll};

use hyper::rt::{Read, ReadBufCursor, Write};

/// Most bytes that are passed on in one write.
const WRITE_LIMIT_BYTES: usize = 32 * 1024;

/// Limits the writes of a connection.
#[derive(Debug)]
pub struct ShortWrites<T>(T);

impl<T> ShortWrites<T> {
    /// Limits the writes of `connection`.
    pub fn new(connection: T) -> Self {
        Self(connection)
    }
}

impl<T: Read + Unpin> Read for ShortWrites<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_read(cx, buffer)
    }
}

impl<T: Write + Unpin> Write for ShortWrites<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let part = &bytes[..bytes.len().min(WRITE_LIMIT_BYTES)];
        Pin::new(&mut self.0).poll_write(cx, part)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        // The stream below writes only one slice at a time, too.
        let first = slices.iter().find(|slice| !slice.is_empty());
        self.poll_write(cx, first.map_or(&[], |slice| slice))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
