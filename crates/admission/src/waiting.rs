//! The wait of one request for a place.

use std::pin::pin;
use std::time::Duration;

use futures_util::future::{Either, select};

use crate::admission::Admission;
use crate::entered::Queued;
use crate::queue::Verdict;
use crate::request::{Refusal, RefusalReason};

/// Time by which a waiter looks after its end, so that the clock has passed it.
const EXPIRY_SLACK: Duration = Duration::from_millis(1);

/// A request's stand in the queue; dropping it leaves the queue clean.
///
/// Invariant: while `is_settled` is false the request either stands in the
/// queue or was granted a place that nobody has taken up.
#[derive(Debug)]
pub(crate) struct Waiting {
    admission: Admission,
    queued: Queued,
    is_settled: bool,
}

impl Waiting {
    pub(crate) fn new(admission: Admission, queued: Queued) -> Self {
        Self {
            admission,
            queued,
            is_settled: false,
        }
    }

    /// Waits until a place is granted; the caller then owns the place.
    pub(crate) async fn granted(mut self) -> Result<(), Refusal> {
        let verdict = self.verdict().await;
        self.is_settled = true;
        match verdict {
            Verdict::Granted => Ok(()),
            Verdict::Refused(refusal) => Err(refusal),
        }
    }

    async fn verdict(&mut self) -> Verdict {
        loop {
            let now = self.admission.now();
            let left = self.queued.latest_start.saturating_duration_since(now);
            let expiry = pin!(compio::time::sleep(left + EXPIRY_SLACK));
            match select(&mut self.queued.reply, expiry).await {
                Either::Left((Ok(verdict), _)) => return verdict,
                // The queue is gone with the admission itself.
                Either::Left((Err(_), _)) => {
                    return Verdict::Refused(Refusal {
                        reason: RefusalReason::Closed,
                        retry_after: Duration::ZERO,
                    });
                }
                Either::Right(_) => self.admission.refresh_lane(&self.queued.lane),
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.is_settled {
            return;
        }
        if let Ok(Some(Verdict::Granted)) = self.queued.reply.try_recv() {
            self.admission.release(&self.queued.lane, false);
            return;
        }
        self.admission.leave(&self.queued);
    }
}
