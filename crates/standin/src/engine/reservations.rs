//! Memory reservations with leases.
//!
//! A daemon reserves memory for parts of a long prompt on several engines. The
//! lease ensures that the memory is freed even if the daemon crashes.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use super::refusal::Refusal;
use super::sequence::{Kind, ReservationId, Sequence};
use super::state::Engine;

/// Live reservations, and tombstones of released ones.
#[derive(Debug, Default)]
pub(crate) struct Reservations {
    live: HashMap<ReservationId, Reservation>,
    tombstones: HashMap<ReservationId, Instant>,
}

/// Memory reserved for one request.
///
/// Invariant: `held_tokens <= tokens`.
#[derive(Debug)]
pub(crate) struct Reservation {
    pub(crate) tokens: u64,
    /// Tokens in use by segments and by answers in progress.
    pub(crate) held_tokens: u64,
    /// Tokens prefilled by complete segments on this engine.
    pub(crate) computed_tokens: u64,
    expires: Instant,
}

impl Reservation {
    /// Tokens not in use.
    pub(crate) fn free_tokens(&self) -> u64 {
        self.tokens - self.held_tokens
    }
}

impl Reservations {
    /// Adds a reservation whose memory has been claimed.
    pub(crate) fn insert(&mut self, id: ReservationId, tokens: u64, lease: Duration, now: Instant) {
        let reservation = Reservation {
            tokens,
            held_tokens: 0,
            computed_tokens: 0,
            expires: now + lease,
        };
        self.live.insert(id, reservation);
    }

    /// Returns a live reservation.
    pub(crate) fn get_mut(&mut self, id: &str) -> Option<&mut Reservation> {
        self.live.get_mut(id)
    }

    /// Renews a lease. Returns false if the reservation does not exist.
    pub(crate) fn renew(&mut self, id: &str, lease: Duration, now: Instant) -> bool {
        let Some(reservation) = self.live.get_mut(id) else {
            return false;
        };
        reservation.expires = now + lease;
        true
    }

    /// Removes a reservation and returns its tokens.
    pub(crate) fn remove(&mut self, id: &str) -> Option<u64> {
        self.live.remove(id).map(|reservation| reservation.tokens)
    }

    /// Records a release, so that a reservation that arrives later is refused.
    pub(crate) fn add_tombstone(&mut self, id: &str, now: Instant) {
        self.tombstones.insert(id.to_owned(), now);
    }

    /// Whether a reservation has been released.
    pub(crate) fn has_tombstone(&self, id: &str) -> bool {
        self.tombstones.contains_key(id)
    }

    /// Reservations whose lease has expired.
    pub(crate) fn expired(&self, now: Instant) -> Vec<ReservationId> {
        self.live
            .iter()
            .filter(|(_, reservation)| reservation.expires <= now)
            .map(|(id, _)| id.clone())
            .collect()
    }

    /// Removes tombstones of at least `age`.
    pub(crate) fn remove_tombstones(&mut self, age: Duration, now: Instant) {
        self.tombstones
            .retain(|_, created_at| now.saturating_duration_since(*created_at) < age);
    }

    /// Tokens of all live reservations.
    pub(crate) fn total_tokens(&self) -> u64 {
        self.live
            .values()
            .map(|reservation| reservation.tokens)
            .sum()
    }

    /// Returns the tokens of an ended sequence to its reservation, except those
    /// of a complete segment, which hold its KV cache.
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
    /// Creates a reservation, or renews the one with that id.
    pub(crate) fn reserve(
        &self,
        id: ReservationId,
        tokens: u64,
        lease: Duration,
    ) -> Result<(), Refusal> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        state.check_accepting()?;
        if state.reservations.has_tombstone(&id) {
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

    /// Releases a reservation, including one that has not arrived yet.
    pub(crate) fn release(&self, id: &str) {
        let mut state = self.state.borrow_mut();
        state.reservations.add_tombstone(id, Instant::now());
        state.drop_reservation(id);
        drop(state);
        self.after_change();
        self.work.notify();
    }
}
