//! Quarantined requests and prompt parts, as operators see them.

use std::time::Duration;

use mangofront_quarantine::{
    QuarantineState, RequestFingerprint, ServiceKey, Suspect, SuspectStatus,
};
use serde::Serialize;

use super::suspects::short_hash;
use crate::dialect::PromptPartId;
use crate::fingerprint::Fingerprint;

/// A quarantined request, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuarantinedRequest {
    /// Fingerprint of the request, as in the log lines.
    pub fingerprint: String,
    /// Upstreams that crashed under it.
    pub crashes: usize,
    /// Time until it may be tried again, in milliseconds; 0 if it may be now.
    pub left_ms: u64,
}

/// A quarantined part of prompts, as operators see it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct QuarantinedPart {
    /// Id of the part, as in the log lines.
    pub prompt_part: String,
    /// Service of the prompts; empty if it is not published any more.
    pub service: String,
    /// Upstreams that crashed under it.
    pub crashes: usize,
    /// Trials that crashed their upstream.
    pub failed_trials: u8,
    /// Time until it may be tried again, in milliseconds; 0 if it may be now.
    pub left_ms: u64,
}

impl QuarantinedRequest {
    pub(crate) fn new(fingerprint: RequestFingerprint, status: &SuspectStatus) -> Self {
        Self {
            fingerprint: Fingerprint::from(fingerprint).to_string(),
            crashes: status.crashes,
            left_ms: left_ms(status),
        }
    }
}

impl QuarantinedPart {
    /// Describes a part; `services` are the names of all published services.
    pub(crate) fn new<'a>(
        service: ServiceKey,
        part: PromptPartId,
        status: &SuspectStatus,
        mut services: impl Iterator<Item = &'a str>,
    ) -> Self {
        let service = services.find(|name| short_hash(name) == service);
        Self {
            prompt_part: format!("{part:x}"),
            service: service.unwrap_or_default().to_owned(),
            crashes: status.crashes,
            failed_trials: status.failed_trials,
            left_ms: left_ms(status),
        }
    }
}

fn left_ms(status: &SuspectStatus) -> u64 {
    let left = match status.quarantine {
        QuarantineState::Quarantined { remaining } => remaining,
        QuarantineState::Open { .. } | QuarantineState::TrialAllowed => Duration::ZERO,
    };
    u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
}

/// The fingerprint of a request, or the id of a prompt part as callers write it.
pub(crate) fn format_suspect(suspect: Suspect) -> String {
    match suspect {
        Suspect::Request(fingerprint) => Fingerprint::from(fingerprint).to_string(),
        Suspect::PromptPart { part, .. } => format!("{part:x}"),
    }
}
