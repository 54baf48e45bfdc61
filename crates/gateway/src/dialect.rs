//! The edges at which a platform's formats are translated.
//!
//! [`Dialect`] turns heads of callers and upstreams into typed values and
//! back, [`Source`] reads what operators and upstreams publish. An adapter
//! implements both and decides nothing; everything behind them is the same on
//! every platform.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use http::request::Parts;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::Full;
use mangofront_routes::{ApiKey, RouteTable, Upstream, UpstreamId};
use thiserror::Error;

/// Position in the history of a [`Source`].
pub type Position = u64;

/// Number of an event within its stream; it grows.
pub type EventId = u64;

/// Name of a memory reservation at an engine.
pub type ReservationId = String;

/// Size of a generation, as its caller tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenCounts {
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens of the answer.
    pub answer_limit_tokens: u64,
}

/// What the head of a caller's request says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallHead {
    /// Id of the request; one attempt of a caller has one id.
    pub request_id: String,
    /// Host named in the request.
    pub host: String,
    /// Key shown by the caller.
    pub key: Option<ApiKey>,
    /// How long the caller waits.
    pub timeout: Option<Duration>,
    /// Last event that the caller has of a stream to be resumed.
    pub last_event_id: Option<EventId>,
    /// Size of the generation.
    pub tokens: Option<TokenCounts>,
}

/// Why the head of a request can't be served.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum CallHeadError {
    /// No id of the request.
    #[error("the request has no id")]
    NoRequestId,
    /// A header holds what it can't.
    #[error("header {0} has a value that can't be read")]
    BadHeader(&'static str),
}

/// One engine that reads a part of a prompt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Reservation there that takes up memory of the prompt.
    pub reservation: Option<ReservationId>,
}

/// What one attempt adds to the caller's head.
#[derive(Debug)]
pub struct AttemptHead<'a> {
    /// Life of the upstream that is meant; any other one refuses.
    pub upstream: &'a UpstreamId,
    /// Organisation whose key the caller showed.
    pub organisation: Option<&'a str>,
    /// Time in which an answer is still of use.
    pub time_left: Duration,
    /// Rank among the waiting requests of the upstream, 0 to 9; 0 is first.
    pub urgency: Option<u8>,
    /// Last event that the caller has.
    pub last_event_id: Option<EventId>,
    /// Other engines that read the prompt, in order.
    pub helpers: &'a [Helper],
}

/// What the head of an upstream's answer says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// Whether the upstream says that it has not run the request and will not.
    pub not_run: bool,
    /// Whether the address belongs to another upstream by now.
    pub wrong_upstream: bool,
    /// Id of the request that is answered.
    pub request_id: Option<String>,
    /// Address of the upstream that is the cause of a refusal.
    pub at_fault: Option<SocketAddr>,
}

/// Reads and writes the heads of one platform.
pub trait Dialect {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    /// [`CallHeadError`] when it lacks what every request has.
    fn read_call(&self, head: &Parts) -> Result<CallHead, CallHeadError>;

    /// Headers of an attempt, from those of the caller.
    fn attempt_headers(&self, caller: &HeaderMap, attempt: &AttemptHead<'_>) -> HeaderMap;

    /// Reads the head of an answer.
    fn read_answer(&self, status: StatusCode, headers: &HeaderMap) -> AnswerHead;

    /// Headers of an answer that a caller gets.
    fn answer_headers(&self, upstream: &HeaderMap) -> HeaderMap;

    /// Call that reserves memory at an engine, or renews the reservation.
    fn reserve(&self, id: &ReservationId, tokens: u64, hold: Duration) -> Request<Full<Bytes>>;

    /// Call that gives a reservation back.
    fn release(&self, id: &ReservationId) -> Request<Full<Bytes>>;
}

/// One published value, as it is now.
#[derive(Debug, Clone)]
pub enum Entry {
    /// The configuration.
    Configuration(Box<RouteTable>),
    /// An upstream.
    Upstream(Upstream),
    /// A registration that can't be read or says what no upstream says; it names
    /// none.
    UnusableUpstream {
        /// Id under which it is published.
        id: UpstreamId,
        /// Position of its last change.
        position: Position,
        /// What is wrong with it, in a short sentence.
        reason: String,
    },
    /// Another value that can't be read; the one before it stays in force.
    Malformed {
        /// Name under which it is published.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A value of no concern.
    Other,
}

/// One change of a published value.
#[derive(Debug, Clone)]
pub enum Change {
    /// A value was written.
    Written(Entry),
    /// An upstream is no longer published.
    UpstreamGone {
        /// Its id.
        id: UpstreamId,
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
    /// Position up to which these are all changes.
    pub position: Position,
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// Whether there may be later ones that found no room in the answer.
    pub may_be_truncated: bool,
}

/// Why a source gave no answer.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum SourceError {
    /// The changes after this position are no longer kept.
    #[error("the history after this position is gone")]
    HistoryGone,
    /// It takes no more calls for now.
    #[error("refused with status {0}")]
    Refused(StatusCode),
    /// Anything else.
    #[error("{0}")]
    Failed(String),
}

/// Reads what is published.
pub trait Source {
    /// Reads all values; fails when a part of them takes longer than `timeout`.
    ///
    /// A whole list takes as long as it is long: were it bounded, one that many daemons read
    /// at once would be begun again and again, and never end.
    fn read(&self, timeout: Duration) -> LocalBoxFuture<'_, Result<Snapshot, SourceError>>;

    /// Waits for changes after a position, up to `wait` and `timeout` on top.
    fn watch(
        &self,
        after: Position,
        wait: Duration,
        timeout: Duration,
    ) -> LocalBoxFuture<'_, Result<Changes, SourceError>>;
}
