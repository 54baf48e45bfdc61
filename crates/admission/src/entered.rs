//! Requests that were not refused: admitted or waiting.

use std::time::{Duration, Instant};

use futures_channel::oneshot;
use mangofront_placement::Estimate;

use crate::lane::LaneKey;
use crate::limit::Seen;
use crate::queue::{Verdict, WaiterId};

/// A request that may run, as it was predicted.
#[derive(Debug, Clone)]
pub(crate) struct Admitted {
    pub(crate) lane: LaneKey,
    pub(crate) arrived: Instant,
    pub(crate) admitted_at: Instant,
    pub(crate) predicted: Estimate,
    /// The class's target, from arrival.
    pub(crate) target: Duration,
}

/// A request that stands in a queue.
#[derive(Debug)]
pub(crate) struct Queued {
    pub(crate) lane: LaneKey,
    pub(crate) id: WaiterId,
    pub(crate) latest_start: Instant,
    pub(crate) reply: oneshot::Receiver<Verdict>,
}

/// Answer to a request that was not refused.
#[derive(Debug)]
pub(crate) enum Entered {
    Admitted(Admitted),
    Queued(Queued),
}

impl Admitted {
    /// What its time of `measured` since its admission tells.
    pub(crate) fn seen(&self, measured: Duration) -> Seen {
        let waited = self.admitted_at.saturating_duration_since(self.arrived);
        let predicted = &self.predicted;
        Seen {
            measured,
            unqueued: predicted
                .time_to_first_token
                .saturating_sub(predicted.queue),
            target: self.target.saturating_sub(waited),
        }
    }
}
