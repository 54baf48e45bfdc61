//! Proxies routed requests from callers to upstreams.
//!
//! This crate handles a routed request from its head to the last byte of its answer: it
//! finds the route and the organisation (`call`), decides whether this daemon may serve the
//! request now (`published`, `lease`), sends it and handles failed attempts (`attempts`,
//! `retry_budget`, `quarantine`), and relays the answer (`answer`, `relay`). Bodies are not
//! parsed. The formats of callers, upstreams and the publishing platform are translated by
//! [`Dialect`] and [`Source`]. `mangofront-engines` selects the upstreams, and
//! `state_exchange` broadcasts each selection to the other daemons.

mod answer;
mod attempts;
mod body_end;
mod boot_clock;
mod call;
mod cold_upstreams;
mod confirm;
mod copies;
mod datagram;
mod dialect;
mod drain;
mod evacuations;
mod events;
mod fingerprint;
mod fleet;
mod follow;
mod gateway;
mod hedging;
mod held;
mod history;
mod idle_limits;
mod in_flight;
mod introduction;
mod known_positions;
mod lease;
mod options;
mod paths;
mod peer_messages;
mod place;
mod probe;
mod provenance;
mod proxy;
mod published;
mod published_options;
mod quarantine;
mod rate_limits;
mod refusal;
mod registrations;
mod relay;
mod request_body;
mod reservations;
mod retry_budget;
mod running_attempt;
mod signal;
mod silence;
mod source_availability;
mod state_exchange;
mod stopping;
mod stream_race;
mod trace;
mod upstream_client;
mod usual_times;
mod zone_changes;
mod zones;

pub use cold_upstreams::ColdUpstreams;
pub use datagram::{UpstreamChange, UpstreamChangeKind, UpstreamChanges};
pub use dialect::{
    AnswerHead, AttemptHead, CallHead, CallHeadError, Change, Changes, Credentials, Dialect, Entry,
    EventId, Helper, NamedRest, Position, PromptPart, PromptPartId, ReservationId, Snapshot,
    Source, SourceError, TokenCounts,
};
pub use evacuations::{Evacuations, ReloadOutcome, ZoneChange, ZoneOutcome, ZoneRecord, ZoneState};
pub use events::{EventFramer, FramedEvents};
pub use fingerprint::{Fingerprint, InvalidFingerprint};
pub use fleet::Fleet;
pub use gateway::{Gateway, GatewayParts, UNCONFIGURED_BODY_LIMIT_BYTES};
pub use held::{HeldPlace, HeldRequests};
pub use idle_limits::idle_limit;
pub use known_positions::KnownPositions;
pub use lease::Lease;
pub use options::{GatewayOptions, GatewayOptionsBuilder};
pub use peer_messages::{PeerMessageSender, PeerMessages, peer_messages};
pub use published::Published;
pub use published_options::PublishedOptions;
pub use quarantine::{QuarantinedPart, QuarantinedRequest, Trials, TrialsParts};
pub use rate_limits::{LimitStatus, RateLimits, RateLimitsParts};
pub use registrations::{
    Record, RegisterOutcome, RegistrationState, Registrations, Removal, RemovalOutcome,
};
pub use retry_budget::{RetryBudget, RetryLimit, RetryPermit};
pub use silence::{AwaitedAnswer, RunTime, Silence, SilenceSummary};
pub use source_availability::{AnsweredPeriod, SourceAvailability};
pub use state_exchange::{
    StateExchange, StateExchangeError, StateExchangeOptions, StateExchangeParts,
};
pub use stream_race::{AttemptNumber, ResumePoint, StreamFault, StreamRace};
pub use usual_times::{UsualTimes, Wait};
pub use zone_changes::EvacuatedZone;
