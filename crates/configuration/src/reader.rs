//! The tasks that call the service: of each value one that watches and one
//! that reads plainly at a low rate.
//!
//! A watch waits for a revision other than the one that the service told last,
//! whether that was accepted or refused. So a value that was refused is not
//! fetched again, and a service that is stale for good costs no more calls
//! than one that is current.

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

/// Longest pause between calls that are answered at once without news, as by
/// two replicas of the service of which one is stale.
const IDLE_ANSWER_CAP: Duration = Duration::from_secs(3);

/// Failures in a row after which the service counts as lost.
const LOST_AFTER_FAILURES: u64 = 3;

/// Rate at which a value is read plainly, in bytes a second, so that a large
/// one doesn't use up a daemon's 6 KB a second.
const PLAIN_READ_BYTES_PER_S: u64 = 1024;

/// What a call was good for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Progress {
    /// News, or a wait that lasted as it should.
    Made,
    /// An answer at once, without news.
    None,
}

/// Starts the reading tasks; dropped handles cancel them.
pub(crate) fn spawn(shared: &Rc<Shared>) -> Vec<JoinHandle<()>> {
    let kinds = [Kind::Configuration, Kind::Instances];
    let mut running = Vec::new();
    for kind in kinds {
        running.push(compio::runtime::spawn(watch(Rc::clone(shared), kind)));
        running.push(compio::runtime::spawn(read_plainly(
            Rc::clone(shared),
            kind,
        )));
    }
    running.push(compio::runtime::spawn(pause::watch(Rc::clone(shared))));
    running
}

/// Watches `kind` for as long as watching is on.
///
/// The first call, and each one after a failure, is a plain read: a watch that
/// hung or broke says nothing of what is published by now.
async fn watch(shared: Rc<Shared>, kind: Kind) {
    let options = &shared.options;
    let mut failures = Backoff::new(options.backoff_base, options.backoff_cap);
    let mut idle_answers = Backoff::new(options.backoff_base, IDLE_ANSWER_CAP);
    let mut read_next = true;
    let mut was_answered = false;
    loop {
        shared.watching_on().await;
        let call = shared.next_call(kind, read_next);
        match shared.make_call(kind, call).await {
            Ok(progress) => {
                failures.reset();
                was_answered = true;
                read_next = shared.told(kind).get().is_none();
                if progress == Progress::Made {
                    idle_answers.reset();
                } else {
                    compio::time::sleep(idle_answers.next_pause()).await;
                }
            }
            Err(error) => {
                read_next = true;
                let retries_now = needs_no_pause(&error, was_answered);
                was_answered = matches!(error, ReadError::Status { .. });
                if !retries_now {
                    compio::time::sleep(failures.next_pause()).await;
                }
            }
        }
    }
}

/// Whether a plain read may follow `error` at once.
///
/// A watch that hung took its whole wait already. A connection that broke
/// after an answer may be one that the service closed while it was idle; the
/// next failure in a row pauses.
fn needs_no_pause(error: &ReadError, was_answered: bool) -> bool {
    match error {
        ReadError::TimedOut { step, .. } => matches!(step, ReadStep::Watch(_)),
        ReadError::Connection { .. } => was_answered,
        ReadError::Status { .. } | ReadError::NoRevision { .. } => false,
    }
}

/// Reads `kind` plainly: rarely, but without a pause of that length while
/// nothing is in force and no watch would fetch it.
async fn read_plainly(shared: Rc<Shared>, kind: Kind) {
    let options = &shared.options;
    let mut first_reads = Backoff::new(options.backoff_base, options.backoff_cap);
    loop {
        if shared.watching.get() || shared.revision(kind).is_some() {
            let pause = shared.plain_pause(kind);
            // Watches that begin or end cut the pause short: what happened
            // between the two ways of learning must not be missed.
            let _ = compio::time::timeout(pause, shared.watching_changed.next()).await;
        }
        // A failure is counted where the call is made; the next read comes
        // after its pause as usual.
        let _ = shared.make_call(kind, Call::Read).await;
        if shared.revision(kind).is_none() {
            compio::time::sleep(first_reads.next_pause()).await;
        } else {
            first_reads.reset();
        }
    }
}

impl Shared {
    async fn watching_on(&self) {
        while !self.watching.get() {
            // A dropped sender can only mean another look.
            let _ = self.watching_changed.next().await;
        }
    }

    fn next_call(&self, kind: Kind, read_next: bool) -> Call {
        match self.told(kind).get() {
            Some(after) if !read_next => Call::Watch {
                after,
                wait: self.options.wait,
            },
            Some(_) | None => Call::Read,
        }
    }

    /// Pause before a plain read: jittered, longer for a large value.
    fn plain_pause(&self, kind: Kind) -> Duration {
        let held_bytes = self.held_bytes(kind) as u64;
        let at_rate = Duration::from_secs(held_bytes / PLAIN_READ_BYTES_PER_S);
        jittered(self.options.plain_interval.max(at_rate))
    }

    /// Makes one call, counts it and judges its answer.
    pub(crate) async fn make_call(&self, kind: Kind, call: Call) -> Result<Progress, ReadError> {
        let timeout = self.count_call(call);
        let target = Target {
            address: self.options.address,
            kind,
        };
        let floor_at_request = self.revision(kind);
        let sent = Instant::now();
        let result = service::call(&self.client, target, call, timeout).await;
        self.note_contact(result.as_ref().err());
        let answer = result?;
        let is_unchanged = matches!(answer, Answer::Unchanged);
        let outcome = self.take_answer(kind, answer, floor_at_request);
        Ok(match call {
            Call::Read if outcome.is_some() => Progress::Made,
            Call::Watch { wait, .. } if is_unchanged && sent.elapsed() >= wait / 2 => {
                Progress::Made
            }
            Call::Watch { .. } if outcome == Some(OfferOutcome::Accepted) => Progress::Made,
            Call::Read | Call::Watch { .. } => Progress::None,
        })
    }

    /// Counts a call and gives the time it has.
    fn count_call(&self, call: Call) -> Duration {
        let mut contact = self.contact.borrow_mut();
        match call {
            Call::Read => {
                contact.reads += 1;
                self.options.read_timeout
            }
            Call::Watch { wait, .. } => {
                contact.watches += 1;
                wait + self.options.watch_margin
            }
        }
    }

    /// Notes whether the service answered, and tells when that changes.
    fn note_contact(&self, failure: Option<&ReadError>) {
        let change = match failure {
            Some(error) => self.note_failure(error),
            None => self.note_answer(),
        };
        if let Some(change) = change {
            self.tell(change);
        }
    }

    fn note_answer(&self) -> Option<PlatformChange> {
        let mut contact = self.contact.borrow_mut();
        contact.last = Some(Instant::now());
        contact.consecutive_failures = 0;
        let was_lost = std::mem::take(&mut contact.is_lost);
        was_lost.then_some(PlatformChange::ServiceBack)
    }

    fn note_failure(&self, error: &ReadError) -> Option<PlatformChange> {
        log::debug!("platform: {error}");
        let mut contact = self.contact.borrow_mut();
        contact.failures += 1;
        contact.consecutive_failures += 1;
        contact.last_failure = Some(error.to_string());
        if let ReadError::TimedOut {
            step: ReadStep::Watch(_),
            ..
        } = error
        {
            contact.hung_watches += 1;
        }
        if contact.is_lost || contact.consecutive_failures < LOST_AFTER_FAILURES {
            return None;
        }
        contact.is_lost = true;
        Some(PlatformChange::ServiceLost {
            error: error.to_string(),
        })
    }
}
