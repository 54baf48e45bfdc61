//! A placed request.

use std::time::Duration;

use mangofront_prefixes::Beginning;
use mangofront_quarantine::RequestFingerprint;
use mangofront_routes::Upstream;

use crate::choose::Share;
use crate::incarnations::IncarnationEnd;
use crate::large_prompts::{Progress, SizeClass};
use crate::upstreams::Upstreams;
use crate::work::{WorkId, key_of};

/// A request placed on its upstreams; ends when dropped.
#[derive(Debug)]
#[must_use = "the request counts as ended once this is dropped"]
pub struct Placement {
    /// Shares of the upstreams; the first one answers, the others prefill.
    pub shares: Vec<Share>,
    /// Predicted time to first event.
    pub expected_first_event: Duration,
    /// Longest queue at the chosen upstreams, as far as known.
    pub queue_delay: Duration,
    /// Number of other daemons whose requests were taken into account.
    pub known_daemons: usize,
    /// Time since the last update of the one of them that was silent for longest.
    pub oldest_update: Duration,
    /// Prefill time believed to be saved, as the engine still holds the beginning of the prompt.
    pub believed_saving: Duration,
    pub(crate) id: WorkId,
    pub(crate) has_first_event: bool,
    /// Beginnings that the answering engine holds once it has read the prompt.
    pub(crate) beginnings: Vec<Beginning>,
    /// Fingerprint and size class, if the prompt is one of the largest.
    pub(crate) large_prompt: Option<(RequestFingerprint, SizeClass)>,
    pub(crate) incarnation_end: IncarnationEnd,
    pub(crate) upstreams: Upstreams,
}

impl Placement {
    /// The upstream that answers.
    #[must_use]
    pub fn answering(&self) -> &Upstream {
        &self.shares[0].upstream
    }

    /// Waits until the answering upstream is known to have restarted, which ends its requests;
    /// never returns if it has not.
    pub async fn restarted(&mut self) {
        if (&mut self.incarnation_end).await.is_err() {
            // The upstream is no longer tracked, so no notification will come.
            std::future::pending::<()>().await;
        }
    }

    /// Id of the request within this daemon.
    #[must_use]
    pub fn work_id(&self) -> WorkId {
        self.id
    }

    /// Records the first event.
    pub fn record_first_event(&mut self) {
        if std::mem::replace(&mut self.has_first_event, true) {
            return;
        }
        self.upstreams.record_first_event(self.id);
        let beginnings = std::mem::take(&mut self.beginnings);
        self.upstreams
            .record_prefilled(key_of(self.answering()), beginnings);
    }

    /// Records that the complete answer was forwarded.
    pub fn record_complete(&mut self) {
        if let Some((request, size)) = self.large_prompt.take() {
            self.upstreams
                .record_outcome(request, size, Progress::Served);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.upstreams.record_end(self.id);
        if let Some((request, size)) = self.large_prompt.take() {
            self.upstreams.record_outcome(request, size, Progress::Lost);
        }
    }
}
