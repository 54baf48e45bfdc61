//! Accounting of the memory, and who has to give way where it runs short.
//!
//! A body of unknown length may have no end, so where room runs short the one that holds most of
//! it is ended, unless that is the body that needs more. A request whose bytes have stopped coming
//! is ended before. A body that was promised room for its whole length keeps it otherwise, and one
//! that is complete always does. The memory of an ended body counts as free at once for the body
//! it was ended for; it is freed as soon as its reader runs.
//!
//! Bodies that are not read yet hold nothing and wait in order of arrival, so that no two bodies
//! can wait for each other. A part of the memory is open to small bodies only, which therefore get
//! through while large ones wait.

use std::collections::{BTreeMap, VecDeque};
use std::task::Waker;
use std::time::{Duration, Instant};

use futures_channel::oneshot;

use crate::buffer::HEAP_LIMIT_BYTES;
use crate::memory::{NoRoom, PurposeUsage};
use crate::purpose::Purpose;

/// Part of the memory that only small bodies may take, as a divisor.
const SMALL_SHARE_DIVISOR: usize = 8;

/// Size of the largest small body, in bytes.
const SMALL_BODY_BYTES: usize = HEAP_LIMIT_BYTES;

/// Time without a byte after which a request gives way to others.
const STALL_TIME: Duration = Duration::from_secs(1);

/// Id of a reservation while its body is read.
pub(crate) type ReservationId = u64;

/// What a body needs before it is read.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Demand {
    pub(crate) purpose: Purpose,
    pub(crate) bytes: usize,
    /// Whether the body has a known length.
    pub(crate) has_length: bool,
}

/// A body that is being read.
#[derive(Debug)]
struct Reading {
    purpose: Purpose,
    bytes: usize,
    has_length: bool,
    last_progress: Instant,
    is_ended: bool,
    waker: Option<Waker>,
}

impl Reading {
    fn is_stalled(&self, now: Instant) -> bool {
        !self.purpose.has_run() && now.saturating_duration_since(self.last_progress) >= STALL_TIME
    }
}

/// A body that waits for room.
#[derive(Debug)]
struct Waiting {
    demand: Demand,
    sender: oneshot::Sender<ReservationId>,
}

/// A granted demand, and whom to tell.
pub(crate) type Grant = (oneshot::Sender<ReservationId>, ReservationId, Demand);

/// Sums of one purpose.
#[derive(Debug, Clone, Copy, Default)]
struct Sums {
    held_bytes: usize,
    waiting: usize,
    ended_for_room: u64,
}

/// Who has how much of the memory.
#[derive(Debug)]
pub(crate) struct Ledger {
    limit_bytes: usize,
    held_bytes: usize,
    /// Part of `held_bytes` whose bodies were ended and not released yet.
    ending_bytes: usize,
    sums: [Sums; Purpose::ALL.len()],
    reading: BTreeMap<ReservationId, Reading>,
    waiting: VecDeque<Waiting>,
    next_id: ReservationId,
}

impl Ledger {
    pub(crate) fn new(limit_bytes: usize) -> Self {
        Self {
            limit_bytes,
            held_bytes: 0,
            ending_bytes: 0,
            sums: Default::default(),
            reading: BTreeMap::new(),
            waiting: VecDeque::new(),
            next_id: 0,
        }
    }

    pub(crate) fn limit_bytes(&self) -> usize {
        self.limit_bytes
    }

    pub(crate) fn held_bytes(&self) -> usize {
        self.held_bytes
    }

    pub(crate) fn usage(&self, purpose: Purpose) -> PurposeUsage {
        let sums = &self.sums[purpose.index()];
        PurposeUsage {
            purpose,
            held_bytes: sums.held_bytes,
            waiting: sums.waiting,
            ended_for_room: sums.ended_for_room,
        }
    }

    /// Whether a body of `bytes` fits once all others are gone.
    pub(crate) fn can_ever_hold(&self, bytes: usize) -> bool {
        bytes <= self.limit_for(bytes)
    }

    /// Memory that all bodies may take together for one of `bytes` to be among them.
    fn limit_for(&self, bytes: usize) -> usize {
        match bytes <= SMALL_BODY_BYTES {
            true => self.limit_bytes,
            false => self.limit_bytes - self.limit_bytes / SMALL_SHARE_DIVISOR,
        }
    }

    /// Bytes by which the memory is too small for `more` bytes of a body of `whole` then.
    fn lack(&self, more: usize, whole: usize) -> usize {
        let taken = self.held_bytes - self.ending_bytes;
        taken
            .saturating_add(more)
            .saturating_sub(self.limit_for(whole))
    }

    /// Whether there is room for a body of which nothing was read, after others have ended for it
    /// if need be.
    pub(crate) fn make_room_for_new(&mut self, demand: Demand, now: Instant) -> bool {
        let is_large = demand.bytes > SMALL_BODY_BYTES;
        let is_first = !is_large || self.waiting.is_empty();
        is_first && self.make_room(demand, now)
    }

    fn make_room(&mut self, demand: Demand, now: Instant) -> bool {
        let lack = self.lack(demand.bytes, demand.bytes);
        // What has not run waits for a body of unknown length, which may be sound.
        let ends_growing = demand.purpose.has_run();
        let may_end = |reading: &Reading| {
            reading.is_stalled(now)
                || ends_growing && !reading.has_length && reading.bytes > demand.bytes
        };
        lack == 0 || self.end_bodies(lack, now, None, may_end)
    }

    /// Adds a body that is about to be read.
    pub(crate) fn begin(&mut self, demand: Demand, now: Instant) -> ReservationId {
        let id = self.next_id;
        self.next_id += 1;
        self.add(demand.purpose, demand.bytes);
        let reading = Reading {
            purpose: demand.purpose,
            bytes: demand.bytes,
            has_length: demand.has_length,
            last_progress: now,
            is_ended: false,
            waker: None,
        };
        self.reading.insert(id, reading);
        id
    }

    /// Grows a body that is being read to `bytes`, at the cost of larger ones if need be.
    pub(crate) fn grow(
        &mut self,
        id: ReservationId,
        bytes: usize,
        now: Instant,
    ) -> Result<(), NoRoom> {
        let Some(reading) = self.reading.get(&id).filter(|reading| !reading.is_ended) else {
            return Err(NoRoom);
        };
        let (purpose, more) = (reading.purpose, bytes.saturating_sub(reading.bytes));
        let lack = self.lack(more, bytes);
        let may_end =
            |other: &Reading| other.is_stalled(now) || !other.has_length && other.bytes > bytes;
        if lack > 0 && !self.end_bodies(lack, now, Some(id), may_end) {
            self.record_ended(purpose);
            return Err(NoRoom);
        }
        self.add(purpose, more);
        if let Some(reading) = self.reading.get_mut(&id) {
            reading.bytes = bytes;
        }
        Ok(())
    }

    /// Ends bodies other than `except` that may be ended, until `lack` bytes are free; none if that
    /// is not possible.
    fn end_bodies(
        &mut self,
        lack: usize,
        now: Instant,
        except: Option<ReservationId>,
        may_end: impl Fn(&Reading) -> bool,
    ) -> bool {
        let candidates = self
            .reading
            .iter()
            .filter(|(id, reading)| Some(**id) != except && !reading.is_ended && may_end(reading));
        let mut candidates: Vec<_> = candidates
            .map(|(id, reading)| (!reading.is_stalled(now), reading.bytes, *id))
            .collect();
        candidates
            .sort_by_key(|(is_moving, bytes, id)| (*is_moving, std::cmp::Reverse(*bytes), *id));
        let mut freed_bytes = 0;
        let enough = candidates.iter().position(|(_, bytes, _)| {
            freed_bytes += bytes;
            freed_bytes >= lack
        });
        let Some(last) = enough else {
            return false;
        };
        for (_, _, id) in &candidates[..=last] {
            self.end(*id);
        }
        true
    }

    fn end(&mut self, id: ReservationId) {
        let Some(reading) = self.reading.get_mut(&id) else {
            return;
        };
        reading.is_ended = true;
        self.ending_bytes += reading.bytes;
        let purpose = reading.purpose;
        if let Some(waker) = reading.waker.take() {
            waker.wake();
        }
        self.record_ended(purpose);
    }

    /// Whether a body has to end; if not, `waker` is woken when it has to.
    pub(crate) fn poll_ended(&mut self, id: ReservationId, waker: &Waker) -> bool {
        let Some(reading) = self.reading.get_mut(&id) else {
            return false;
        };
        let is_known = reading
            .waker
            .as_ref()
            .is_some_and(|own| own.will_wake(waker));
        if !is_known {
            reading.waker = Some(waker.clone());
        }
        reading.is_ended
    }

    pub(crate) fn record_progress(&mut self, id: ReservationId, now: Instant) {
        if let Some(reading) = self.reading.get_mut(&id) {
            reading.last_progress = now;
        }
    }

    /// Takes a complete body out of those that may be ended.
    pub(crate) fn complete(&mut self, id: ReservationId) {
        if let Some(reading) = self.reading.remove(&id)
            && reading.is_ended
        {
            // It was read to its end before its reader noticed.
            self.ending_bytes -= reading.bytes;
        }
    }

    /// Takes `surplus` bytes off a body.
    pub(crate) fn shrink(
        &mut self,
        purpose: Purpose,
        reading: Option<ReservationId>,
        surplus: usize,
    ) {
        self.held_bytes -= surplus;
        self.sums[purpose.index()].held_bytes -= surplus;
        let Some(reading) = reading.and_then(|id| self.reading.get_mut(&id)) else {
            return;
        };
        reading.bytes -= surplus;
        if reading.is_ended {
            self.ending_bytes -= surplus;
        }
    }

    /// Removes a body.
    pub(crate) fn release(
        &mut self,
        purpose: Purpose,
        reading: Option<ReservationId>,
        bytes: usize,
    ) {
        self.shrink(purpose, reading, bytes);
        if let Some(id) = reading {
            self.reading.remove(&id);
        }
    }

    /// Adds a body to those that wait for room.
    pub(crate) fn enqueue(&mut self, demand: Demand, sender: oneshot::Sender<ReservationId>) {
        self.sums[demand.purpose.index()].waiting += 1;
        self.waiting.push_back(Waiting { demand, sender });
    }

    /// Counts a body that has stopped waiting without room.
    pub(crate) fn abandon_wait(&mut self, purpose: Purpose) {
        self.sums[purpose.index()].waiting -= 1;
        self.waiting.retain(|waiting| !waiting.sender.is_canceled());
        self.record_ended(purpose);
    }

    /// Takes the bodies that wait for which there is room now, in their order.
    pub(crate) fn grant(&mut self, now: Instant) -> Vec<Grant> {
        let mut grants = Vec::new();
        while let Some(next) = self.waiting.front() {
            if next.sender.is_canceled() {
                self.waiting.pop_front();
                continue;
            }
            let demand = next.demand;
            if !self.make_room(demand, now) {
                break;
            }
            let Some(granted) = self.waiting.pop_front() else {
                break;
            };
            self.sums[demand.purpose.index()].waiting -= 1;
            let id = self.begin(demand, now);
            grants.push((granted.sender, id, demand));
        }
        grants
    }

    /// Counts a body that ended for lack of room.
    pub(crate) fn record_ended(&mut self, purpose: Purpose) {
        self.sums[purpose.index()].ended_for_room += 1;
    }

    fn add(&mut self, purpose: Purpose, bytes: usize) {
        self.held_bytes += bytes;
        self.sums[purpose.index()].held_bytes += bytes;
    }
}
