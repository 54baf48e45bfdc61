//! Updates that daemons send each other about their placements.
//!
//! Updates may be lost, duplicated or late: work that was reported expires without further updates,
//! and an end that arrives before its placement is harmless.

use std::time::Duration;

use mangofront_limits::{ColdObservation, LimitObservation};
use mangofront_prefixes::Beginning;
use mangofront_quarantine::{CrashRecord, RequestFingerprint, Suspect};
use serde::{Deserialize, Serialize};

use crate::large_prompts::{Progress, SizeClass};
use crate::precedence::Caller;
use crate::work::{ShareLoad, UpstreamKey, Work, WorkId};

/// Identifies one incarnation of a daemon that sends updates.
pub type IncarnationId = u64;

/// One update.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum LoadUpdate {
    /// A request was placed.
    Placed {
        /// Id of the request.
        work: WorkId,
        /// Shares of the request; the upstream of the first one answers.
        #[serde(rename = "parts")]
        shares: Vec<ShareUpdate>,
        /// On whose behalf it was placed.
        caller: Caller,
        /// Longest gap between events for the answer to count as on time, in milliseconds.
        gap_ms: u32,
        /// Time until the expected first event, in milliseconds.
        expected_in_ms: u32,
        /// Time after which the request has certainly ended, in milliseconds.
        expires_in_ms: u32,
    },
    /// A request had its first event.
    #[serde(rename = "Read")]
    FirstEvent {
        /// Id of the request.
        work: WorkId,
    },
    /// A request ended.
    Ended {
        /// Id of the request.
        work: WorkId,
    },
    /// All unfinished requests of the sender, sent every second.
    ///
    /// Corrects the view of a daemon that missed an end or a first event.
    Running {
        /// Requests that wait for their first event.
        #[serde(rename = "reading")]
        prefilling: Vec<WorkId>,
        /// Requests that decode.
        #[serde(rename = "writing")]
        decoding: Vec<WorkId>,
    },
    /// The state of one of the largest prompts changed.
    Progress {
        /// The request.
        request: RequestFingerprint,
        /// Its size class.
        size: SizeClass,
        /// Its state.
        progress: Progress,
    },
    /// Upstreams crashed under a request or a prompt part: everything that the sender knows about
    /// it.
    Crashes {
        /// The request or prompt part.
        suspect: Suspect,
        /// The crashes.
        record: CrashRecord,
    },
    /// An upstream failed.
    Failed {
        /// The upstream.
        upstream: UpstreamKey,
        /// Time for which the sender ejects it, in milliseconds.
        ejected_ms: u32,
        /// Whether its process has exited.
        has_crashed: bool,
    },
    /// An upstream names a rate limit, or no longer does.
    RateLimit(LimitObservation),
    /// An upstream told the sender how much longer it is cold.
    Cold(ColdObservation),
    /// An upstream told the sender that it leaves.
    Leaving {
        /// The upstream.
        upstream: UpstreamKey,
    },
    /// An engine that retains prompts has read one.
    Prefilled {
        /// The engine.
        upstream: UpstreamKey,
        /// Beginnings of the prompt.
        beginnings: Vec<Beginning>,
    },
}

/// One share of a placed request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareUpdate {
    /// The upstream that prefills it.
    pub upstream: UpstreamKey,
    /// Prefill time, in microseconds.
    #[serde(rename = "read_us")]
    pub prefill_us: u32,
    /// Memory allocated, in tokens.
    pub memory_tokens: u32,
    /// Context added to each decode step there, in tokens.
    pub context_tokens: u32,
}

pub(crate) fn placed_update(
    id: WorkId,
    work: &Work,
    expected: Duration,
    time_left: Duration,
) -> LoadUpdate {
    LoadUpdate::Placed {
        work: id,
        shares: work.shares.iter().map(share_update).collect(),
        caller: work.caller,
        gap_ms: work.gap_ms as u32,
        expected_in_ms: saturating_ms(expected),
        expires_in_ms: saturating_ms(time_left),
    }
}

fn share_update(share: &ShareLoad) -> ShareUpdate {
    ShareUpdate {
        upstream: share.upstream,
        prefill_us: (share.prefill_ms * 1_000.0) as u32,
        memory_tokens: u32::try_from(share.memory_tokens).unwrap_or(u32::MAX),
        context_tokens: u32::try_from(share.context_tokens).unwrap_or(u32::MAX),
    }
}

pub(crate) fn share_load(update: &ShareUpdate) -> ShareLoad {
    ShareLoad {
        upstream: update.upstream,
        prefill_ms: f64::from(update.prefill_us) / 1_000.0,
        memory_tokens: u64::from(update.memory_tokens),
        context_tokens: u64::from(update.context_tokens),
    }
}

pub(crate) fn saturating_ms(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
