//! Interface to the links with other daemons.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use mangofront_settings::ids::InstanceId;
use thiserror::Error;

/// Sends requests to other daemons and returns their replies.
///
/// A request may be lost, delayed or delivered twice, but must not be delivered
/// to an instance other than the named one.
pub trait Transport {
    /// Sends `request` to the daemon on `to` and waits for its reply.
    fn call(
        &self,
        to: &InstanceId,
        request: Bytes,
        timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<Bytes, TransportError>>;
}

/// A call that got no reply; the peer may have handled it nevertheless.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{step} with {peer}: {reason}")]
pub struct TransportError {
    /// Step that failed.
    pub step: &'static str,
    /// Instance that was called.
    pub peer: InstanceId,
    /// Human-readable cause.
    pub reason: String,
}
