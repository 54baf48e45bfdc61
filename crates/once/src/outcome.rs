//! What a run came to and what its caller is told.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// What the closure that runs an order reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunOutcome {
    /// No byte was sent; the key may be run by a later call.
    NotStarted {
        /// Why, for a person.
        reason: String,
    },
    /// The upstream answered.
    Answered(Answer),
    /// The upstream may have run it.
    Unknown {
        /// Why, for a person.
        reason: String,
    },
}

/// An upstream's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Headers that a replay repeats.
    pub headers: Vec<(String, String)>,
    /// Whole body.
    pub body: Bytes,
}

/// Body of a replayed answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoredBody {
    /// The body as it was.
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
    pub(crate) fn kept_bytes(&self) -> usize {
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

/// What is remembered of a finished run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Record {
    /// The upstream answered.
    Answered {
        /// HTTP status.
        status: u16,
        /// Headers that a replay repeats.
        headers: Vec<(String, String)>,
        /// Body, or its digest.
        body: StoredBody,
    },
    /// The upstream may have run it.
    Unknown {
        /// Why, for a person.
        reason: String,
    },
}

impl Record {
    pub(crate) fn of(answer: &Answer, max_bytes: usize) -> Self {
        let whole = StoredBody::Whole(answer.body.to_vec());
        let keep = answer.body.len() <= max_bytes;
        Self::Answered {
            status: answer.status,
            headers: answer.headers.clone(),
            body: if keep { whole } else { whole.digested() },
        }
    }

    pub(crate) fn kept_bytes(&self) -> usize {
        match self {
            Self::Answered { headers, body, .. } => {
                let headers = headers.iter().map(|(name, value)| name.len() + value.len());
                headers.sum::<usize>() + body.kept_bytes()
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

/// What the caller of an order is told.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Decision {
    /// This call ran the order.
    Answer(Answer),
    /// An earlier call ran it; this is what it came to.
    Replay {
        /// HTTP status.
        status: u16,
        /// Headers of the first answer.
        headers: Vec<(String, String)>,
        /// Body of the first answer, or its digest.
        body: StoredBody,
    },
    /// No call ever ran this key.
    NotRun {
        /// Why.
        reason: NotRunReason,
        /// When a retry makes sense; `None` when only a new key helps.
        retry_after: Option<Duration>,
    },
    /// This call ran nothing and never will; the call is at fault.
    Failed(OrderError),
    /// The key may have run, by this call or by an earlier one.
    Unknown {
        /// Why.
        reason: UnknownReason,
        /// When asking again with the same key makes sense.
        retry_after: Option<Duration>,
    },
}

/// Why a key certainly never ran.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum NotRunReason {
    /// The run reported that it sent no byte.
    #[error("the run did not start: {0}")]
    NotStarted(String),
    /// The key's home keeps too many records to take another.
    #[error("too many records are kept")]
    Full,
}

/// Fault of the call itself.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum OrderError {
    /// The key belongs to another request.
    #[error("the key was sent before with another request")]
    Conflict,
    /// The key looks minted, but its home never issued it.
    #[error("the key was never issued by the daemon that it names")]
    NeverMinted,
}

/// Why nobody can tell whether a key ran.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum UnknownReason {
    /// The run itself could not tell.
    #[error("the run ended without an answer: {0}")]
    Run(String),
    /// The call's deadline passed during the run.
    #[error("the deadline passed during the run")]
    DeadlineInRun,
    /// No majority of the voters answered in time.
    #[error("no majority of the voters could be asked: {0}")]
    NoMajority(String),
    /// Another daemon runs the key and did not finish in time.
    #[error("another daemon was still running it: {0}")]
    StillRunning(String),
    /// The key's home could not be reached.
    #[error("the daemon that issued the key can't be reached: {0}")]
    HomeUnreachable(String),
    /// The key's home is gone and left no records.
    #[error("the daemon that issued the key is gone: {0}")]
    HomeGone(String),
    /// This process is stopping.
    #[error("this daemon is stopping")]
    Stopping,
}
