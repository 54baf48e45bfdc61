//! Cancellation of attempts, by a call or by dropping a guard.

use std::time::{Duration, Instant};

use http::Method;
use mangofront_http::Outcome;
use mangofront_settings::ids::InstanceId;

use super::attempt::{AttemptNumber, GenerateCall, RequestId};
use super::json::call_json;
use crate::Target;
use crate::connection::Connections;
use crate::error::SendError;

/// Time limit of one cancel call.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(2);

/// Calls to cancel one attempt, so that a lost packet does not keep the engine's
/// memory in use.
const CANCEL_ATTEMPTS: u32 = 3;

/// Cancels an attempt. Idempotent; an attempt that arrives at the engine after its
/// cancellation is cancelled too.
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

/// Cancels an attempt when dropped, unless it is known to have ended.
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

    pub(super) fn disarm(&mut self) {
        self.armed = false;
    }

    /// Drops the guard of an attempt that failed with `outcome`; cancels the attempt
    /// unless it did not run.
    pub(super) fn resolve(mut self, outcome: Outcome) {
        if outcome == Outcome::NotRun {
            self.disarm();
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
            cancel_with_retries(&connections, &target, &request, attempt).await;
        })
        .detach();
    }
}

async fn cancel_with_retries(
    connections: &Connections,
    target: &Target,
    request: &str,
    attempt: AttemptNumber,
) {
    for _ in 0..CANCEL_ATTEMPTS {
        match cancel(connections, target, request, attempt).await {
            Ok(()) => return,
            Err(error) => log::debug!("upstream: cancelling {request} failed: {error}"),
        }
    }
    // The engine ends an attempt that nobody reads once its resume window is over.
    let peer: &InstanceId = &target.instance;
    log::warn!("upstream: {peer} did not confirm the cancellation of {request}");
}
