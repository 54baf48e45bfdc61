//! Tests of clients whose write takes the reset of a connection from their read.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::task::{Poll, Waker};

use bytes::Bytes;
use compio::buf::{BufResult, IoBuf, IoBufMut};
use compio::io::{AsyncRead, AsyncWrite};
use cyper_core::HyperStream;
use futures_util::future::poll_fn;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use mangofront_http::report_failed_writes;

/// Start of an answer that ends with its connection.
const PART: &[u8] = b"HTTP/1.1 200 OK\r\n\r\npart";

const UPLOAD_BYTES: usize = 1024 * 1024;

/// Part of the request that the transport takes, in bytes.
const FIRST_WRITE_BYTES: usize = 1024;

/// How a connection ends while its client writes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// The write in progress fails, and the next read finds the end.
    Reset,
    /// The server ends its direction, and takes no more of the upload.
    Orderly,
}

/// A connection whose reads and writes become ready in a given order.
#[derive(Debug, Clone, Default)]
struct Transport(Rc<State>);

#[derive(Debug, Default)]
struct State {
    reads: Cell<usize>,
    writes: Cell<usize>,
    end: Cell<Option<End>>,
    wakers: RefCell<Vec<Waker>>,
}

impl Transport {
    /// Ends the connection; its reads and writes become ready in the same turn.
    fn end(&self, end: End) {
        self.0.end.set(Some(end));
        self.0.wakers.take().iter().for_each(Waker::wake_by_ref);
    }

    async fn until<T>(&self, condition: impl Fn(&State) -> Option<T>) -> T {
        poll_fn(|cx| {
            if let Some(value) = condition(&self.0) {
                return Poll::Ready(value);
            }
            self.0.wakers.borrow_mut().push(cx.waker().clone());
            Poll::Pending
        })
        .await
    }
}

impl AsyncRead for Transport {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let is_first = self.0.reads.replace(self.0.reads.get() + 1) == 0;
        if is_first {
            self.until(|state| (state.writes.get() > 1).then_some(()))
                .await;
            return AsyncRead::read(&mut &PART[..], buffer).await;
        }
        self.until(|state| state.end.get()).await;
        BufResult(Ok(0), buffer)
    }
}

impl AsyncWrite for Transport {
    async fn write<T: IoBuf>(&mut self, buffer: T) -> BufResult<usize, T> {
        let is_first = self.0.writes.replace(self.0.writes.get() + 1) == 0;
        if is_first {
            let taken = buffer.buf_len().min(FIRST_WRITE_BYTES);
            return BufResult(Ok(taken), buffer);
        }
        // Lets the read of the answer begin.
        self.0.wakers.take().iter().for_each(Waker::wake_by_ref);
        let failed = |state: &State| (state.end.get()? == End::Reset).then_some(());
        self.until(failed).await;
        BufResult(Err(io::ErrorKind::ConnectionReset.into()), buffer)
    }

    async fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    async fn shutdown(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// The body that a client gets whose connection ends so while it uploads.
async fn body_of(end: End) -> Result<Bytes, hyper::Error> {
    let transport = Transport::default();
    let halves = report_failed_writes(transport.clone(), transport.clone());
    let handshake = http1::handshake(HyperStream::new_plain(halves));
    let (mut sender, connection) = handshake.await?;
    compio::runtime::spawn(connection).detach();
    let request = Request::post("/upload")
        .header("host", "test")
        .body(Full::new(Bytes::from(vec![b'u'; UPLOAD_BYTES])))
        .expect("a request");
    let answer = sender.send_request(request).await?;
    transport.end(end);
    let body = answer.into_body().collect().await?;
    Ok(body.to_bytes())
}

#[compio::test]
async fn an_end_that_a_failed_write_hides_is_an_error() {
    let body = body_of(End::Reset).await;
    assert!(body.is_err(), "{body:?}");
}

#[compio::test]
async fn an_orderly_end_during_an_upload_is_an_end() {
    let body = body_of(End::Orderly).await;
    assert_eq!(body.ok().as_deref(), Some(&b"part"[..]));
}
