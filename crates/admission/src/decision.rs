//! Decisions on requests that are not refused: admitted or queued.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use mangofront_placement::Estimate;

use crate::lane::LaneKey;
use crate::limit::LatencySample;
use crate::queue::{QueueOutcome, WaiterId};

/// An admitted request with its prediction.
#[derive(Debug, Clone)]
pub(crate) struct Admitted {
    pub(crate) lane: LaneKey,
    pub(crate) arrived: Instant,
    pub(crate) admitted_at: Instant,
    pub(crate) predicted: Estimate,
    /// The class's target for the time from arrival to the first token.
    pub(crate) target: Duration,
}

/// A request that waits in a lane's queue.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) lane: LaneKey,
    pub(crate) id: WaiterId,
    pub(crate) latest_start: Instant,
    pub(crate) reply: oneshot::Receiver<QueueOutcome>,
}

/// Decision on a request that is not refused.
#[derive(Debug)]
pub(crate) enum Decision {
    Admitted(Admitted),
    Queued(Queued),
}

impl Admitted {
    /// Latency sample of a request whose first token took `measured` since its
    /// admission.
    pub(crate) fn sample(&self, measured: Duration) -> LatencySample {
        let waited = self.admitted_at.saturating_duration_since(self.arrived);
        let predicted = &self.predicted;
        LatencySample {
            measured,
            unqueued: predicted
                .time_to_first_token
                .saturating_sub(predicted.queue),
            target: self.target.saturating_sub(waited),
        }
    }
}
