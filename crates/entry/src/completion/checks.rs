//! Invariants of a request on its way, checked always.

use std::time::Duration;

use mangofront_http::Outcome;
use mangofront_settings::instances::InstanceState;
use mangofront_telemetry::invariants::{Invariant, check};
use mangofront_upstream::engine::Frame;

use super::CompletionRequest;
use crate::context::Entry;
use crate::error::EntryError;

/// Time within which a leaving instance may still get new work.
const LEAVING_GRACE: Duration = Duration::from_secs(3);

/// Checks that work is not sent to an instance that is known to leave.
pub(crate) fn not_leaving(entry: &Entry, instance: &str) {
    let Some(accepted) = entry.parts().platform.instances() else {
        return;
    };
    if accepted.received_at.elapsed() < LEAVING_GRACE {
        return;
    }
    let mut listed = accepted.list.instances.iter();
    let stays =
        listed.any(|known| known.instance == instance && known.state == InstanceState::Live);
    check(Invariant::LeavingGetsNoWork, stays, || {
        format!(
            "{instance} gets work though list {} lacks it",
            accepted.revision
        )
    });
}

/// Checks that a token belongs to the request and is the one expected next.
pub(crate) fn own_token(request: &CompletionRequest, frame: &Frame, next_offset: u32) {
    let own = frame.request == request.id && frame.offset == next_offset;
    check(Invariant::OwnAnswerOnly, own, || {
        let (other, offset) = (&frame.request, frame.offset);
        format!("token {offset} of {other} came for {}", request.id)
    });
}

/// Checks that *not run* is told only where no attempt may have run.
pub(crate) fn not_run_is_true(request: &CompletionRequest, error: &EntryError, may_have_run: bool) {
    let holds = !may_have_run || error.outcome() != Outcome::NotRun;
    check(Invariant::NotRunTrue, holds, || {
        format!("{} was to be told not run: {error}", request.id)
    });
}
