//! What a stopping daemon does with the requests that it has accepted.
//!
//! A request that was not sent yet can be refused truthfully, so that its caller goes to another
//! daemon in time. That happens as soon as new requests are refused, unless its own deadline comes
//! before the end of the shutdown anyway. One that runs is given the time that is left, and is then cut
//! off: its caller gets an error, or an answer that is visibly incomplete.

use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, pending, select};

use crate::call::Call;
use crate::gateway::Gateway;
use crate::history::{AttemptError, SharedHistory};
use crate::refusal::Refusal;

/// Reason for refusing a request that was not sent when this daemon began to refuse requests.
pub(crate) const STOPPING: &str = "stopping";

/// Reason for the end of a request that ran for longer than this daemon could wait.
pub(crate) const CUT_OFF: &str = "daemon_stopping";

/// Retry-After while this daemon stops. Another one can serve the request at once, and by then the
/// load balancer has seen that this one is not ready.
const RETRY_AFTER_STOPPING: Duration = Duration::from_millis(300);

/// The refusal of a request that was not sent.
pub(crate) fn not_sent() -> Refusal {
    Refusal::NotRun {
        reason: STOPPING,
        retry_after: RETRY_AFTER_STOPPING,
    }
}

/// Runs `placing`, which finds the upstreams of an attempt, unless the request has to be refused
/// first.
pub(crate) async fn unless_stopping<T>(
    gateway: &Gateway,
    call: &Call,
    history: &SharedHistory,
    placing: impl Future<Output = Result<T, AttemptError>>,
) -> Result<T, AttemptError> {
    let refused = pin!(refused(gateway, call, history));
    // The refusal comes first: what is sent now may run for too long.
    match select(refused, pin!(placing)).await {
        Either::Left(_) => Err(AttemptError::Stopping),
        Either::Right((placed, _)) => placed,
    }
}

/// Waits until a request has to be refused that has not run.
async fn refused(gateway: &Gateway, call: &Call, history: &SharedHistory) {
    let drain = gateway.drain();
    drain.refusing().await;
    if !drain.ends_before(call.deadline) || history.borrow().may_have_run {
        pending::<()>().await;
    }
}

/// Counts a request that is refused because this daemon stops.
pub(crate) fn record_refusal(gateway: &Gateway, refusal: &Refusal) {
    let drain = gateway.drain();
    match refusal.reason() {
        STOPPING => drain.record_refused_unsent(),
        CUT_OFF => drain.record_cut_off(),
        _ => return,
    }
    gateway.parts().metrics.refused(refusal.code());
}
