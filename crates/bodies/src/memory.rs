//! The memory of all bodies of a process.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Instant;

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{FusedFuture, poll_fn};
use thiserror::Error;

use crate::ledger::{Demand, Ledger, ReservationId};
use crate::purpose::Purpose;
use crate::read::{BodyReader, ReadError};

/// There is no memory left for a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no memory is left for the body")]
pub struct NoRoom;

impl From<std::io::Error> for NoRoom {
    /// The system provides no memory.
    fn from(_: std::io::Error) -> Self {
        Self
    }
}

/// Memory that bodies of one purpose take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PurposeUsage {
    /// What the bodies are kept for.
    pub purpose: Purpose,
    /// Memory that they take, in bytes.
    pub held_bytes: usize,
    /// Bodies that wait for room.
    pub waiting: usize,
    /// Bodies that were not read, or not to their end, as there was no room, since the start.
    pub ended_for_room: u64,
}

/// Memory for the bodies of a process; clones share it.
///
/// It is shared with the buffers of complete bodies, which libraries may drop anywhere.
#[derive(Debug, Clone)]
pub struct BodyMemory(Arc<Mutex<Ledger>>);

impl BodyMemory {
    /// Memory of up to `limit_bytes` for all bodies together.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Self {
        Self(Arc::new(Mutex::new(Ledger::new(limit_bytes))))
    }

    /// Memory without a bound, for processes whose peers are trusted.
    #[must_use]
    pub fn unbounded() -> Self {
        Self::new(usize::MAX)
    }

    /// Waits until there is room for a body of up to `limit_bytes`, of which nothing was read yet.
    ///
    /// A body of known length gets room for all of it. It waits only for bodies that are complete
    /// or have room for their whole length, never for one that waits itself. If the future is
    /// dropped, the body counts as ended for lack of room.
    ///
    /// # Errors
    /// [`ReadError::TooLarge`] if the length exceeds the limit, [`ReadError::NoRoom`] if it exceeds
    /// what all bodies may take.
    pub async fn admit(
        &self,
        purpose: Purpose,
        announced_bytes: Option<u64>,
        limit_bytes: usize,
    ) -> Result<BodyReader, ReadError> {
        let announced_bytes = match announced_bytes {
            None => None,
            Some(bytes) => match usize::try_from(bytes) {
                Ok(bytes) if bytes <= limit_bytes => Some(bytes),
                _ => return Err(ReadError::TooLarge { limit_bytes }),
            },
        };
        let demand = Demand {
            purpose,
            bytes: announced_bytes.unwrap_or_default(),
            has_length: announced_bytes.is_some(),
        };
        let reservation = match self.try_reserve(demand)? {
            Some(reservation) => reservation,
            None => self.wait(demand).await?,
        };
        Ok(BodyReader {
            reservation,
            announced_bytes,
            limit_bytes,
        })
    }

    /// Empty reservation for what arrives bit by bit.
    #[must_use]
    pub fn reserve_growing(&self, purpose: Purpose) -> Reservation {
        let demand = Demand {
            purpose,
            bytes: 0,
            has_length: false,
        };
        let id = self.ledger().begin(demand, Instant::now());
        self.reservation(demand, id)
    }

    /// Counts `bytes` until their last reference is dropped.
    ///
    /// # Errors
    /// [`NoRoom`] if there is none for them.
    pub fn keep(&self, purpose: Purpose, bytes: Bytes) -> Result<Bytes, NoRoom> {
        let mut reservation = self.reserve_growing(purpose);
        reservation.grow_to(bytes.len())?;
        reservation.keep(bytes.len());
        Ok(Bytes::from_owner(KeptBytes {
            bytes,
            _reservation: reservation,
        }))
    }

    /// Whether there is room for a body of this size once all others are gone.
    #[must_use]
    pub fn can_ever_hold(&self, bytes: usize) -> bool {
        self.ledger().can_ever_hold(bytes)
    }

    /// Memory that is taken, by purpose.
    #[must_use]
    pub fn usage(&self) -> Vec<PurposeUsage> {
        let ledger = self.ledger();
        Purpose::ALL.map(|purpose| ledger.usage(purpose)).into()
    }

    /// Memory that all bodies may take together, in bytes.
    #[must_use]
    pub fn limit_bytes(&self) -> usize {
        self.ledger().limit_bytes()
    }

    /// Memory that all bodies take, in bytes.
    #[must_use]
    pub fn held_bytes(&self) -> usize {
        self.ledger().held_bytes()
    }

    fn try_reserve(&self, demand: Demand) -> Result<Option<Reservation>, NoRoom> {
        let now = Instant::now();
        let id = {
            let mut ledger = self.ledger();
            if !ledger.can_ever_hold(demand.bytes) {
                ledger.record_ended(demand.purpose);
                return Err(NoRoom);
            }
            if !ledger.make_room_for_new(demand, now) {
                return Ok(None);
            }
            ledger.begin(demand, now)
        };
        Ok(Some(self.reservation(demand, id)))
    }

    async fn wait(&self, demand: Demand) -> Result<Reservation, NoRoom> {
        let (sender, granted) = oneshot::channel();
        self.ledger().enqueue(demand, sender);
        let mut wait = Wait {
            memory: self,
            demand,
            granted,
        };
        // Fails only if the memory is gone.
        let id = (&mut wait.granted).await.map_err(|_canceled| NoRoom)?;
        Ok(self.reservation(demand, id))
    }

    fn reservation(&self, demand: Demand, id: ReservationId) -> Reservation {
        Reservation {
            memory: self.clone(),
            purpose: demand.purpose,
            bytes: demand.bytes,
            reading: Some(id),
        }
    }

    /// Gives room that became free to the bodies that wait.
    fn grant(&self) {
        let grants = self.ledger().grant(Instant::now());
        for (sender, id, demand) in grants {
            // The lock must not be held here: a body that waits no longer is released.
            if sender.send(id).is_err() {
                drop(self.reservation(demand, id));
            }
        }
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Bytes and their part of the memory.
struct KeptBytes {
    bytes: Bytes,
    _reservation: Reservation,
}

impl AsRef<[u8]> for KeptBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that waits for room; what it was granted is returned if it stops waiting.
struct Wait<'a> {
    memory: &'a BodyMemory,
    demand: Demand,
    granted: oneshot::Receiver<ReservationId>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if self.granted.is_terminated() {
            return;
        }
        match self.granted.try_recv() {
            Ok(Some(id)) => drop(self.memory.reservation(self.demand, id)),
            Ok(None) | Err(_) => {
                self.granted.close();
                self.memory.ledger().abandon_wait(self.demand.purpose);
            }
        }
    }
}

/// A body's part of the memory, returned when it is dropped.
#[derive(Debug)]
pub struct Reservation {
    memory: BodyMemory,
    purpose: Purpose,
    bytes: usize,
    /// Set until the body is complete.
    reading: Option<ReservationId>,
}

impl Reservation {
    /// Grows to `bytes`; does nothing if it is that large.
    ///
    /// # Errors
    /// [`NoRoom`] if no body can be ended instead of this one.
    pub fn grow_to(&mut self, bytes: usize) -> Result<(), NoRoom> {
        let Some(id) = self.reading.filter(|_| bytes > self.bytes) else {
            return Ok(());
        };
        self.memory.ledger().grow(id, bytes, Instant::now())?;
        self.bytes = bytes;
        Ok(())
    }

    /// Sets the size to `bytes` if that is less.
    pub fn shrink_to(&mut self, bytes: usize) {
        let surplus = self.bytes.saturating_sub(bytes);
        if surplus == 0 {
            return;
        }
        self.bytes = bytes;
        self.memory
            .ledger()
            .shrink(self.purpose, self.reading, surplus);
        self.memory.grant();
    }

    /// Resolves when this body has to end, as its memory is needed.
    pub async fn ended(&self) -> NoRoom {
        poll_fn(|cx| self.poll_ended(cx)).await
    }

    /// As [`Self::ended`], for one task.
    pub fn poll_ended(&self, cx: &mut Context<'_>) -> Poll<NoRoom> {
        match self.reading {
            Some(id) if self.memory.ledger().poll_ended(id, cx.waker()) => Poll::Ready(NoRoom),
            _ => Poll::Pending,
        }
    }

    /// Records that bytes have arrived.
    pub(crate) fn record_progress(&self) {
        if let Some(id) = self.reading {
            self.memory.ledger().record_progress(id, Instant::now());
        }
    }

    /// Marks the body as complete, after which it is not ended any more, with `bytes` in use.
    pub(crate) fn keep(&mut self, bytes: usize) {
        if let Some(id) = self.reading.take() {
            self.memory.ledger().complete(id);
        }
        self.shrink_to(bytes);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.memory
            .ledger()
            .release(self.purpose, self.reading, self.bytes);
        self.memory.grant();
    }
}
