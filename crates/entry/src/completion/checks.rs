//! Invariants of requests, checked in all builds.

use std::time::Duration;

use mangofront_http::Outcome;
use mangofront_settings::instances::InstanceState;
use mangofront_telemetry::invariants::{Invariant, check};
use mangofront_upstream::engine::Frame;

use super::CompletionRequest;
use crate::context::Entry;
use crate::error::EntryError;

/// Time after a new list of instances was received within which requests may still
/// be sent to an instance that is draining or no longer listed.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Checks that no request is sent to an instance that is known to be draining.
pub(crate) fn check_instance_live(entry: &Entry, instance: &str) {
    let Some(accepted) = entry.parts().platform.instances() else {
        return;
    };
    if accepted.received_at.elapsed() < LEAVING_GRACE {
        return;
    }
    let mut listed = accepted.list.instances.iter();
    let is_live =
        listed.any(|known| known.instance == instance && known.state == InstanceState::Live);
    check(Invariant::LeavingGetsNoWork, is_live, || {
        format!(
            "request sent to {instance}, which is not live in list {}",
            accepted.revision
        )
    });
}

/// Checks that a token belongs to the request and is the next one.
pub(crate) fn check_next_token(request: &CompletionRequest, frame: &Frame, next_offset: u32) {
    let is_expected = frame.request == request.id && frame.offset == next_offset;
    check(Invariant::OwnAnswerOnly, is_expected, || {
        let (actual, offset) = (&frame.request, frame.offset);
        format!("{} received token {offset} of request {actual}", request.id)
    });
}

/// Checks that a request is reported as *not run* only if no attempt may have run.
pub(crate) fn check_not_run(request: &CompletionRequest, error: &EntryError, may_have_run: bool) {
    let is_consistent = !may_have_run || error.outcome() != Outcome::NotRun;
    check(Invariant::NotRunTrue, is_consistent, || {
        format!(
            "{} may have run but was to be reported as not run: {error}",
            request.id
        )
    });
}
