//! A request's place at its upstreams.

use std::time::Duration;

use mangofront_routes::Upstream;

use crate::choose::Share;
use crate::lives::LifeEnd;
use crate::shares::{Progress, RequestFingerprint, SizeClass};
use crate::upstreams::Upstreams;
use crate::work::WorkId;

/// A request's place at its upstreams; ends when dropped.
#[derive(Debug)]
#[must_use = "the request counts as ended once this is dropped"]
pub struct Placement {
    /// Upstreams; the first answers, the others read parts of the prompt.
    pub shares: Vec<Share>,
    /// Time to the first event, as predicted.
    pub expected_first_event: Duration,
    /// Longest queue before the upstreams, as far as known.
    pub queue_delay: Duration,
    /// Other daemons whose requests were known.
    pub known_daemons: usize,
    /// Time since the one of them that was heard least lately.
    pub oldest_update: Duration,
    pub(crate) id: WorkId,
    pub(crate) is_read: bool,
    /// The request and its size, if it is among the largest.
    pub(crate) share: Option<(RequestFingerprint, SizeClass)>,
    pub(crate) life_end: LifeEnd,
    pub(crate) upstreams: Upstreams,
}

impl Placement {
    /// The upstream that answers.
    #[must_use]
    pub fn answering(&self) -> &Upstream {
        &self.shares[0].upstream
    }

    /// Waits until the upstream that answers is known to have started again, which
    /// ends what it was doing; never returns as long as it has not.
    pub async fn restarted(&mut self) {
        if (&mut self.life_end).await.is_err() {
            // Nobody looks after this upstream any more, so nobody will tell.
            std::future::pending::<()>().await;
        }
    }

    /// Number of the request within this daemon.
    #[must_use]
    pub fn work_id(&self) -> WorkId {
        self.id
    }

    /// Notes that the first event came.
    pub fn record_first_event(&mut self) {
        if std::mem::replace(&mut self.is_read, true) {
            return;
        }
        self.upstreams.note_read(self.id);
    }

    /// Notes that the answer was passed on whole.
    pub fn record_complete(&mut self) {
        if let Some((request, size)) = self.share.take() {
            self.upstreams.note_end(request, size, Progress::Served);
        }
    }
}

impl Drop for Placement {
    fn drop(&mut self) {
        self.upstreams.note_ended(self.id);
        if let Some((request, size)) = self.share.take() {
            self.upstreams.note_end(request, size, Progress::Lost);
        }
    }
}
