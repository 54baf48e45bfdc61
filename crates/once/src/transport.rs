//! The edge to other daemons.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::LocalBoxFuture;
use mangofront_settings::ids::InstanceId;
use thiserror::Error;

/// Request and reply with other daemons.
///
/// A call may be lost, delayed or delivered twice; it must not be delivered to
/// another instance than the one named.
pub trait Transport {
    /// Sends `request` to the daemon on `to` and waits for its reply.
    fn call(
        &self,
        to: &InstanceId,
        request: Bytes,
        timeout: Duration,
    ) -> LocalBoxFuture<'static, Result<Bytes, TransportError>>;
}

/// A call without a reply; the peer may have handled it all the same.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{step} with {peer}: {reason}")]
pub struct TransportError {
    /// Step that failed.
    pub step: &'static str,
    /// Who was called.
    pub peer: InstanceId,
    /// Why, for a person.
    pub reason: String,
}
