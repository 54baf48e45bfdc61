//! Translation between a platform's formats and the gateway.
//!
//! [`Dialect`] converts the heads of requests and answers to typed values and back,
//! [`Source`] reads what operators and upstreams publish. An adapter implements both and
//! makes no decisions; everything else is the same on every platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::request::Parts;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
pub use mangofront_engines::PromptPart;
use mangofront_limits::NamedLimit;
pub use mangofront_quarantine::PromptPartId;
pub use mangofront_routes::Position;
use mangofront_routes::{ApiKey, RouteTable, Upstream, UpstreamId};
use mangofront_settings::ids::AvailabilityZone;
use thiserror::Error;

/// Number of an event within its stream; it increases.
pub type EventId = u64;

/// Name of a memory reservation at an engine.
pub type ReservationId = String;

/// Size of a generation, as its caller states it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Maximum tokens of the answer.
    pub answer_limit_tokens: u64,
}

/// What a caller identifies itself with.
///
/// A request that carries anything here is not anonymous, whether it can be read or not.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Credentials {
    /// Nothing: the request is anonymous.
    Absent,
    /// An API key.
    Key(ApiKey),
    /// Something that names no single API key.
    Unreadable,
}

/// Head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the request; the caller uses a new one whenever it sends the request again.
    pub request_id: String,
    /// Host named in the request.
    pub host: String,
    /// What the caller identifies itself with.
    pub credentials: Credentials,
    /// Time for which the caller waits.
    pub timeout: Option<Duration>,
    /// Last event that the caller received of a stream that it resumes.
    pub last_event_id: Option<EventId>,
    /// Size of the generation.
    pub tokens: Option<TokenCounts>,
    /// Parts of the prompt that other requests may share, in order and without duplicates.
    ///
    /// A caller's claim: it is used for nothing that other callers could not afford to be wrong.
    pub prompt_parts: Vec<PromptPartId>,
    /// Parts of the prompt with their lengths, in order, up to the first that can't be read.
    ///
    /// A caller's claim too: at most its own request is placed worse if it is wrong.
    pub counted_parts: Vec<PromptPart>,
}

/// Error of a request head that can't be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallHeadError {
    /// The request has no id.
    #[error("the request has no id")]
    NoRequestId,
    /// A header has a malformed value.
    #[error("header {0} has a value that can't be read")]
    BadHeader(&'static str),
}

/// An engine that prefills a part of a prompt for the one that answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Reservation of memory for the prompt there.
    pub reservation: Option<ReservationId>,
}

/// What the head of one attempt adds to the caller's head.
#[derive(Debug)]
pub struct AttemptHead<'a> {
    /// Incarnation of the upstream that is meant; any other one refuses.
    pub upstream: &'a UpstreamId,
    /// Organisation of the caller's key.
    pub organisation: Option<&'a str>,
    /// Time in which an answer is still useful.
    pub time_left: Duration,
    /// Rank among the waiting requests of the upstream, 0 to 9; 0 comes first.
    pub urgency: Option<u8>,
    /// Last event that the caller received.
    pub last_event_id: Option<EventId>,
    /// Engines that prefill parts of the prompt, in order.
    pub helpers: &'a [Helper],
}

/// Head of an upstream's answer.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct AnswerHead {
    /// Whether the upstream reports that it did not run the request and will not.
    pub not_run: bool,
    /// Whether the address belongs to another upstream by now.
    pub wrong_upstream: bool,
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// Address of the upstream that caused a refusal.
    pub at_fault: Option<SocketAddr>,
    /// The rate limit that the upstream names.
    pub rate_limit: NamedLimit,
    /// Whether the upstream says that it leaves.
    pub is_leaving: bool,
    /// The rest for which the upstream asks.
    pub rest: NamedRest,
    /// How much longer the upstream says that it is cold.
    pub cold_left: Option<Duration>,
}

/// What an answer says of the time for which its upstream wants no request of this daemon.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum NamedRest {
    /// It names none.
    #[default]
    Absent,
    /// It names a value that is no time.
    Invalid,
    /// It names this time.
    Named(Duration),
}

/// Reads and writes the heads of one platform.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// [`CallHeadError`] if a required header is missing or a header is malformed.
    fn read_call(&self, head: &Parts) -> Result<CallHead, CallHeadError>;

    /// Creates the headers of an attempt from those of the caller.
    fn attempt_headers(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Shortens the time that the headers of an attempt leave to its upstream.
    fn limit_time(&self, attempt: &mut HeaderMap, time_left: Duration);

    /// Id of the request whose head consists of `headers`.
    fn request_id(&self, headers: &HeaderMap) -> Option<String>;

    /// Reads the head of an upstream's answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Creates the headers of the caller's answer from those of the upstream.
    fn answer_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Creates a call that reserves memory at an engine, or renews the reservation.
    fn reserve(&self, id: &ReservationId, tokens: u64, hold: Duration) -> Request<Full<Bytes>>;

    /// Creates a call that releases a reservation.
    fn release(&self, id: &ReservationId) -> Request<Full<Bytes>>;
}

/// The current state of one published value.
#[derive(Debug, Clone)]
pub enum Entry {
    /// The configuration.
    Configuration(Box<RouteTable>),
    /// The registration of an upstream.
    Upstream(Upstream),
    /// A registration that can't be decoded or has impossible values; it names no usable
    /// upstream.
    UnusableUpstream {
        /// Id under which it is published.
        id: UpstreamId,
        /// Position of its last change.
        position: Position,
        /// What is wrong with it, in a short sentence.
        reason: String,
    },
    /// An operator's request that upstreams of a zone get no new work.
    Evacuation {
        /// The zone.
        zone: AvailabilityZone,
        /// Position of the request.
        position: Position,
    },
    /// Another value that can't be decoded; the one before it stays in force.
    Malformed {
        /// Name under which it is published.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A value that the gateway does not use.
    Other,
}

/// One change of a published value.
#[derive(Debug, Clone)]
pub enum Change {
    /// A value was written.
    Written(Entry),
    /// An upstream is no longer published.
    UpstreamGone {
        /// Id of the upstream.
        id: UpstreamId,
        /// Position of this change.
        position: Position,
    },
    /// Upstreams of a zone may get new work again.
    EvacuationEnded {
        /// The zone.
        zone: AvailabilityZone,
        /// Position of this change.
        position: Position,
    },
}

/// All published values.
#[derive(Debug, Clone)]
pub struct Snapshot {
    /// Position from which changes have to be watched.
    pub position: Position,
    /// The values.
    pub entries: Vec<Entry>,
}

/// Changes after a position.
#[derive(Debug, Clone)]
pub struct Changes {
    /// Position up to which the changes are complete.
    pub position: Position,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Whether later changes may be missing because the answer was full.
    pub may_be_truncated: bool,
}

/// Error of a call to a source.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The changes after this position are no longer kept.
    #[error("the history after this position is gone")]
    HistoryGone,
    /// The source refused the call.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// Any other error.
    #[error("{0}")]
    Failed(String),
}

/// Reads the published values.
pub trait Source {
    /// Reads all values; fails if any part of them takes longer than `timeout`.
    ///
    /// The whole read has no timeout: with one, a read of a long list by many daemons at
    /// once would be aborted and started again without ever finishing.
    fn read(&self, timeout: Duration) -> LocalBoxFuture<'_, Result<Snapshot, SourceError>>;

    /// Position of the last change; a cheap call, which shows whether the source answers.
    fn position(&self, timeout: Duration) -> LocalBoxFuture<'_, Result<Position, SourceError>>;

    /// Waits for changes after a position, for up to `wait`; the answer may take `timeout`
    /// in addition.
    fn watch(
        &self,
        after: Position,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<Changes, SourceError>>;
}
