//! Outcomes of runs, and the decisions that callers get.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// Result reported by the closure that runs an order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// No byte was sent; a later call may run the key.
    NotStarted {
        /// Human-readable cause.
        reason: String,
    },
    /// The upstream answered.
    Answered(Answer),
    /// The upstream may have run the order.
    Unknown {
        /// Human-readable cause.
        reason: String,
    },
}

/// An upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that a replay contains.
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

/// Body of a replayed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// The complete body.
    Whole(Vec<u8>),
    /// The body was too large to keep.
    Digest {
        /// Its length in bytes.
        length_bytes: u64,
        /// Its xxh3 digest.
        xxh3: u64,
    },
}

impl StoredBody {
    pub(crate) fn stored_bytes(&self) -> usize {
        match self {
            Self::Whole(body) => body.len(),
            Self::Digest { .. } => 0,
        }
    }

    pub(crate) fn digested(self) -> Self {
        match self {
            Self::Whole(body) => Self::Digest {
                length_bytes: body.len() as u64,
                xxh3: xxh3_64(&body),
            },
            digest @ Self::Digest { .. } => digest,
        }
    }
}

/// Stored outcome of a finished run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The upstream answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers that a replay contains.
        headers: Vec<(String, String)>,
        /// Body, or its digest.
        body: StoredBody,
    },
    /// The upstream may have run the order.
    Unknown {
        /// Human-readable cause.
        reason: String,
    },
}

impl Record {
    pub(crate) fn of(answer: &Answer, max_bytes: usize) -> Self {
        let complete = StoredBody::Whole(answer.body.to_vec());
        let fits = answer.body.len() <= max_bytes;
        Self::Answered {
            status: answer.status,
            headers: answer.headers.clone(),
            body: if fits { complete } else { complete.digested() },
        }
    }

    pub(crate) fn stored_bytes(&self) -> usize {
        match self {
            Self::Answered { headers, body, .. } => {
                let headers = headers.iter().map(|(name, value)| name.len() + value.len());
                headers.sum::<usize>() + body.stored_bytes()
            }
            Self::Unknown { reason } => reason.len(),
        }
    }

    pub(crate) fn digested(self) -> Self {
        match self {
            Self::Answered { status, body, .. } => Self::Answered {
                status,
                headers: Vec::new(),
                body: body.digested(),
            },
            unknown @ Self::Unknown { .. } => unknown,
        }
    }
}

/// Decision on an order, as its caller gets it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// This call ran the order.
    Answer(Answer),
    /// An earlier call ran the order; this is the answer it got.
    Replay {
        /// HTTP status.
        status: u16,
        /// Headers of the first answer.
        headers: Vec<(String, String)>,
        /// Body of the first answer, or its digest.
        body: StoredBody,
    },
    /// No call has run the key.
    NotRun {
        /// Cause.
        reason: NotRunReason,
        /// Time after which to retry; `None` when only a new key helps.
        retry_after: Option<Duration>,
    },
    /// The call itself is invalid; it ran nothing.
    Failed(OrderError),
    /// The key may have run, by this call or by an earlier one.
    Unknown {
        /// Cause.
        reason: UnknownReason,
        /// Time after which to retry with the same key; `None` when a retry can't
        /// learn more.
        retry_after: Option<Duration>,
    },
}

/// Reason why a key was certainly not run.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotRunReason {
    /// The run reported that it sent no byte.
    #[error("the run did not start: {0}")]
    NotStarted(String),
    /// The key's home keeps too many records to add another.
    #[error("too many records are kept")]
    Full,
}

/// Error of the call itself.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The key was used for a different request.
    #[error("the key was sent before with another request")]
    Conflict,
    /// The key has the form of a minted key, but its home never issued it.
    #[error("the key was never issued by the daemon that it names")]
    NeverMinted,
}

/// Reason why it is unknown whether a key ran.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnknownReason {
    /// The run ended without a known outcome.
    #[error("the run ended without an answer: {0}")]
    Run(String),
    /// The call's deadline passed during the run.
    #[error("the deadline passed during the run")]
    DeadlineInRun,
    /// No majority of the voters answered in time.
    #[error("no majority of the voters could be asked: {0}")]
    NoMajority(String),
    /// Another daemon was running the key and did not finish in time.
    #[error("another daemon was still running it: {0}")]
    StillRunning(String),
    /// The key's home could not be reached.
    #[error("the daemon that issued the key can't be reached: {0}")]
    HomeUnreachable(String),
    /// The key's home is gone and its records are not available.
    #[error("the daemon that issued the key is gone: {0}")]
    HomeGone(String),
    /// This process is stopping.
    #[error("this daemon is stopping")]
    Stopping,
}
