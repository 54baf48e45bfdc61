//! Cancelling attempts, by a call or by dropping what stands for one.

use std::time::{Duration, Instant};

use http::Method;
use mangofront_http::Outcome;
use mangofront_settings::ids::InstanceId;

use super::attempt::{AttemptNumber, GenerateCall, RequestId};
use super::json::call_json;
use crate::Target;
use crate::connection::Connections;
use crate::error::SendError;

/// Time for an engine to take a cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Tries of a cancel, so that one lost packet does not hold memory.
const CANCEL_TRIES: u32 = 3;

/// Cancels an attempt; idempotent, and binding also for one that arrives later.
///
/// # Errors
/// [`SendError`] when the engine did not confirm.
pub async fn cancel(
    connections: &Connections,
    target: &Target,
    request: &str,
    attempt: AttemptNumber,
) -> Result<(), SendError> {
    let path = format!("/v1/requests/{request}/attempts/{attempt}");
    let deadline = Instant::now() + CANCEL_TIMEOUT;
    call_json::<()>(connections, target, Method::DELETE, &path, None, deadline).await?;
    Ok(())
}

/// Cancels an attempt when dropped, unless it is known to be over.
#[derive(Debug)]
pub(super) struct CancelGuard {
    connections: Connections,
    target: Target,
    request: RequestId,
    attempt: AttemptNumber,
    armed: bool,
}

impl CancelGuard {
    pub(super) fn new(connections: &Connections, target: &Target, call: &GenerateCall) -> Self {
        Self {
            connections: connections.clone(),
            target: target.clone(),
            request: call.request.clone(),
            attempt: call.attempt,
            armed: true,
        }
    }

    pub(super) fn finished(&mut self) {
        self.armed = false;
    }

    /// Ends the guard of an attempt that failed with `outcome`.
    pub(super) fn resolve(mut self, outcome: Outcome) {
        if outcome == Outcome::NotRun {
            self.finished();
        }
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.armed {
            return;
        }
        let connections = self.connections.clone();
        let target = self.target.clone();
        let request = std::mem::take(&mut self.request);
        let attempt = self.attempt;
        compio::runtime::spawn(async move {
            cancel_persistently(&connections, &target, &request, attempt).await;
        })
        .detach();
    }
}

async fn cancel_persistently(
    connections: &Connections,
    target: &Target,
    request: &str,
    attempt: AttemptNumber,
) {
    for _ in 0..CANCEL_TRIES {
        match cancel(connections, target, request, attempt).await {
            Ok(()) => return,
            Err(error) => log::debug!("upstream: cancel of {request} failed: {error}"),
        }
    }
    // The engine's own resume window ends an attempt that nobody reads.
    let peer: &InstanceId = &target.instance;
    log::warn!("upstream: cancel of {request} at {peer} was not confirmed");
}
