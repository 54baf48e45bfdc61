//! Memory for the bodies that other processes send.
//!
//! Callers, upstreams and other daemons decide how long their bodies are, how they are split into
//! pieces and how many arrive at once. [`BodyMemory`] bounds what all of them take together.
//! [`BodyReader`] reads one body to its end into a single buffer, so that its memory depends on
//! its length alone. A body that was read counts until the last reference to its bytes is dropped,
//! whether it waits for an upstream or for a caller that reads slowly. A body that nobody needs is
//! read by [`discard`], which keeps nothing of it.

mod buffer;
mod ledger;
mod memory;
mod purpose;
mod read;

pub use buffer::Buffer;
pub use memory::{BodyMemory, NoRoom, PurposeUsage, Reservation};
pub use purpose::Purpose;
pub use read::{BodyReader, ReadError, discard, room_deadline};
