//! Routed requests from callers to upstreams.
//!
//! Owns a routed request from its head to the last byte of its answer: which
//! route and organisation it is of (`call`), whether this daemon may serve it
//! now (`published`, `lease`), where it is sent and what follows a failed
//! attempt (`attempts`, `budget`, `quarantine`), and the relay of its answer (`answer`,
//! `relay`). Bodies pass through unread. What callers, upstreams and the
//! publishing platform speak is translated by the edges in [`Dialect`] and
//! [`Source`]; the choice of upstreams is `mangofront-engines`', and other
//! daemons hear of it by `sharing`.

mod answer;
mod attempts;
mod boot_clock;
mod call;
mod confirm;
mod copies;
mod datagram;
mod dialect;
mod drain;
mod events;
mod fingerprint;
mod follow;
mod gateway;
mod history;
mod known_positions;
mod lease;
mod options;
mod provenance;
mod published;
mod published_options;
mod quarantine;
mod refusal;
mod registrations;
mod relay;
mod reservations;
mod retry_budget;
mod signal;
mod source_availability;
mod state_exchange;
mod trace;
mod zones;

pub use datagram::{UpstreamChange, UpstreamChangeKind, UpstreamChanges};
pub use dialect::{
    AnswerHead, AttemptHead, CallHead, CallHeadError, Change, Changes, Dialect, Entry, EventId,
    Helper, Position, ReservationId, Snapshot, Source, SourceError, TokenCounts,
};
pub use events::{EventFramer, FramedEvents};
pub use fingerprint::{Fingerprint, InvalidFingerprint};
pub use gateway::{Gateway, GatewayParts};
pub use known_positions::KnownPositions;
pub use lease::Lease;
pub use options::{GatewayOptions, GatewayOptionsBuilder};
pub use published::Published;
pub use published_options::PublishedOptions;
pub use quarantine::QuarantinedRequest;
pub use registrations::{
    Record, RegisterOutcome, RegistrationState, Registrations, Removal, RemovalOutcome,
};
pub use retry_budget::{RetryBudget, RetryLimit};
pub use source_availability::{AnsweredPeriod, SourceAvailability};
pub use state_exchange::{StateExchange, StateExchangeError, StateExchangeOptions};
