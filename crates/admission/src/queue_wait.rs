//! Wait of one request for a slot in its lane.

use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, select};

use crate::admission::Admission;
use crate::decision::Queued;
use crate::queue::QueueOutcome;
use crate::request::{Refusal, RefusalReason};

/// Added to the sleep until the latest start, so that the time has passed when
/// the waiter wakes up.
const EXPIRY_SLACK: Duration = Duration::from_millis(1);

/// Wait of a queued request. Dropping it removes the request from the queue or
/// releases a slot that was granted meanwhile.
///
/// Invariant: while `is_settled` is false, the request is either in the queue or
/// was granted a slot that is not claimed yet.
#[derive(Debug)]
pub(crate) struct QueueWait {
    admission: Admission,
    queued: Queued,
    is_settled: bool,
}

impl QueueWait {
    pub(crate) fn new(admission: Admission, queued: Queued) -> Self {
        Self {
            admission,
            queued,
            is_settled: false,
        }
    }

    /// Waits until a slot is granted, which the caller then owns.
    pub(crate) async fn wait(mut self) -> Result<(), Refusal> {
        let outcome = self.outcome().await;
        self.is_settled = true;
        match outcome {
            QueueOutcome::Granted => Ok(()),
            QueueOutcome::Refused(refusal) => Err(refusal),
        }
    }

    async fn outcome(&mut self) -> QueueOutcome {
        loop {
            let now = self.admission.now();
            let remaining = self.queued.latest_start.saturating_duration_since(now);
            let expiry = pin!(compio::time::sleep(remaining + EXPIRY_SLACK));
            match select(&mut self.queued.reply, expiry).await {
                Either::Left((Ok(outcome), _)) => return outcome,
                // The admission control was dropped, and the queue with it.
                Either::Left((Err(_), _)) => {
                    return QueueOutcome::Refused(Refusal {
                        reason: RefusalReason::Closed,
                        retry_after: Duration::ZERO,
                    });
                }
                Either::Right(_) => self.admission.refresh_lane(&self.queued.lane),
            }
        }
    }
}

impl Drop for QueueWait {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if let Ok(Some(QueueOutcome::Granted)) = self.queued.reply.try_recv() {
            self.admission.release(&self.queued.lane, false);
            return;
        }
        self.admission.remove_waiter(&self.queued);
    }
}
