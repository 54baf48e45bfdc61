//! Memory of request heads that are not complete.
//!
//! A head is kept by the HTTP library until it is complete, so many connections with long heads
//! could use up the memory of a process. What arrives while no request is in progress belongs to a
//! head; beyond a first part, for which each connection has room anyway, it takes memory of the
//! bodies. Without it the connection is closed.

use std::cell::RefCell;
use std::io;
use std::rc::Rc;
use std::task::Poll;

use compio::buf::{BufResult, IoBufMut};
use compio::io::AsyncRead;
use compio::net::TcpStream;
use futures_util::future::poll_fn;
use mangofront_bodies::{BodyMemory, NoRoom, Purpose, Reservation};

/// Part of a head for which each connection has room, in bytes.
const FREE_BYTES: usize = 8 * 1024;

/// Memory that a head takes as it grows, as a multiple of its length.
const GROWTH_FACTOR: usize = 2;

/// What a connection has read of a head.
#[derive(Debug, Clone)]
pub(crate) struct HeadMeter(Rc<RefCell<State>>);

#[derive(Debug)]
struct State {
    memory: BodyMemory,
    read_bytes: usize,
    /// Set once the head is longer than what is free.
    reservation: Option<Reservation>,
    requests_in_progress: usize,
}

impl HeadMeter {
    pub(crate) fn new(memory: &BodyMemory) -> Self {
        Self(Rc::new(RefCell::new(State {
            memory: memory.clone(),
            read_bytes: 0,
            reservation: None,
            requests_in_progress: 0,
        })))
    }

    /// Records that a head is complete; the next one begins once the guard is dropped.
    pub(crate) fn begin_request(&self) -> RequestGuard {
        let mut state = self.0.borrow_mut();
        state.read_bytes = 0;
        state.requests_in_progress += 1;
        let reservation = state.reservation.take();
        drop(state);
        drop(reservation);
        RequestGuard(self.clone())
    }

    /// Adds bytes that were read.
    fn record(&self, bytes: usize) -> Result<(), NoRoom> {
        let mut state = self.0.borrow_mut();
        if state.requests_in_progress > 0 {
            return Ok(());
        }
        state.read_bytes += bytes;
        let head_bytes = state.read_bytes;
        if head_bytes <= FREE_BYTES {
            return Ok(());
        }
        let memory = state.memory.clone();
        let reservation = state
            .reservation
            .get_or_insert_with(|| memory.reserve_growing(Purpose::Head));
        reservation.grow_to(head_bytes * GROWTH_FACTOR)
    }

    /// Resolves when the connection has to be closed, as the memory of its head is needed.
    ///
    /// It must be polled by the task that reads the connection.
    pub(crate) async fn ended(&self) -> NoRoom {
        poll_fn(|cx| {
            let state = self.0.borrow();
            let reservation = state.reservation.as_ref();
            reservation.map_or(Poll::Pending, |reservation| reservation.poll_ended(cx))
        })
        .await
    }
}

/// A request whose answer is not complete.
#[derive(Debug)]
pub(crate) struct RequestGuard(HeadMeter);

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.0.borrow_mut().requests_in_progress -= 1;
    }
}

/// Read half of a connection whose heads take memory.
#[derive(Debug)]
pub(crate) struct MeteredReader {
    stream: TcpStream,
    meter: HeadMeter,
}

impl MeteredReader {
    pub(crate) fn new(stream: TcpStream, meter: HeadMeter) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for MeteredReader {
    async fn read<B: IoBufMut>(&mut self, buffer: B) -> BufResult<usize, B> {
        let BufResult(read, buffer) = self.stream.read(buffer).await;
        let counted = read.and_then(|bytes| match self.meter.record(bytes) {
            Ok(()) => Ok(bytes),
            Err(no_room) => Err(io::Error::new(io::ErrorKind::OutOfMemory, no_room)),
        });
        BufResult(counted, buffer)
    }
}
