//! Memory reservations with leases.
//!
//! A daemon reserves a share of a long prompt's memory on several engines. The
//! lease frees it also when that daemon dies.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::refusal::Refusal;
use super::sequence::{Kind, ReservationId, Sequence};
use super::state::Engine;

/// Live reservations and those released before they arrived.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    live: HashMap<ReservationId, Reservation>,
    tombstones: HashMap<ReservationId, Instant>,
}

/// One reservation.
///
/// Invariant: `held_tokens <= tokens`.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) tokens: u64,
    /// Taken by segments and by answers in progress, in tokens.
    pub(crate) held_tokens: u64,
    /// Prefill that segments computed here, in tokens.
    pub(crate) computed_tokens: u64,
    expires: Instant,
}

impl Reservation {
    /// Tokens that nothing holds yet.
    pub(crate) fn free_tokens(&self) -> u64 {
        self.tokens - self.held_tokens
    }
}

impl Reservations {
    /// Takes in a reservation whose memory is claimed already.
    pub(crate) fn insert(&mut self, id: ReservationId, tokens: u64, lease: Duration, now: Instant) {
        let reservation = Reservation {
            tokens,
            held_tokens: 0,
            computed_tokens: 0,
            expires: now + lease,
        };
        self.live.insert(id, reservation);
    }

    /// A live reservation.
    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Reservation> {
        self.live.get_mut(id)
    }

    /// Renews a lease; false when there is none.
    pub(crate) fn renew(&mut self, id: &str, lease: Duration, now: Instant) -> bool {
        let Some(reservation) = self.live.get_mut(id) else {
            return false;
        };
        reservation.expires = now + lease;
        true
    }

    /// Removes a reservation; the tokens that it held.
    pub(crate) fn remove(&mut self, id: &str) -> Option<u64> {
        self.live.remove(id).map(|reservation| reservation.tokens)
    }

    /// Remembers that a reservation was released, should it arrive later.
    pub(crate) fn bury(&mut self, id: &str, now: Instant) {
        self.tombstones.insert(id.to_owned(), now);
    }

    /// Whether a reservation was released before.
    pub(crate) fn is_buried(&self, id: &str) -> bool {
        self.tombstones.contains_key(id)
    }

    /// Reservations whose lease has run out.
    pub(crate) fn expired(&self, now: Instant) -> Vec<ReservationId> {
        self.live
            .iter()
            .filter(|(_, reservation)| reservation.expires <= now)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Forgets tombstones older than `age`.
    pub(crate) fn forget_tombstones(&mut self, age: Duration, now: Instant) {
        self.tombstones
            .retain(|_, buried| now.saturating_duration_since(*buried) < age);
    }

    /// Tokens of all live reservations.
    pub(crate) fn total_tokens(&self) -> u64 {
        self.live
            .values()
            .map(|reservation| reservation.tokens)
            .sum()
    }

    /// Gives back what a sequence held; a whole segment's tokens stay.
    pub(crate) fn sequence_ended(&mut self, id: &str, sequence: &Sequence) {
        let Some(reservation) = self.live.get_mut(id) else {
            return;
        };
        if sequence.kind == Kind::Segment && sequence.unfilled_tokens() == 0 {
            reservation.computed_tokens += sequence.share_tokens;
            return;
        }
        let held_tokens = sequence.size_tokens();
        reservation.held_tokens = reservation.held_tokens.saturating_sub(held_tokens);
    }
}

impl Engine {
    /// Makes a reservation, or renews the one of that id.
    pub(crate) fn reserve(
        &self,
        id: ReservationId,
        tokens: u64,
        lease: Duration,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.check_open()?;
        if state.reservations.is_buried(&id) {
            return Err(Refusal::Cancelled);
        }
        if let Some(reservation) = state.reservations.get_mut(&id) {
            if reservation.tokens != tokens {
                return Err(Refusal::Duplicate);
            }
            state.reservations.renew(&id, lease, now);
            return Ok(());
        }
        if !state.batch.memory.reserve(tokens) {
            return Err(Refusal::NoMemory {
                wanted_tokens: tokens,
                room_tokens: state.batch.memory.available_tokens(),
            });
        }
        state.reservations.insert(id, tokens, lease, now);
        drop(state);
        self.after_change();
        Ok(())
    }

    /// Releases a reservation, also one that arrives later.
    pub(crate) fn release(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        state.reservations.bury(id, Instant::now());
        state.drop_reservation(id);
        drop(state);
        self.after_change();
        self.work.notify();
    }
}
