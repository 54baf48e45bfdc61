//! Ends of answers that have neither a length nor chunks.
//!
//! Such an answer ends with its connection. If the upstream's process ends, the kernel closes the
//! connection in the same orderly way, so the cut answer looks complete. A new connection to the
//! upstream tells the two apart: an upstream that still serves has closed the connection because
//! the answer is complete. Nothing shows that a running upstream broke off a single answer in this
//! way; that counts as complete.

use mangofront_routes::Upstream;
use mangofront_upstream::UpstreamResponse;

use crate::gateway::Gateway;
use crate::history::AttemptError;
use crate::upstream_client::Verdict;

/// How the end of an answer's body is recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BodyEnd {
    /// By its length or its last chunk.
    Framed,
    /// By the end of the connection.
    Connection,
}

impl BodyEnd {
    /// How the end of this answer is recognised.
    pub(crate) fn of(answer: &UpstreamResponse) -> Self {
        match answer.has_framing() {
            true => Self::Framed,
            false => Self::Connection,
        }
    }

    /// Checks that a body which has ended in order is complete.
    pub(crate) async fn confirm(
        self,
        gateway: &Gateway,
        upstream: &Upstream,
    ) -> Result<(), AttemptError> {
        match self {
            Self::Framed => Ok(()),
            Self::Connection if is_running(gateway, upstream).await => Ok(()),
            Self::Connection => Err(AttemptError::ConnectionLost(
                "the answer has no length, and its upstream has exited".to_owned(),
            )),
        }
    }
}

/// Whether an upstream certainly still serves.
async fn is_running(gateway: &Gateway, upstream: &Upstream) -> bool {
    if gateway.parts().upstreams.has_restarted(upstream) {
        return false;
    }
    match gateway.upstream_client().examine(upstream).await {
        // The answer came on a path that was lost since, from an upstream that still serves.
        Verdict::Answers | Verdict::PathLost => true,
        Verdict::Fails(_) | Verdict::Unknown => false,
    }
}
