//! The tasks that call the service: for each value one that watches it and one that makes
//! infrequent plain reads.
//!
//! A watch waits for a revision other than the one that the service reported last,
//! whether that was accepted or refused. A refused value is therefore not fetched again,
//! and a service that stays stale causes no more calls than one that is current.

use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::runtime::JoinHandle;

use crate::backoff::{Backoff, jittered};
use crate::change::{OfferOutcome, PlatformChange};
use crate::document::Kind;
use crate::error::{ReadError, ReadStep};
use crate::pause;
use crate::service::{self, Answer, Call, Target};
use crate::shared::Shared;

/// Maximum pause between calls that are answered at once without a new value, as they are
/// by two replicas of the service of which one is stale.
const IDLE_ANSWER_CAP: Duration = Duration::from_secs(3);

/// Number of failures in a row after which the service counts as lost.
const LOST_AFTER_FAILURES: u64 = 3;

/// Maximum average rate of plain reads of one value, in bytes a second, so that a large
/// value doesn't use up a daemon's limit of 6 KB a second.
const PLAIN_READ_BYTES_PER_S: u64 = 1024;

/// Whether a call made progress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// A new value, or a watch that waited as expected.
    Made,
    /// An immediate answer without a new value.
    None,
}

/// Starts the tasks; dropping a handle cancels its task.
pub(crate) fn spawn(shared: &Rc<Shared>) -> Vec<JoinHandle<()>> {
    let kinds = [Kind::Configuration, Kind::Instances];
    let mut running = Vec::new();
    for kind in kinds {
        running.push(compio::runtime::spawn(watch(Rc::clone(shared), kind)));
        running.push(compio::runtime::spawn(read_periodically(
            Rc::clone(shared),
            kind,
        )));
    }
    running.push(compio::runtime::spawn(pause::monitor(Rc::clone(shared))));
    running
}

/// Watches `kind` while watching is on.
///
/// The first call and each call after a failure is a plain read, because a watch that
/// hung or failed doesn't show what is published by now.
async fn watch(shared: Rc<Shared>, kind: Kind) {
    let options = &shared.options;
    let mut failures = Backoff::new(options.backoff_base, options.backoff_cap);
    let mut idle_answers = Backoff::new(options.backoff_base, IDLE_ANSWER_CAP);
    let mut read_next = true;
    let mut was_answered = false;
    loop {
        shared.wait_until_watching().await;
        let call = shared.next_call(kind, read_next);
        match shared.make_call(kind, call).await {
            Ok(progress) => {
                failures.reset();
                was_answered = true;
                read_next = shared.reported_revision(kind).get().is_none();
                if progress == Progress::Made {
                    idle_answers.reset();
                } else {
                    compio::time::sleep(idle_answers.next_pause()).await;
                }
            }
            Err(error) => {
                read_next = true;
                let retries_at_once = may_retry_at_once(&error, was_answered);
                was_answered = matches!(error, ReadError::Status { .. });
                if !retries_at_once {
                    compio::time::sleep(failures.next_pause()).await;
                }
            }
        }
    }
}

/// Whether a plain read may follow `error` without a pause.
///
/// A watch that hung has already taken its full wait. A connection that failed after an
/// answer may have been closed by the service while idle; the next failure in a row is
/// followed by a pause.
fn may_retry_at_once(error: &ReadError, was_answered: bool) -> bool {
    match error {
        ReadError::TimedOut { step, .. } => matches!(step, ReadStep::Watch(_)),
        ReadError::Connection { .. } => was_answered,
        ReadError::Status { .. } | ReadError::NoRevision { .. } => false,
    }
}

/// Makes plain reads of `kind`, at long intervals unless nothing is in force and no watch
/// would fetch a value.
async fn read_periodically(shared: Rc<Shared>, kind: Kind) {
    let options = &shared.options;
    let mut first_reads = Backoff::new(options.backoff_base, options.backoff_cap);
    loop {
        if shared.watching.get() || shared.revision(kind).is_some() {
            let pause = shared.plain_pause(kind);
            // The pause ends early if watching starts or stops, so that a change
            // around that moment is not missed.
            let _ = compio::time::timeout(pause, shared.watching_changed.next()).await;
        }
        // `make_call` counts failures; the next read follows after the usual pause.
        let _ = shared.make_call(kind, Call::Read).await;
        if shared.revision(kind).is_none() {
            compio::time::sleep(first_reads.next_pause()).await;
        } else {
            first_reads.reset();
        }
    }
}

impl Shared {
    async fn wait_until_watching(&self) {
        while !self.watching.get() {
            // An error means that the sender was dropped; the flag is checked again.
            let _ = self.watching_changed.next().await;
        }
    }

    fn next_call(&self, kind: Kind, read_next: bool) -> Call {
        match self.reported_revision(kind).get() {
            Some(after) if !read_next => Call::Watch {
                after,
                wait: self.options.wait,
            },
            Some(_) | None => Call::Read,
        }
    }

    /// Pause before a plain read, with jitter; longer for a large value.
    fn plain_pause(&self, kind: Kind) -> Duration {
        let current_bytes = self.current_bytes(kind) as u64;
        let at_rate = Duration::from_secs(current_bytes / PLAIN_READ_BYTES_PER_S);
        jittered(self.options.plain_interval.max(at_rate))
    }

    /// Makes one call, counts it and applies its answer.
    pub(crate) async fn make_call(&self, kind: Kind, call: Call) -> Result<Progress, ReadError> {
        let timeout = self.count_call(call);
        let target = Target {
            address: self.options.address,
            kind,
        };
        let revision_at_request = self.revision(kind);
        let sent = Instant::now();
        let result = service::call(&self.client, target, call, timeout).await;
        self.note_call_result(result.as_ref().err());
        let answer = result?;
        let is_unchanged = matches!(answer, Answer::Unchanged);
        let outcome = self.apply_answer(kind, answer, revision_at_request);
        Ok(match call {
            Call::Read if outcome.is_some() => Progress::Made,
            Call::Watch { wait, .. } if is_unchanged && sent.elapsed() >= wait / 2 => {
                Progress::Made
            }
            Call::Watch { .. } if outcome == Some(OfferOutcome::Accepted) => Progress::Made,
            Call::Read | Call::Watch { .. } => Progress::None,
        })
    }

    /// Counts a call and returns its time limit.
    fn count_call(&self, call: Call) -> Duration {
        let mut call_stats = self.call_stats.borrow_mut();
        match call {
            Call::Read => {
                call_stats.reads += 1;
                self.options.read_timeout
            }
            Call::Watch { wait, .. } => {
                call_stats.watches += 1;
                wait + self.options.watch_margin
            }
        }
    }

    /// Records whether the service answered, and reports it if that changed.
    fn note_call_result(&self, failure: Option<&ReadError>) {
        let change = match failure {
            Some(error) => self.note_failure(error),
            None => self.note_answer(),
        };
        if let Some(change) = change {
            self.notify(change);
        }
    }

    fn note_answer(&self) -> Option<PlatformChange> {
        let mut call_stats = self.call_stats.borrow_mut();
        call_stats.last = Some(Instant::now());
        call_stats.consecutive_failures = 0;
        let was_lost = std::mem::take(&mut call_stats.is_lost);
        was_lost.then_some(PlatformChange::ServiceBack)
    }

    fn note_failure(&self, error: &ReadError) -> Option<PlatformChange> {
        log::debug!("platform: {error}");
        let mut call_stats = self.call_stats.borrow_mut();
        call_stats.failures += 1;
        call_stats.consecutive_failures += 1;
        call_stats.last_failure = Some(error.to_string());
        if let ReadError::TimedOut {
            step: ReadStep::Watch(_),
            ..
        } = error
        {
            call_stats.hung_watches += 1;
        }
        if call_stats.is_lost || call_stats.consecutive_failures < LOST_AFTER_FAILURES {
            return None;
        }
        call_stats.is_lost = true;
        Some(PlatformChange::ServiceLost {
            error: error.to_string(),
        })
    }
}
