//! Bounds and waiting of bodies.

use std::convert::Infallible;
use std::pin::pin;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_util::{FutureExt, StreamExt, stream};
use http_body::Frame;
use http_body_util::StreamBody;
use mangofront_bodies::{
    BodyMemory, BodyReader, Buffer, Purpose, ReadError, Reservation, discard, room_deadline,
};
use quickcheck::quickcheck;

const MIB_BYTES: usize = 1024 * 1024;

type Pieces = StreamBody<stream::BoxStream<'static, Result<Frame<Bytes>, Infallible>>>;

/// A body of `length` bytes in pieces of `piece_bytes`.
fn body(length: usize, piece_bytes: usize) -> Pieces {
    let bytes: Vec<u8> = (0..length).map(|at| at as u8).collect();
    let pieces: Vec<_> = bytes
        .chunks(piece_bytes.max(1))
        .map(|piece| Ok(Frame::data(Bytes::copy_from_slice(piece))))
        .collect();
    StreamBody::new(stream::iter(pieces).boxed())
}

/// The result of a future that waits for nothing; `None` if it waits.
fn now<T>(future: impl Future<Output = T>) -> Option<T> {
    future.now_or_never()
}

fn admit(memory: &BodyMemory, announced: Option<u64>, limit: usize) -> Option<BodyReader> {
    let admitted = now(memory.admit(Purpose::Request, announced, limit))?;
    Some(admitted.expect("the body is within its limit"))
}

/// Guards against bytes that are lost or exchanged where buffers grow, and against memory that is
/// counted after its body is gone.
#[test]
fn a_body_is_read_unchanged_and_counts_until_it_is_dropped() {
    fn holds(length: u32, piece_bytes: u16, is_announced: bool) -> bool {
        let length = length as usize % (2 * MIB_BYTES);
        let memory = BodyMemory::new(16 * MIB_BYTES);
        let announced = is_announced.then_some(length as u64);
        let reader = admit(&memory, announced, 4 * MIB_BYTES).expect("there is room");
        let mut sent = body(length, piece_bytes as usize);
        let read = now(reader.collect(&mut sent)).expect("all pieces are there");
        let read = read.expect("the body is read");
        let expected: Vec<u8> = (0..length).map(|at| at as u8).collect();
        let held = memory.held_bytes();
        let is_counted = held >= length && held <= length + 64 * 1024;
        let copy = read.clone();
        drop(read);
        let is_kept = memory.held_bytes() == held && copy == expected;
        drop(copy);
        is_counted && is_kept && memory.held_bytes() == 0
    }
    quickcheck(holds as fn(u32, u16, bool) -> bool);
}

/// Guards against a body over its limit being kept or read on.
#[test]
fn a_body_over_its_limit_is_refused_and_freed() {
    let memory = BodyMemory::new(16 * MIB_BYTES);
    let announced = now(memory.admit(Purpose::Request, Some(1_001), 1_000));
    assert!(matches!(
        announced,
        Some(Err(ReadError::TooLarge { limit_bytes: 1_000 }))
    ));
    let reader = admit(&memory, None, 1_000).expect("there is room");
    let mut sent = body(5_000, 100);
    let read = now(reader.collect(&mut sent)).expect("all pieces are there");
    assert!(matches!(read, Err(ReadError::TooLarge { .. })), "{read:?}");
    assert_eq!(memory.held_bytes(), 0);
    // What was not read can still be discarded.
    assert_eq!(now(discard(&mut sent, 10_000)), Some(true));
}

/// Guards against a discarded body without end being read for ever.
#[test]
fn a_body_is_discarded_up_to_a_limit() {
    let mut sent = body(5_000, 100);
    assert_eq!(now(discard(&mut sent, 1_000)), Some(false));
}

/// Guards against bodies that wait in another order than they came, or for those behind them.
#[test]
fn bodies_wait_in_order_and_small_ones_pass() {
    let memory = BodyMemory::new(16 * MIB_BYTES);
    let limit = 12 * MIB_BYTES;
    let first = admit(&memory, Some(8 << 20), limit).expect("there is room");
    let mut second = pin!(memory.admit(Purpose::Request, Some(8 << 20), limit));
    let mut third = pin!(memory.admit(Purpose::Request, Some(1 << 20), limit));
    assert!(second.as_mut().now_or_never().is_none());
    assert!(third.as_mut().now_or_never().is_none());
    assert!(admit(&memory, Some(60_000), limit).is_some(), "a small one");
    drop(first);
    let second = second.now_or_never().expect("room was freed");
    assert!(second.is_ok());
    let third = third.now_or_never().expect("there is room beside it");
    assert!(third.is_ok());
}

/// Guards against room that stays with a body whose caller has left while it waited.
#[test]
fn a_body_that_stops_waiting_holds_nothing() {
    let memory = BodyMemory::new(16 * MIB_BYTES);
    let limit = 12 * MIB_BYTES;
    let first = admit(&memory, Some(12 << 20), limit).expect("there is room");
    {
        let mut left = pin!(memory.admit(Purpose::Request, Some(8 << 20), limit));
        assert!(left.as_mut().now_or_never().is_none());
    }
    {
        let mut granted = pin!(memory.admit(Purpose::Request, Some(8 << 20), limit));
        assert!(granted.as_mut().now_or_never().is_none());
        drop(first);
        // It is dropped after it was granted room and before it has noticed.
    }
    let usage = memory.usage();
    let request = usage.iter().find(|usage| usage.purpose == Purpose::Request);
    let request = request.expect("all purposes are listed");
    assert_eq!((request.waiting, memory.held_bytes()), (0, 0));
}

/// Guards against a body waiting for room that can never be free.
#[test]
fn a_body_larger_than_all_memory_is_refused_at_once() {
    let memory = BodyMemory::new(MIB_BYTES);
    let admitted = now(memory.admit(Purpose::Request, Some(2 << 20), 4 * MIB_BYTES));
    assert!(matches!(admitted, Some(Err(ReadError::NoRoom(_)))));
    assert!(!memory.can_ever_hold(2 * MIB_BYTES));
}

fn growing(memory: &BodyMemory, bytes: usize) -> Reservation {
    let mut reservation = memory.reserve_growing(Purpose::Answer);
    reservation.grow_to(bytes).expect("there is room");
    reservation
}

fn has_to_end(reservation: &Reservation) -> bool {
    now(reservation.ended()).is_some()
}

/// Guards against a body being ended for one that holds more than it.
#[test]
fn the_body_that_holds_most_ends_first() {
    let memory = BodyMemory::new(16 * MIB_BYTES);
    let large = growing(&memory, 8 * MIB_BYTES);
    let middle = growing(&memory, 4 * MIB_BYTES);
    let mut small = growing(&memory, MIB_BYTES);
    small
        .grow_to(4 * MIB_BYTES)
        .expect("the largest body ends for it");
    assert!(has_to_end(&large) && !has_to_end(&middle) && !has_to_end(&small));
    drop(large);
    assert_eq!(memory.held_bytes(), 8 * MIB_BYTES);
    let mut largest = growing(&memory, 6 * MIB_BYTES);
    assert!(largest.grow_to(16 * MIB_BYTES).is_err());
    assert!(!has_to_end(&middle) && !has_to_end(&small));
}

/// Guards against a body of known length losing the room that it was promised.
#[test]
fn a_body_of_known_length_is_not_ended_for_others() {
    let memory = BodyMemory::new(16 * MIB_BYTES);
    let announced = admit(&memory, Some(12 << 20), 12 * MIB_BYTES).expect("there is room");
    let mut other = growing(&memory, MIB_BYTES);
    assert!(other.grow_to(4 * MIB_BYTES).is_err());
    let mut sent = body(12 * MIB_BYTES, 64 * 1024);
    let read = now(announced.collect(&mut sent)).expect("all pieces are there");
    assert_eq!(read.expect("the body is read").len(), 12 * MIB_BYTES);
}

/// Guards against the sum of all bodies passing the bound, and against memory that is not returned.
#[test]
fn what_is_held_stays_within_the_bound() {
    fn holds(steps: Vec<(u8, u32)>) -> bool {
        let memory = BodyMemory::new(8 * MIB_BYTES);
        let mut held: Vec<Reservation> = Vec::new();
        for (kind, bytes) in steps {
            let bytes = bytes as usize % (4 * MIB_BYTES);
            match (kind % 4, held.is_empty()) {
                (0 | 1, _) => held.push(memory.reserve_growing(Purpose::Answer)),
                (2, false) => {
                    let index = bytes % held.len();
                    if held[index].grow_to(bytes).is_err() {
                        held.remove(index);
                    }
                }
                (3, false) => drop(held.remove(bytes % held.len())),
                _ => {}
            }
            // As their readers do.
            held.retain(|reservation| !has_to_end(reservation));
            if memory.held_bytes() > memory.limit_bytes() {
                return false;
            }
        }
        drop(held);
        memory.held_bytes() == 0
    }
    quickcheck(holds as fn(Vec<(u8, u32)>) -> bool);
}

/// Guards against a request that waits for room until it can't be run any more.
#[test]
fn a_body_waits_for_half_of_its_time_at_most() {
    let start = Instant::now();
    let waits = |time| room_deadline(start, start + time).duration_since(start);
    assert_eq!(waits(Duration::from_secs(4)), Duration::from_secs(2));
    assert_eq!(waits(Duration::from_secs(60)), Duration::from_secs(5));
    assert_eq!(waits(Duration::ZERO), Duration::ZERO);
}

/// Guards against bytes that are lost as a buffer of events is emptied from its front.
#[test]
fn a_buffer_keeps_what_is_not_removed() {
    fn holds(steps: Vec<(u32, u32)>) -> bool {
        let mut buffer = Buffer::default();
        let mut model: Vec<u8> = Vec::new();
        for (added, removed) in steps {
            let added: Vec<u8> = (0..added % 200_000).map(|at| at as u8).collect();
            buffer.extend(&added).expect("there is memory");
            model.extend_from_slice(&added);
            let removed = removed as usize % (model.len() + 1);
            buffer.remove_first(removed);
            model.drain(..removed);
            if buffer.as_ref() != model {
                return false;
            }
        }
        true
    }
    quickcheck(holds as fn(Vec<(u32, u32)>) -> bool);
}
