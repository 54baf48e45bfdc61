//! What daemons tell each other of their placements.
//!
//! LoadUpdate may be lost, doubled or late: work that is heard of expires by itself,
//! and an end that comes before its beginning is harmless.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::crashes::Record;
use crate::shares::{Progress, RequestFingerprint, SizeClass};
use crate::work::{Part, UpstreamKey, Work, WorkId};

/// One life of a daemon that tells news.
pub type IncarnationId = u64;

/// One piece of news.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum LoadUpdate {
    /// A request was placed.
    Placed {
        /// Number of the request.
        work: WorkId,
        /// Parts; the first one's upstream answers.
        parts: Vec<ShareUpdate>,
        /// Longest pause between events of an answer in time, in milliseconds.
        gap_ms: u32,
        /// Time until the first event is expected, in milliseconds.
        expected_in_ms: u32,
        /// Time after which the request has ended for certain, in milliseconds.
        expires_in_ms: u32,
    },
    /// A request's first event came.
    #[serde(rename = "Read")]
    FirstEvent {
        /// Number of the request.
        work: WorkId,
    },
    /// A request ended.
    Ended {
        /// Number of the request.
        work: WorkId,
    },
    /// All requests of the teller that have not ended, told each second.
    ///
    /// Whoever missed an end, or a first event, is set right by it.
    Running {
        /// Requests whose first event is awaited.
        reading: Vec<WorkId>,
        /// Requests that write.
        writing: Vec<WorkId>,
    },
    /// What became of one of the largest prompts.
    Progress {
        /// The request.
        request: RequestFingerprint,
        /// Its size.
        size: SizeClass,
        /// What became of it.
        progress: Progress,
    },
    /// Upstreams crashed under a request; all that the teller knows of it.
    Crashes {
        /// The request.
        request: RequestFingerprint,
        /// Lives of upstreams that ended under it.
        crashed: Vec<UpstreamKey>,
        /// Those of them for which it was cleared since.
        cleared: Vec<UpstreamKey>,
        /// Time since the last of them ended, in milliseconds.
        since_ms: u32,
    },
    /// An upstream failed.
    Failed {
        /// The upstream.
        upstream: UpstreamKey,
        /// How long the teller leaves it out, in milliseconds.
        ejected_ms: u32,
    },
}

/// One part of a request that was placed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUpdate {
    /// The upstream that reads it.
    pub upstream: UpstreamKey,
    /// Time to read it, in microseconds.
    pub read_us: u32,
    /// Memory set aside, in tokens.
    pub memory_tokens: u32,
    /// Context that each step costs there, in tokens.
    pub context_tokens: u32,
}

pub(crate) fn placed_news(
    id: WorkId,
    work: &Work,
    expected: Duration,
    time_left: Duration,
) -> LoadUpdate {
    LoadUpdate::Placed {
        work: id,
        parts: work.parts.iter().map(part_news).collect(),
        gap_ms: work.gap_ms as u32,
        expected_in_ms: milliseconds(expected),
        expires_in_ms: milliseconds(time_left),
    }
}

fn part_news(part: &Part) -> ShareUpdate {
    ShareUpdate {
        upstream: part.upstream,
        read_us: (part.read_ms * 1_000.0) as u32,
        memory_tokens: u32::try_from(part.memory_tokens).unwrap_or(u32::MAX),
        context_tokens: u32::try_from(part.context_tokens).unwrap_or(u32::MAX),
    }
}

pub(crate) fn part_of(news: &ShareUpdate) -> Part {
    Part {
        upstream: news.upstream,
        read_ms: f64::from(news.read_us) / 1_000.0,
        memory_tokens: u64::from(news.memory_tokens),
        context_tokens: u64::from(news.context_tokens),
    }
}

pub(crate) fn crashes_news(request: RequestFingerprint, record: Record) -> LoadUpdate {
    LoadUpdate::Crashes {
        request,
        crashed: record.crashed,
        cleared: record.cleared,
        since_ms: milliseconds(record.since),
    }
}

pub(crate) fn milliseconds(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
