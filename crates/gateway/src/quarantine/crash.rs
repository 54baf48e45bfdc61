//! Finds out whether an upstream has crashed under a request.
//!
//! When the connection of a request breaks while an upstream works on it, either the upstream has
//! crashed or only the connection is lost. A new connection to the upstream tells the two apart
//! immediately, while the registrations show a crash only seconds later.

use compio::runtime::spawn;
use mangofront_engines::key_of;
use mangofront_quarantine::{LostRequest, QuarantineState, Suspect};
use mangofront_routes::Upstream;

use super::Suspects;
use crate::attempts::FailedAttempt;
use crate::call::Call;
use crate::fingerprint::Fingerprint;
use crate::gateway::Gateway;
use crate::history::{AnswerProgress, SharedHistory};
use crate::probe::ProbeResult;
use crate::trace;
use crate::upstream_client::Verdict;

/// What shows that an upstream has exited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CrashEvidence {
    /// A later incarnation is registered.
    Restarted,
    /// New connections show it.
    Probe(ProbeResult),
}

impl CrashEvidence {
    /// Name in logs and metrics.
    pub(crate) const fn name(self) -> &'static str {
        match self {
            Self::Restarted => "has started again",
            Self::Probe(result) => result.name(),
        }
    }

    /// Whether the machine answered that nothing serves there, so that no lost path explains it.
    const fn is_conclusive(self) -> bool {
        match self {
            Self::Restarted => true,
            Self::Probe(result) => matches!(result, ProbeResult::Closed | ProbeResult::Refused),
        }
    }
}

/// An attempt whose connection to its upstream was lost.
#[derive(Debug)]
pub(crate) struct LostAttempt {
    pub(crate) request: String,
    pub(crate) fingerprint: Fingerprint,
    pub(crate) progress: AnswerProgress,
    pub(crate) is_trial: bool,
    suspects: Suspects,
}

impl LostAttempt {
    /// What may have crashed the upstream. A part of the prompt does so as an answer starts, so
    /// once that is past the parts are not at fault.
    pub(crate) fn suspects(&self) -> &[Suspect] {
        match self.progress {
            AnswerProgress::Starting => self.suspects.all(),
            AnswerProgress::Underway => self.suspects.request(),
        }
    }
}

/// Handles the loss of a connection to an upstream that may have run the request.
///
/// A request that no crash has met yet goes on elsewhere while the upstream is checked, if its
/// answer was underway or another attempt was sent already; any other waits for the result, so that
/// no further upstream crashes before it is known.
pub(crate) async fn record_lost_connection(
    gateway: &Gateway,
    call: &Call,
    history: &SharedHistory,
    failed: &FailedAttempt<'_>,
    has_sent_attempt: bool,
) {
    let lost = LostAttempt {
        request: call.id.clone(),
        fingerprint: call.fingerprint,
        progress: failed.progress,
        is_trial: history.borrow().trial.is_some(),
        suspects: call.suspects.clone(),
    };
    let is_underway = lost.progress == AnswerProgress::Underway;
    let may_go_on = has_sent_attempt || (is_underway && is_unsuspected(gateway, &lost));
    let check = check_for_crash(gateway.clone(), lost, failed.upstream.clone());
    match may_go_on {
        true => spawn(check).detach(),
        false => check.await,
    }
}

fn is_unsuspected(gateway: &Gateway, lost: &LostAttempt) -> bool {
    let upstreams = &gateway.parts().upstreams;
    let organisation = lost.suspects.organisation;
    lost.suspects().iter().all(|suspect| {
        let state = upstreams.quarantine_state(*suspect, organisation);
        state == QuarantineState::Open { crashes: 0 }
    })
}

/// Checks whether an upstream has crashed, and records it.
async fn check_for_crash(gateway: Gateway, lost: LostAttempt, upstream: Upstream) {
    let key = key_of(&upstream);
    let upstreams = &gateway.parts().upstreams;
    // An upstream that is draining closes its connections as planned.
    if upstreams.is_leaving(key) {
        return;
    }
    let Some(evidence) = crash_evidence(&gateway, &upstream).await else {
        return;
    };
    let lost_request = LostRequest {
        suspects: lost.suspects(),
        organisation: lost.suspects.organisation,
        is_trial: lost.is_trial,
    };
    upstreams.record_crash(lost_request, key);
    if evidence.is_conclusive() {
        upstreams.eject_crashed(key);
    }
    gateway.parts().metrics.upstream_crashed(evidence.name());
    let crashes = upstreams.quarantine_state(lost.suspects()[0], lost.suspects.organisation);
    trace::upstream_crashed_under(&lost, &upstream, crashes, evidence.name());
}

/// Evidence that an upstream has exited; `None` if it is alive or nobody can tell.
pub(crate) async fn crash_evidence(
    gateway: &Gateway,
    upstream: &Upstream,
) -> Option<CrashEvidence> {
    let upstreams = &gateway.parts().upstreams;
    if upstreams.has_restarted(upstream) {
        return Some(CrashEvidence::Restarted);
    }
    // An upstream that was removed before has left as planned.
    if !upstreams.is_known(key_of(upstream)) {
        return None;
    }
    let evidence = match gateway.upstream_client().examine(upstream).await {
        Verdict::Fails(evidence) => evidence,
        Verdict::Answers | Verdict::PathLost | Verdict::Unknown => return None,
    };
    let is_zone_silent = || {
        let silent = upstreams.unreachable_zones();
        silent.contains(&upstream.availability_zone)
    };
    match evidence {
        _ if evidence.shows_life() => None,
        ProbeResult::NotConnected if is_zone_silent() => None,
        _ => Some(CrashEvidence::Probe(evidence)),
    }
}
